package mountmast.coordination.state

import mountmast.transport.Counter
import mountmast.transport.Metrics

/** Why a task was off its machine without having exited there. */
enum class LossCause {
    /** The lease of its worker is over. */
    LEASE_OVER,

    /** Its worker began a new session. */
    NEW_SESSION,

    /** Its machine was deleted. */
    MACHINE_DELETED,
}

/** Counts lost tasks by their cause. Thread-safe. */
class TaskLosses(metrics: Metrics = Metrics()) {
    private val counters: Map<LossCause, Counter> =
        LossCause.entries.associateWith { metrics.counter("tasks_lost_${it.name.lowercase()}") }

    /** One task was lost. */
    fun note(cause: LossCause) = counters.getValue(cause).add()

    /** How many were lost for this [cause] so far. */
    fun of(cause: LossCause): Long = counters.getValue(cause).value
}
