package mountmast.coordination.state

import mountmast.protocol.Attempt

/** An attempt that a worker's heartbeat lists and for which the cluster state has no assignment. Immutable. */
class UnassignedTask(
    /** The task's name as the worker reports it, in the form of [Assignment.taskName]. */
    val taskName: String,
    val attempt: Attempt,
    /** Whether the attempt has exited. The worker lists an exited attempt until it receives a `forget` command for it. */
    val hasExited: Boolean,
    /** Whether the attempt exited because the task completed. */
    val isCompleted: Boolean,
)
