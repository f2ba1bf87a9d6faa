package mountmast.standin.production

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/*
 * Frozen: copied from the version in production (`production` in deploy/service.toml), so that tests can show what its processes
 * read of what later versions write. Not to be edited or renamed together with the classes of the main sources.
 */

/** Names of the keys in the state service. */
object Keys {
    const val LEADER = "lead"
    const val TERM = "term"
    const val TYPES = "types"
    const val JOBS = "j/"
    const val IMAGES = "images/"
    const val JOURNAL = "l/"
    const val SNAPSHOT = "snapshot"
    const val SNAPSHOT_PARTS = "s/"
    const val PROGRESS = "p/"
    const val WATERMARK = "watermark"

    /** A job that is not over, or whose tasks are not all gone. Compared by whoever ends or cancels it. */
    fun job(id: JobId) = JOBS + id.text

    /** The final state of a job that is over; written in the transaction that deletes [job]. */
    fun over(id: JobId) = "f/${id.text}"

    /** A slot of the journal; slots are used again in turn. */
    fun journalSlot(slot: Int) = JOURNAL + slot.toString().padStart(3, '0')

    fun slotOfKey(key: String): Int? = key.removePrefix(JOURNAL).toIntOrNull()

    /** A part of the snapshot of [generation]: two generations are kept apart, so that one is always whole. */
    fun snapshotPart(generation: Long, part: Int) = "${snapshotParts(generation)}${part.toString().padStart(5, '0')}"

    fun snapshotParts(generation: Long) = "$SNAPSHOT_PARTS${generation % 2}/"

    /** One part of what users are told of running jobs. */
    fun progress(part: Int) = PROGRESS + part

    fun jobOfKey(key: String): JobId? = JobId.parse(key.removePrefix(JOBS))
}

/** Who leads. Attached to the leader's hold, so it vanishes when the leader does. */
@Serializable
data class LeaderRecord(
    val node: NodeId,
    /** Drawn at each start of the process: a restarted node is another holder. */
    val run: String,
    val term: Term,
    /** When its election began, for those who help it at first. */
    val since: WallTime = WallTime(0),
    /** The watermark of cancellations as it was found at the election. */
    val watermark: WallTime = WallTime(0),
)

/**
 * The low watermark of cancellations: nothing runs any more of the jobs whose cancellation was committed before [at]. Whoever
 * answers workers without knowing the jobs, at the beginning of a reign, may do so only for a while after it.
 */
@Serializable
data class WatermarkRecord(@SerialName("w") val at: WallTime)

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

/** Which images some of the machines are thought to hold, in gigabytes; a hint that nothing depends on. */
@Serializable
data class ImagesRecord(@SerialName("m") val images: Map<MachineId, Map<ImageId, Double>>)

/** A record of the journal: what changed, in the form of [JournalText]. Records of one reign and the next are numbered on. */
@Serializable
data class JournalRecord(@SerialName("q") val number: Long, @SerialName("t") val text: String)

/** The latest whole snapshot: it holds what the journal said up to record [upTo]. */
@Serializable
data class SnapshotRecord(@SerialName("g") val generation: Long, @SerialName("u") val upTo: Long, @SerialName("n") val parts: Int)

/** A part of a snapshot, in the form of [JournalText]. */
@Serializable
data class SnapshotPart(@SerialName("t") val text: String)

/** How far running jobs have come, for users: `JOB DONE RUNNING;...`. */
@Serializable
data class ProgressRecord(@SerialName("t") val text: String)
