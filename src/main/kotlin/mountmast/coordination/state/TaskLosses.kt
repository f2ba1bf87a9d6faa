package mountmast.coordination.state

import mountmast.transport.Counter
import mountmast.transport.Metrics

/** Why an assignment ended although its task is not known to have exited. */
enum class LossCause(
    /** The name of the cause in metrics and in the log. */
    val label: String,
) {
    /** The lease of the task's worker expired. */
    LEASE_EXPIRED("lease_over"),

    /** The task's worker began a new incarnation. */
    NEW_INCARNATION("new_session"),

    /** The task's machine was deleted. */
    MACHINE_DELETED("machine_deleted"),
}

/** Counts lost tasks by the cause of the loss. Thread-safe. */
class TaskLosses(metrics: Metrics = Metrics()) {
    private val counters: Map<LossCause, Counter> =
        LossCause.entries.associateWith { metrics.counter("tasks_lost_${it.label}") }

    /** Counts one more task that was lost by [cause]. */
    fun record(cause: LossCause) = counters.getValue(cause).add()

    /** How many tasks were lost by [cause] since the process started. */
    fun countOf(cause: LossCause): Long = counters.getValue(cause).value
}
