package mountmast.coordination.state

import mountmast.protocol.Attempt

/** One attempt of a task, by the name that the worker writes. */
internal data class TaskAttempt(val taskName: String, val attempt: Attempt)
