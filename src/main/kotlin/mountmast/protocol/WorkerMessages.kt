package mountmast.protocol

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** State of a task as its worker reports it. */
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

/** Why an attempt at a task exited or was rejected by the worker. */
@Serializable
enum class ExitCause {
    /** The task ran to completion. */
    @SerialName("done")
    DONE,

    /** The worker stopped the task before its completion. */
    @SerialName("halted")
    STOPPED,

    /** The task failed. */
    @SerialName("error")
    FAILED,

    /** The worker rejected the task, since the machine does not have enough free resources. */
    @SerialName("full")
    NO_ROOM,

    /** The worker rejected the attempt, since an earlier one has not exited on the machine; for instance it still saves a checkpoint. */
    @SerialName("in_use")
    BUSY,

    /** The worker rejected the task, since it does not know the job, or the job has no such task. */
    @SerialName("no_such")
    UNKNOWN,

    @SerialName("peers")
    PEERS,

    @SerialName("alone")
    ALONE,
}

/**
 * An attempt at a task as a worker's heartbeat reports it.
 *
 * @property task the task's id as the worker writes it, such as `j-000412/3`
 * @property cause why the task exited, or null if it has not exited
 * @property saved whether a checkpoint of the task is stored
 */
@Serializable
data class ReportedTask(
    @SerialName("piece") val task: String,
    @SerialName("try") val attempt: Attempt,
    @SerialName("status") val state: TaskState,
    @SerialName("cause") val cause: ExitCause? = null,
    @SerialName("stored") val saved: Boolean = false,
)

/**
 * A worker's heartbeat to a controller node, with the state of all its tasks.
 *
 * @property machine the machine on which the worker runs; [type], [zone] and [spot] describe that machine
 * @property address where the worker takes direct commands, as `HOST:PORT`
 * @property incarnation number of the worker's incarnation, which rises each time the worker's lease expires
 * @property sequence number of the heartbeat, which rises with each one that the worker sends
 * @property token the highest fencing token that the worker has seen
 * @property reclaimNoticeS seconds until the cloud reclaims the machine, or null if the cloud has not announced a reclaim
 * @property tasks all tasks on the machine, including exited ones for which the worker has received no [CommandType.FORGET]
 */
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

/** Type of a command to a worker. */
@Serializable
enum class CommandType {
    /** Starts the attempt at the task, unless the worker knows that attempt already. */
    @SerialName("start")
    START,

    /** Stops the task, after it has saved a checkpoint if the grace period is long enough for that. */
    @SerialName("kill")
    STOP,

    /** Makes the worker leave the exited task out of its heartbeats. */
    @SerialName("forget")
    FORGET,
}

/**
 * A command to a worker.
 *
 * @property task the task's id as the worker writes it, such as `j-000412/3`
 * @property terminationGraceS grace period in seconds within which a task to be stopped may save a checkpoint; null unless [type] is
 *   [CommandType.STOP]
 */
@Serializable
data class WorkerCommand(
    @SerialName("verb") val type: CommandType,
    @SerialName("piece") val task: String,
    @SerialName("try") val attempt: Attempt,
    @SerialName("windDownS") val terminationGraceS: Double? = null,
)

/** Answer to a worker's heartbeat. It renews the worker's lease if [token] is not below the highest that the worker has seen. */
@Serializable
data class HeartbeatResponse(@SerialName("helm") val token: FencingToken, @SerialName("orders") val commands: List<WorkerCommand>)

/** Answer to a worker's heartbeat that redirects the worker to [leader], or to any other node if [leader] is null. */
@Serializable
data class Redirect(@SerialName("bridge") val leader: NodeId? = null)

/**
 * Commands that the leader sends directly to a worker. The worker executes them if [token] is not below the highest that it has seen
 * and [incarnation] is its own.
 */
@Serializable
data class CommandRequest(
    @SerialName("helm") val token: FencingToken,
    @SerialName("watch") val incarnation: WorkerIncarnation,
    @SerialName("orders") val commands: List<WorkerCommand>,
)
