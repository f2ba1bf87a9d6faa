package mountmast.coordination.state

import mountmast.protocol.Attempt

/** A task that a worker's heartbeat lists and that the cluster state has no assignment for. Immutable. */
class UnassignedTask(
    /** The task's name as the worker writes it. */
    val taskName: String,
    val attempt: Attempt,
    /** Whether the attempt has ended; the worker lists it until it is told to forget it. */
    val exited: Boolean,
    /** Whether it ended by completing. */
    val completed: Boolean,
)
