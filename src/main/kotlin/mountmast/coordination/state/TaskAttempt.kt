package mountmast.coordination.state

import mountmast.protocol.Attempt

/** Identifies one attempt of a task by the task's name ([Assignment.taskName]) and the attempt's number. */
internal data class TaskAttempt(val taskName: String, val attempt: Attempt)
