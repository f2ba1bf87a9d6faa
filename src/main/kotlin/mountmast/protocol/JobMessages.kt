package mountmast.protocol

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.Transient

/** Shape of a job. */
@Serializable
enum class Shape {
    /** Independent tasks, each of which runs to completion. */
    @SerialName("array")
    ARRAY,

    /** Replicas that run until the job is cancelled. */
    @SerialName("daemon")
    SERVICE,
}

/** Urgency of a job. The order of the values is that of their precedence, the most urgent first. */
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
 * A job as its user submitted it. It is stored in this form, so its serial names are also part of the contract between versions.
 *
 * @property jobClass the class that the users' service-level objectives refer to
 * @property tasks number of tasks, counted from 0
 * @property cpus virtual processors of each task; [gpus] and [memoryGb] likewise
 * @property image the image that a machine must hold before a task can start, and its size [imageGb]
 * @property types the machine types on which tasks may run, or null if all are allowed
 * @property zone the zone in which tasks must run, or null if any will do
 * @property singleZone whether all tasks must run in one zone
 * @property spreadAcrossZones whether no zone may hold more than half of the tasks
 * @property spotAllowed whether tasks may run on spot machines
 * @property estimateS the user's estimate of a task's run in seconds; 0 if there is none
 * @property checkpointEveryS seconds of progress between two checkpoints; 0 if tasks cannot save
 * @property checkpointSaveS seconds that a task needs to save when it is stopped
 * @property deadlineS seconds after the submission by which the job should be done, or null
 * @property prerequisites the jobs that must be done before any task of this one starts
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
    /** What one task takes of a machine. */
    @Transient
    val perTask: Resources = Resources(cpus, gpus, memoryGb)

    /** The most tasks that may be in one zone. */
    val maxTasksPerZone: Int get() = if (spreadAcrossZones) (tasks + 1) / 2 else tasks
}

/** State of a job as users see it. Its serial names are stored, and so part of the contract between versions. */
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

    /** Whether the state never changes any more. */
    val isFinal: Boolean get() = this == DONE || this == CANCELLED
}

/**
 * Answer to users about a job.
 *
 * @property done number of tasks that are done
 * @property running number of tasks on machines
 * @property waitsOn some of the jobs that must be done before this one starts; an addition to the protocol, for display
 */
@Serializable
data class JobAnswer(
    @SerialName("nameId") val id: JobId,
    @SerialName("status") val status: JobStatus,
    @SerialName("done") val done: Int? = null,
    @SerialName("running") val running: Int? = null,
    @SerialName("waitsOn") val waitsOn: List<JobId>? = null,
)

/** The body of every answer that reports an error, to users and workers. */
@Serializable
data class ErrorResponse(@SerialName("error") val error: String)
