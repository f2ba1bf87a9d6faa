package mountmast.protocol

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

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

/**
 * A task in a worker's heartbeat.
 *
 * @property task the task's id as the worker writes it, such as `j-000412/3`
 * @property cause why it exited, or null while it has not
 * @property saved whether a checkpoint of it is stored
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
 * A worker's heartbeat with the status of all its tasks.
 *
 * @property address where the worker takes direct commands, as `HOST:PORT`
 * @property incarnation rises each time the worker's lease expires
 * @property sequence rises with each message of the worker
 * @property token the highest fencing token that the worker has seen
 * @property reclaimNoticeS seconds until the cloud reclaims the machine, or null if it has not announced that
 * @property tasks all tasks on the machine, also exited ones that it was not told to forget
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

/** The kinds of commands to workers. */
@Serializable
enum class CommandType {
    /** Start the task, unless the attempt is known already. */
    @SerialName("start")
    START,

    /** Stop the task, after a checkpoint if the grace period allows one. */
    @SerialName("kill")
    STOP,

    /** Drop the exited task from heartbeats. */
    @SerialName("forget")
    FORGET,
}

/**
 * A command to a worker.
 *
 * @property task the task's id as the worker writes it, such as `j-000412/3`
 * @property terminationGraceS seconds that a task to be stopped may take to save; null for other commands
 */
@Serializable
data class WorkerCommand(
    @SerialName("verb") val type: CommandType,
    @SerialName("piece") val task: String,
    @SerialName("try") val attempt: Attempt,
    @SerialName("windDownS") val terminationGraceS: Double? = null,
)

/** Answer to a worker's heartbeat. It renews the worker's lease if [token] is at least as high as the worker's own. */
@Serializable
data class HeartbeatResponse(@SerialName("helm") val token: FencingToken, @SerialName("orders") val commands: List<WorkerCommand>)

/** Answer that sends a worker to the leader, or to any other node if [leader] is null. */
@Serializable
data class Redirect(@SerialName("bridge") val leader: NodeId? = null)

/** Commands sent directly to a worker, which executes them if [token] is not below its own and [incarnation] is its own. */
@Serializable
data class CommandRequest(
    @SerialName("helm") val token: FencingToken,
    @SerialName("watch") val incarnation: WorkerIncarnation,
    @SerialName("orders") val commands: List<WorkerCommand>,
)
