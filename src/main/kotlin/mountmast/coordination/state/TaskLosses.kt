package mountmast.coordination.state

import mountmast.transport.Counter
import mountmast.transport.Metrics

/** Why a task was off its machine without having exited there. */
enum class LossCause(
    /** Names the cause in metrics and in the log. */
    val label: String,
) {
    /** The lease of its worker expired. */
    LEASE_EXPIRED("lease_over"),

    /** Its worker began a new incarnation. */
    NEW_INCARNATION("new_session"),

    /** Its machine was deleted. */
    MACHINE_DELETED("machine_deleted"),
}

/** Counts lost tasks by their cause. Thread-safe. */
class TaskLosses(metrics: Metrics = Metrics()) {
    private val counters: Map<LossCause, Counter> =
        LossCause.entries.associateWith { metrics.counter("tasks_lost_${it.label}") }

    /** Counts one more task that was lost for this [cause]. */
    fun record(cause: LossCause) = counters.getValue(cause).add()

    /** How many were lost for this [cause] so far. */
    fun of(cause: LossCause): Long = counters.getValue(cause).value
}
