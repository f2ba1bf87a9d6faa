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
 * Keys of the state service. They are part of the contract between versions: processes of two versions read and write the same keys
 * during an upgrade, so keys may be added, but must never be renamed or reused.
 */
object Keys {
    /** Key of the [LeaderRecord]. */
    const val LEADER = "lead"

    /** Key of the [TermRecord]. */
    const val TERM = "term"

    /** Key of the [TypesRecord]. */
    const val TYPES = "types"

    /** Prefix of the keys of [typesPart]. */
    const val TYPES_PARTS = "types/"

    /** Prefix of the keys of [job]. */
    const val JOBS = "j/"

    /** Prefix of the keys of [ImagesRecord]s; a number follows. */
    const val IMAGES = "images/"

    /** Prefix of the keys of [journalSlot]. */
    const val JOURNAL = "l/"

    /** Key of the [SnapshotRecord]. */
    const val SNAPSHOT = "snapshot"

    /** Prefix of the keys of [snapshotPart] of all generations. */
    const val SNAPSHOT_PARTS = "s/"

    /** Prefix of the keys of [progress]. */
    const val PROGRESS = "p/"

    /** Key of the [CancellationWatermarkRecord]. */
    const val WATERMARK = "watermark"

    /** Prefix of the keys of [prerequisiteList]. */
    const val PREREQUISITE_LISTS = "d/"

    /** Key of the [FormatRecord]. */
    const val FORMAT = "format"
    private const val FINISHED = "f/"
    private const val SLOT_DIGITS = 3
    private const val PART_DIGITS = 5
    private const val KEPT_GENERATIONS = 2

    /** Key of the [FailingRecord]. */
    const val FAILING = "failing"

    /**
     * Key of the record of a job that is not finished, or some of whose tasks have not ended. Every transaction that cancels or finishes
     * the job compares the revision of this key.
     */
    fun job(id: JobId) = JOBS + id.text

    /** Key of the final state of a finished job, written in the transaction that deletes the key [job]. */
    fun finished(id: JobId) = FINISHED + id.text

    /** Key of [slot] of the journal. Records are written to the slots in turn. */
    fun journalSlot(slot: Int) = JOURNAL + slot.toString().padStart(SLOT_DIGITS, '0')

    /** Returns the slot of the journal whose key is [key], or null if [key] is not the key of a slot. */
    fun slotOfKey(key: String): Int? = key.removePrefix(JOURNAL).toIntOrNull()

    /**
     * Key of one [part] of the snapshot [generation]. Two successive generations have different keys, so that the latest complete
     * snapshot remains while the next one is written.
     */
    fun snapshotPart(generation: Long, part: Int) = "${snapshotParts(generation)}${part.toString().padStart(PART_DIGITS, '0')}"

    /** Prefix of the keys of all parts of the snapshot [generation]. */
    fun snapshotParts(generation: Long) = "$SNAPSHOT_PARTS${generation % KEPT_GENERATIONS}/"

    /** Key of one [part] of the machine types that do not fit into the value of [TYPES]; parts are counted from 1. */
    fun typesPart(part: Int) = TYPES_PARTS + part

    /** Key of one [part] of the progress of running jobs, from which nodes answer users. */
    fun progress(part: Int) = PROGRESS + part

    /** Key of one [part] of a list of prerequisites that does not fit into the record of its [job]; [digest] is that of the list. */
    fun prerequisiteList(job: JobId, digest: String, part: Int) =
        "$PREREQUISITE_LISTS${job.text}/$digest/${part.toString().padStart(PART_DIGITS, '0')}"

    /** Returns the job whose record has the key [key], or null if [key] is not the key of such a record. */
    fun jobOfKey(key: String): JobId? = JobId.parse(key.removePrefix(JOBS))
}

// The serial names of all records below are part of the contract between versions. Only optional fields may be added, and none may
// be renamed or reused. An older version ignores an added field, and drops it when it reads a record and writes it back.

/** The current leader. The key of this record is attached to the leader's store lease, whose expiry deletes it. */
@Serializable
data class LeaderRecord(
    @SerialName("node") val node: NodeId,
    /** Drawn at random at each start of the process, so that a restarted node does not take the record of its earlier run for its own. */
    @SerialName("run") val run: String,
    /** The first fencing token of the leader's term. */
    @SerialName("term") val token: FencingToken,
    /** When the election began. For a limited time after it other nodes may renew workers' leases on the leader's behalf. */
    @SerialName("since") val since: WallTime = WallTime(0),
    /** The low watermark of cancellations as read at the election, see [CancellationWatermarkRecord]. */
    @SerialName("watermark") val watermark: WallTime = WallTime(0),
)

/**
 * The low watermark of cancellations: every task of a job whose cancellation was committed before [at] has ended. At the beginning of
 * a term a node that does not know which jobs are cancelled may renew workers' leases only for a limited time after [at].
 */
@Serializable
data class CancellationWatermarkRecord(@SerialName("w") val at: WallTime)

/** The first fencing token of the highest term that any leader has had. Its key is never deleted. */
@Serializable
data class TermRecord(@SerialName("term") val token: FencingToken)

/** The record of a job that is not finished, under the key [Keys.job]. */
@Serializable
data class JobRecord(
    @SerialName("s") val spec: JobSpec,
    @SerialName("at") val submitted: WallTime,
    @SerialName("c") val cancelled: Boolean = false,
    /** Refers to the stored list of prerequisites if it does not fit into this record; [spec] names no prerequisites then. */
    @SerialName("pl") val prerequisiteList: PrerequisiteListRef? = null,
) {
    /** Whether the job has prerequisites. */
    val hasPrerequisites: Boolean get() = spec.prerequisites.isNotEmpty() || prerequisiteList != null
}

/** Refers to the [parts] of a stored list of prerequisites. Lists of two submissions with the same job id differ in their [digest]. */
@Serializable
data class PrerequisiteListRef(@SerialName("h") val digest: String, @SerialName("n") val parts: Int)

/** One part of a stored list of prerequisites, under the key [Keys.prerequisiteList]. */
@Serializable
data class PrerequisiteListPart(@SerialName("j") val jobs: List<JobId>)

/** The final state of a finished job, under the key [Keys.finished]. [tasks] is the number of its tasks. */
@Serializable
data class FinishedJobRecord(
    @SerialName("st") val status: JobStatus,
    @SerialName("n") val tasks: Int,
    /** When the job ended; absent in records written by versions that did not support prerequisites. */
    @SerialName("at") val endedAt: WallTime? = null,
    /** Whether the job was a service, which cannot be a prerequisite; absent in records of versions that did not support prerequisites. */
    @SerialName("sv") val isService: Boolean = false,
)

/**
 * The machine types, or the first of them if not all fit into one value.
 *
 * @property parts number of further values that hold the remaining types, under [Keys.typesPart]; the first versions ignore this field
 *   and read only the types in this record
 * @property digest digest of the names of all types, by which a reader detects parts of different lists; null if there are no parts
 */
@Serializable
data class TypesRecord(
    @SerialName("hulls") val types: List<MachineType>,
    @SerialName("n") val parts: Int = 0,
    @SerialName("d") val digest: Int? = null,
)

/** The images that some of the machines are assumed to hold, with their sizes in gigabytes. A hint on which no guarantee depends. */
@Serializable
data class ImagesRecord(@SerialName("m") val images: Map<MachineId, Map<ImageId, Double>>)

/**
 * Some of the [machines] on which a job failed, the number of its [failures], at most one for each machine and up to a bound, and the
 * longest time that a failed attempt ran, in seconds.
 */
@Serializable
data class FailingJob(
    @SerialName("m") val machines: List<MachineId>,
    @SerialName("n") val failures: Int,
    @SerialName("s") val longestRunS: Double = 0.0,
)

/** Jobs that failed on every machine on which they ran. A hint on which no guarantee depends. */
@Serializable
data class FailingRecord(@SerialName("j") val jobs: Map<JobId, FailingJob>)

/** A record of the journal: entries in the form of [JournalText]. Its [number] is one above the previous record's, also across terms. */
@Serializable
data class JournalRecord(
    @SerialName("q") val number: Long,
    @SerialName("t") val plain: String,
    /**
     * The entries in the compact form of [TextCodec], with [plain] empty; null if they are not compressed. Nodes of format version 1
     * ignore this field and would read no entries, so it is written only once all nodes read version 2.
     */
    @SerialName("z") val compressed: String? = null,
) {
    fun text(): String = TextCodec.read(plain, compressed)
}

/** Refers to the latest complete snapshot, which covers the journal's records up to the number [upTo]. */
@Serializable
data class SnapshotRecord(@SerialName("g") val generation: Long, @SerialName("u") val upTo: Long, @SerialName("n") val parts: Int)

/** One part of a snapshot: entries in the form of [JournalText], as in a [JournalRecord]. */
@Serializable
data class SnapshotPart(@SerialName("t") val plain: String, @SerialName("z") val compressed: String? = null) {
    fun text(): String = TextCodec.read(plain, compressed)
}

/** One part of the progress of running jobs, from which nodes answer users. The text has entries `JOB DONE RUNNING;` with task counts. */
@Serializable
data class ProgressRecord(@SerialName("t") val plain: String, @SerialName("z") val compressed: String? = null) {
    fun text(): String = TextCodec.read(plain, compressed)
}

/**
 * Version of the forms of stored records and sent messages that this code reads and writes. It rises when a form is added that the
 * previous version cannot read. Version 1 stands for releases before versions were numbered, whose nodes send no version.
 */
const val FORMAT_VERSION = 2

/**
 * States that every node of the deployment reads the forms of [version]. Written once every node is known to do so; [version] is never
 * lowered.
 */
@Serializable
data class FormatRecord(@SerialName("v") val version: Int)
