package mountmast.protocol

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.Transient
import kotlinx.serialization.json.Json

/** How every JSON body is read and written: unknown fields are ignored, nulls are left out. */
val WireJson = Json {
    ignoreUnknownKeys = true
    explicitNulls = false
    encodeDefaults = false
}

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

/** Urgency of a job, most urgent first. */
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

/** A job as its user submitted it. It is stored in this form, so its serial names are also the contract between versions. */
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
    /** The jobs that have to be done before any task of this one starts. */
    @SerialName("waitsOn") val prerequisites: List<JobId> = emptyList(),
) {
    @Transient
    val perTask: Resources = Resources(cpus, gpus, memoryGb)

    /** Most tasks that may be in one zone. */
    val maxTasksPerZone: Int get() = if (spreadAcrossZones) (tasks + 1) / 2 else tasks
}

/** State of a job as users see it; its serial names are stored, and so the contract between versions. */
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

    val isFinal: Boolean get() = this == DONE || this == CANCELLED
}

/** Answer to users about a job. */
@Serializable
data class JobAnswer(
    @SerialName("nameId") val id: JobId,
    @SerialName("status") val status: JobStatus,
    @SerialName("done") val done: Int? = null,
    @SerialName("running") val running: Int? = null,
    /** Some of the jobs that have to be done before this one starts; an addition of ours for display. */
    @SerialName("waitsOn") val waitsOn: List<JobId>? = null,
)

/** Any refusal, to users and workers. */
@Serializable
data class ErrorResponse(@SerialName("error") val error: String)

/** State of a task on a worker. */
@Serializable
enum class TaskState {
    @SerialName("pulling")
    FETCHING,

    @SerialName("waiting")
    WAITING,

    @SerialName("running")
    RUNNING,

    @SerialName("flushing")
    SAVING,

    @SerialName("exited")
    EXITED,
}

/** Why a task exited. */
@Serializable
enum class ExitCause {
    @SerialName("done")
    DONE,

    @SerialName("halted")
    STOPPED,

    @SerialName("error")
    FAILED,

    @SerialName("full")
    NO_ROOM,

    @SerialName("in_use")
    BUSY,

    @SerialName("no_such")
    UNKNOWN,

    @SerialName("peers")
    PEERS,

    @SerialName("alone")
    ALONE,
}

/** A task in a worker's report. */
@Serializable
data class ReportedTask(
    @SerialName("piece") val task: String,
    @SerialName("try") val attempt: Attempt,
    @SerialName("status") val state: TaskState,
    @SerialName("cause") val cause: ExitCause? = null,
    @SerialName("stored") val saved: Boolean = false,
)

/** A worker's report. */
@Serializable
data class Heartbeat(
    @SerialName("host") val machine: MachineId,
    @SerialName("address") val address: String,
    @SerialName("hull") val type: TypeId,
    @SerialName("yard") val zone: Zone,
    @SerialName("loaners") val spot: Boolean = false,
    @SerialName("watch") val incarnation: WorkerIncarnation,
    @SerialName("tally") val sequence: HeartbeatSequence,
    @SerialName("helm") val token: FencingToken = FencingToken(0u),
    @SerialName("recallS") val reclaimNoticeS: Double? = null,
    @SerialName("pieces") val tasks: List<ReportedTask> = emptyList(),
)

/** What a command tells a worker to do. */
@Serializable
enum class CommandType {
    @SerialName("start")
    START,

    @SerialName("kill")
    STOP,

    @SerialName("forget")
    FORGET,
}

/** A command to a worker. */
@Serializable
data class WorkerCommand(
    @SerialName("verb") val type: CommandType,
    @SerialName("piece") val task: String,
    @SerialName("try") val attempt: Attempt,
    @SerialName("windDownS") val terminationGraceS: Double? = null,
)

/** Answer to a worker's report. */
@Serializable
data class HeartbeatResponse(@SerialName("helm") val token: FencingToken, @SerialName("orders") val commands: List<WorkerCommand>)

/** Answer that sends a worker to another node. */
@Serializable
data class Redirect(@SerialName("bridge") val leader: NodeId? = null)

/** Commands sent directly to a worker. */
@Serializable
data class CommandRequest(
    @SerialName("helm") val token: FencingToken,
    @SerialName("watch") val incarnation: WorkerIncarnation,
    @SerialName("orders") val commands: List<WorkerCommand>,
)

/** A machine type with the current prices. It is stored in this form, so its serial names are the contract between versions. */
@Serializable
data class MachineType(
    @SerialName("sku") val id: TypeId,
    @SerialName("vcpus") val cpus: Double,
    @SerialName("cards") val gpus: Double = 0.0,
    @SerialName("memGb") val memoryGb: Double,
    @SerialName("localGb") val cacheGb: Double,
    @SerialName("fetchGbPerS") val fetchGbPerS: Double,
    @SerialName("hourly") val price: Double,
    @SerialName("lowPrice") val spotPrice: Double,
    @SerialName("readyS") val bootS: Double,
    @SerialName("yards") val zones: List<Zone>,
) {
    val capacity: Resources get() = Resources(cpus, gpus, memoryGb)
}

/** The machine types on offer; stored in this form, see [MachineType]. */
@Serializable
data class MachineTypes(@SerialName("hulls") val types: List<MachineType>)

/** Request for machines. */
@Serializable
data class RentalRequest(
    @SerialName("charter") val id: RentalRequestId,
    @SerialName("hull") val type: TypeId,
    @SerialName("yard") val zone: Zone,
    @SerialName("loaners") val spot: Boolean,
    @SerialName("number") val count: Int,
)

/** Names of machines: those rented, or those to be deleted. */
@Serializable
data class MachineNames(@SerialName("hosts") val machines: List<MachineId>)

/** State of a machine in the cloud's list. */
@Serializable
enum class ListedState {
    @SerialName("booting")
    BOOTING,

    @SerialName("running")
    RUNNING,

    @SerialName("failed")
    FAILED,
}

/** A machine in the cloud's list. */
@Serializable
data class ListedMachine(
    @SerialName("nameId") val id: MachineId,
    @SerialName("address") val address: String? = null,
    @SerialName("hull") val type: TypeId,
    @SerialName("yard") val zone: Zone,
    @SerialName("loaners") val spot: Boolean = false,
    @SerialName("status") val state: ListedState,
    @SerialName("ageS") val ageS: Double = 0.0,
)

/** A page of the cloud's list. */
@Serializable
data class MachinePage(@SerialName("hosts") val machines: List<ListedMachine>, @SerialName("truncated") val more: Boolean = false)
