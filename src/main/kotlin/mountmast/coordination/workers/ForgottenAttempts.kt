package mountmast.coordination.workers

import mountmast.transport.MetricNames
import mountmast.transport.Metrics

/** Counts the `forget` commands for attempts that exited without completing. Thread-safe. */
class ForgottenAttempts(metrics: Metrics = Metrics()) {
    private val uncompletedCounter = metrics.counter(MetricNames.UNCOMPLETED_ATTEMPTS_FORGOTTEN)

    /** Counts [count] more `forget` commands for uncompleted attempts. */
    fun recordUncompleted(count: Int) = uncompletedCounter.add(count.toLong())
}
