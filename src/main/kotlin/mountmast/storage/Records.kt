package mountmast.storage

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import mountmast.protocol.FencingToken
import mountmast.protocol.ImageId
import mountmast.protocol.JobId
import mountmast.protocol.JobSpec
import mountmast.protocol.JobStatus
import mountmast.protocol.MachineId
import mountmast.protocol.MachineType
import mountmast.protocol.NodeId
import mountmast.protocol.WallTime

/**
 * The keys of the state service. They are part of the contract between versions: processes of two versions work on the same keys
 * during an upgrade, so keys are added, but never renamed or reused.
 */
object Keys {
    const val LEADER = "lead"
    const val TERM = "term"
    const val TYPES = "types"
    const val TYPES_PARTS = "types/"
    const val JOBS = "j/"
    const val IMAGES = "images/"
    const val JOURNAL = "l/"
    const val SNAPSHOT = "snapshot"
    const val SNAPSHOT_PARTS = "s/"
    const val PROGRESS = "p/"
    const val WATERMARK = "watermark"
    const val PREREQUISITE_LISTS = "d/"
    const val FORMAT = "format"
    private const val FINISHED = "f/"
    private const val SLOT_DIGITS = 3
    private const val PART_DIGITS = 5
    private const val KEPT_GENERATIONS = 2
    const val FAILING = "failing"

    /** The record of an unfinished job, or of one whose tasks have not all ended. Every transaction that ends or cancels it compares it. */
    fun job(id: JobId) = JOBS + id.text

    /** The final state of a finished job, written in the transaction that deletes [job]. */
    fun finished(id: JobId) = FINISHED + id.text

    /** A slot of the journal; the slots are used in turn. */
    fun journalSlot(slot: Int) = JOURNAL + slot.toString().padStart(SLOT_DIGITS, '0')

    /** Returns the slot of a journal's [key], or null if it is none. */
    fun slotOfKey(key: String): Int? = key.removePrefix(JOURNAL).toIntOrNull()

    /** A part of the snapshot [generation]. Two generations have keys of their own, so that one is always complete. */
    fun snapshotPart(generation: Long, part: Int) = "${snapshotParts(generation)}${part.toString().padStart(PART_DIGITS, '0')}"

    /** The prefix of all parts of the snapshot [generation]. */
    fun snapshotParts(generation: Long) = "$SNAPSHOT_PARTS${generation % KEPT_GENERATIONS}/"

    /** Machine types that do not fit into the value of [TYPES]; [part] counts from 1. */
    fun typesPart(part: Int) = TYPES_PARTS + part

    /** One part of the progress of running jobs, for users. */
    fun progress(part: Int) = PROGRESS + part

    /** One part of a list of prerequisites that does not fit into the record of its [job]. */
    fun prerequisiteList(job: JobId, digest: String, part: Int) =
        "$PREREQUISITE_LISTS${job.text}/$digest/${part.toString().padStart(PART_DIGITS, '0')}"

    /** Returns the job of the [key] of an unfinished job, or null if it is none. */
    fun jobOfKey(key: String): JobId? = JobId.parse(key.removePrefix(JOBS))
}

// The serial names of all records below are part of the contract between versions. Fields are only added, optional, and never
// renamed or reused; an added one is lost if an older version reads a record and writes it back.

/** The leader. Its key is attached to the leader's lease, so that it is deleted when that expires. */
@Serializable
data class LeaderRecord(
    @SerialName("node") val node: NodeId,
    /** Drawn at each start of the process: a restarted node is another candidate. */
    @SerialName("run") val run: String,
    @SerialName("term") val token: FencingToken,
    /** When its election began, for nodes that renew workers' leases on its behalf at first. */
    @SerialName("since") val since: WallTime = WallTime(0),
    /** The low watermark of cancellations as it was read at the election. */
    @SerialName("watermark") val watermark: WallTime = WallTime(0),
)

/**
 * The low watermark of cancellations: no task runs any more of the jobs whose cancellation was committed before [at]. A node that
 * renews workers' leases without knowing the jobs, at the beginning of a term, may do so only for a limited time after it.
 */
@Serializable
data class CancellationWatermarkRecord(@SerialName("w") val at: WallTime)

/** The first fencing token of the highest term ever taken; never deleted. */
@Serializable
data class TermRecord(@SerialName("term") val token: FencingToken)

/** An unfinished job. */
@Serializable
data class JobRecord(
    @SerialName("s") val spec: JobSpec,
    @SerialName("at") val submitted: WallTime,
    @SerialName("c") val cancelled: Boolean = false,
    /** Where the prerequisites are stored if they do not fit into this record; the spec names none then. */
    @SerialName("pl") val prerequisiteList: PrerequisiteListRef? = null,
) {
    /** Whether the job has prerequisites. */
    val hasPrerequisites: Boolean get() = spec.prerequisites.isNotEmpty() || prerequisiteList != null
}

/** Names the parts of a list of prerequisites. The digest tells apart lists that two submissions of one id bring. */
@Serializable
data class PrerequisiteListRef(@SerialName("h") val digest: String, @SerialName("n") val parts: Int)

/** One part of a list of prerequisites. */
@Serializable
data class PrerequisiteListPart(@SerialName("j") val jobs: List<JobId>)

/** A finished job. */
@Serializable
data class FinishedJobRecord(
    @SerialName("st") val status: JobStatus,
    @SerialName("n") val tasks: Int,
    /** When it ended; absent in records of versions without pipelines. */
    @SerialName("at") val endedAt: WallTime? = null,
    /** Whether it was a service, which cannot be a prerequisite; absent in records of versions without pipelines. */
    @SerialName("sv") val isService: Boolean = false,
)

/**
 * The machine types, or the first of them if they do not fit into one value.
 *
 * @property parts how many more values hold the others, under [Keys.typesPart]
 * @property digest of the names in all parts, to tell parts that do not belong together
 */
@Serializable
data class TypesRecord(
    @SerialName("hulls") val types: List<MachineType>,
    @SerialName("n") val parts: Int = 0,
    @SerialName("d") val digest: Int? = null,
)

/** Which images some of the machines are assumed to hold, with sizes in gigabytes; a hint that no rule depends on. */
@Serializable
data class ImagesRecord(@SerialName("m") val images: Map<MachineId, Map<ImageId, Double>>)

/** Some of the [machines] on which a job failed, and how often it failed in all, up to a bound. */
@Serializable
data class FailingJob(@SerialName("m") val machines: List<MachineId>, @SerialName("n") val failures: Int)

/** Jobs that fail wherever they run; a hint that no rule depends on. */
@Serializable
data class FailingRecord(@SerialName("j") val jobs: Map<JobId, FailingJob>)

/** A record of the journal in the form of [JournalText]. Numbers rise without gaps, also from one term to the next. */
@Serializable
data class JournalRecord(
    @SerialName("q") val number: Long,
    @SerialName("t") val plain: String,
    /** The text in the compact form of [TextCodec]; [plain] is empty then. */
    @SerialName("z") val compressed: String? = null,
) {
    fun text(): String = TextCodec.read(plain, compressed)
}

/** The latest complete snapshot: it covers the journal up to the record number [upTo]. */
@Serializable
data class SnapshotRecord(@SerialName("g") val generation: Long, @SerialName("u") val upTo: Long, @SerialName("n") val parts: Int)

/** A part of a snapshot, in the form of [JournalText]. */
@Serializable
data class SnapshotPart(@SerialName("t") val plain: String, @SerialName("z") val compressed: String? = null) {
    fun text(): String = TextCodec.read(plain, compressed)
}

/** The progress of running jobs, for users: `JOB DONE RUNNING;...`. */
@Serializable
data class ProgressRecord(@SerialName("t") val plain: String, @SerialName("z") val compressed: String? = null) {
    fun text(): String = TextCodec.read(plain, compressed)
}

/**
 * Version of the stored and sent forms that this code reads and writes. It rises when a form is added that the previous version
 * cannot read. 1: before versions were numbered; nodes of that version send none.
 */
const val FORMAT_VERSION = 2

/** Every node of the deployment reads the forms of [version]. Written once that is known, and never lowered. */
@Serializable
data class FormatRecord(@SerialName("v") val version: Int)
