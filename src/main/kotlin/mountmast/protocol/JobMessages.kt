package mountmast.protocol

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.Transient

/** How the tasks of a job run. */
@Serializable
enum class Shape {
    /** Independent tasks, each of which runs to completion. */
    @SerialName("array")
    ARRAY,

    /** Replicas that run until the job is cancelled. */
    @SerialName("daemon")
    SERVICE,
}

/** Urgency of a job. The values are ordered by precedence, the most urgent first. */
@Serializable
enum class Urgency {
    @SerialName("prod")
    PRODUCTION,

    @SerialName("high")
    HIGH,

    @SerialName("normal")
    NORMAL,

    @SerialName("best_effort")
    BEST_EFFORT,
}

/**
 * A job as its user submitted it. The state service stores it in this form, so its serial names are part of the contract with users
 * and of that between versions.
 *
 * @property jobClass the class of jobs to which the users' service-level objectives refer
 * @property team the team whose quota the job uses
 * @property tasks number of tasks; their indices run from 0 to one less
 * @property cpus virtual processors that each task takes; [gpus] and [memoryGb] likewise, memory in gigabytes
 * @property image the image that a machine must hold before a task can start
 * @property imageGb size of [image] in gigabytes
 * @property types the machine types on which tasks may run, or null if all types are allowed
 * @property zone the zone in which tasks must run, or null if all zones are allowed
 * @property singleZone whether all tasks must run in one zone
 * @property spreadAcrossZones whether no zone may hold more than half of the tasks
 * @property spotAllowed whether tasks may run on spot machines
 * @property estimateS the user's estimate of how many seconds a task runs; 0 if the user gave none
 * @property checkpointEveryS seconds of progress between two checkpoints; 0 if tasks cannot save checkpoints
 * @property checkpointSaveS seconds that a task needs to save a checkpoint when it is stopped
 * @property deadlineS seconds after the submission within which the job should be done, or null if there is no deadline
 * @property prerequisites the jobs that must be done before any task of this job starts
 */
@Serializable
data class JobSpec(
    @SerialName("nameId") val id: JobId,
    @SerialName("jobclass") val jobClass: String,
    @SerialName("owner") val team: TeamId,
    @SerialName("shape") val shape: Shape,
    @SerialName("urgency") val urgency: Urgency,
    @SerialName("pieces") val tasks: Int,
    @SerialName("vcpus") val cpus: Double,
    @SerialName("cards") val gpus: Double,
    @SerialName("memGb") val memoryGb: Double,
    @SerialName("bundle") val image: ImageId,
    @SerialName("sizeGb") val imageGb: Double,
    @SerialName("hulls") val types: List<TypeId>? = null,
    @SerialName("yard") val zone: Zone? = null,
    @SerialName("together") val singleZone: Boolean,
    @SerialName("scatter") val spreadAcrossZones: Boolean,
    @SerialName("loaners") val spotAllowed: Boolean,
    @SerialName("expectedS") val estimateS: Double,
    @SerialName("markEveryS") val checkpointEveryS: Double,
    @SerialName("markCostS") val checkpointSaveS: Double,
    @SerialName("dueS") val deadlineS: Double? = null,
    @SerialName("waitsOn") val prerequisites: List<JobId> = emptyList(),
) {
    /** Resources that one task takes on a machine. */
    @Transient
    val perTask: Resources = Resources(cpus, gpus, memoryGb)

    /** The largest number of the job's tasks that may run in one zone. */
    val maxTasksPerZone: Int get() = if (spreadAcrossZones) (tasks + 1) / 2 else tasks
}

/** Status of a job as users see it. Records of finished jobs store its serial names, which are part of the contract between versions. */
@Serializable
enum class JobStatus {
    @SerialName("pending")
    PENDING,

    @SerialName("running")
    RUNNING,

    @SerialName("done")
    DONE,

    @SerialName("cancelled")
    CANCELLED,

    ;

    /** Whether a job with this status keeps it for good. */
    val isFinal: Boolean get() = this == DONE || this == CANCELLED
}

/**
 * Answer to a user's request about a job.
 *
 * @property done number of tasks that are done, or null if the answer gives no progress
 * @property running number of tasks that are assigned to machines, or null if the answer gives no progress
 * @property waitsOn some of the prerequisites that are not done yet; added to the protocol later, and meant for display only
 */
@Serializable
data class JobAnswer(
    @SerialName("nameId") val id: JobId,
    @SerialName("status") val status: JobStatus,
    @SerialName("done") val done: Int? = null,
    @SerialName("running") val running: Int? = null,
    @SerialName("waitsOn") val waitsOn: List<JobId>? = null,
)

/** Body of every answer to a user or worker that reports an error. */
@Serializable
data class ErrorResponse(@SerialName("error") val error: String)
