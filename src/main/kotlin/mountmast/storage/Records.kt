package mountmast.storage

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import mountmast.protocol.Attempt
import mountmast.protocol.ImageId
import mountmast.protocol.JobId
import mountmast.protocol.JobSpec
import mountmast.protocol.JobStatus
import mountmast.protocol.MachineId
import mountmast.protocol.NodeId
import mountmast.protocol.Session
import mountmast.protocol.Term
import mountmast.protocol.WallTime
import mountmast.protocol.Zone
import java.util.BitSet

/** Names of the keys in the state service. */
object Keys {
    const val LEADER = "lead"
    const val TERM = "term"
    const val TYPES = "types"
    const val EVICTIONS = "evictions"
    const val JOBS = "j/"
    const val CHUNKS = "t/"
    const val IMAGES = "images/"

    /** A job that is not over, or whose tasks are not all gone. Compared by whoever ends or cancels it. */
    fun job(id: JobId) = JOBS + id.text

    /** The final state of a job that is over; written in the transaction that deletes [job]. */
    fun over(id: JobId) = "f/${id.text}"

    /** What became of the tasks of one chunk of a job. Written by the leader alone. */
    fun chunk(id: JobId, chunk: Int) = "$CHUNKS${id.text}/${chunk.toString().padStart(5, '0')}"

    fun jobOfKey(key: String): JobId? = JobId.parse(key.removePrefix(JOBS))

    fun chunkOfKey(key: String): Pair<JobId, Int>? {
        val parts = key.removePrefix(CHUNKS).split('/')
        if (parts.size != 2) return null
        return (JobId.parse(parts[0]) ?: return null) to (parts[1].toIntOrNull() ?: return null)
    }
}

/** Who leads. Attached to the leader's hold, so it vanishes when the leader does. */
@Serializable
data class LeaderRecord(
    val node: NodeId,
    /** Drawn at each start of the process: a restarted node is another holder. */
    val run: String,
    val term: Term,
)

/** The highest term ever taken; never deleted. */
@Serializable
data class TermRecord(val term: Term)

/** A job that is not over yet. */
@Serializable
data class JobRecord(
    @SerialName("s") val spec: JobSpec,
    @SerialName("at") val submitted: WallTime,
    @SerialName("c") val cancelled: Boolean = false,
)

/** A job that is over. */
@Serializable
data class OverRecord(@SerialName("st") val status: JobStatus, @SerialName("n") val tasks: Int)

/** A pass's evictions: which machine is kept for which job, and whom it stops for that. */
@Serializable
data class EvictionRecord(val machine: MachineId, val forJob: JobId, val victims: List<String>)

/** The evictions of the latest pass that evicted. */
@Serializable
data class EvictionsRecord(val evictions: List<EvictionRecord>)

/** Which images some of the machines are thought to hold, in gigabytes; a hint that nothing depends on. */
@Serializable
data class ImagesRecord(@SerialName("m") val images: Map<MachineId, Map<ImageId, Double>>)

/** The tasks of one chunk: those that are done, as ranges, and those that are on a machine. */
@Serializable
data class ChunkRecord(
    @SerialName("d") val done: String = "",
    @SerialName("l") val live: List<String> = emptyList(),
    /** Attempt to be given next; rises for good. */
    @SerialName("a") val nextAttempt: Attempt = Attempt(1u),
    /** Stops so far, for the cost of another. */
    @SerialName("p") val preemptions: Int = 0,
) {
    companion object {
        /** Tasks per chunk such that even a chunk whose every task is placed stays within a value. */
        fun tasksPerChunk(valueKb: Double): Int = (valueKb * BYTES_PER_KB / BYTES_PER_TASK).toInt().coerceIn(16, 256)

        private const val BYTES_PER_KB = 1024

        /** Generous for `"99999 vm-0000000231 12 1234 some-zone-name",` and its part of the ranges. */
        private const val BYTES_PER_TASK = 72
    }
}

/** A live assignment as a chunk holds it. */
data class LiveRecord(
    val index: Int,
    val machine: MachineId,
    val session: Session,
    val attempt: Attempt,
    val zone: Zone,
) {
    fun encode() = "$index $machine $session $attempt $zone"

    companion object {
        fun decode(text: String): LiveRecord? {
            val parts = text.split(' ', limit = 5)
            if (parts.size != 5) return null
            return LiveRecord(
                parts[0].toIntOrNull() ?: return null, MachineId(parts[1]),
                Session(parts[2].toULongOrNull() ?: return null),
                Attempt(parts[3].toULongOrNull() ?: return null), Zone(parts[4]),
            )
        }
    }
}

/** Sets of task numbers written as ranges: `0-4,7`. */
object Ranges {
    fun encode(set: BitSet, from: Int, until: Int): String = buildString {
        var start = set.nextSetBit(from)
        while (start in 0 until until) {
            val end = minOf(set.nextClearBit(start), until) - 1
            if (isNotEmpty()) append(',')
            append(start)
            if (end > start) append('-').append(end)
            start = set.nextSetBit(end + 1)
        }
    }

    fun decodeInto(text: String, set: BitSet) {
        if (text.isEmpty()) return
        for (part in text.split(',')) {
            val ends = part.split('-')
            val first = ends[0].toInt()
            set.set(first, (ends.getOrNull(1)?.toInt() ?: first) + 1)
        }
    }
}
