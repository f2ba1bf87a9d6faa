package mountmast.coordination.state

import mountmast.transport.MetricNames
import mountmast.transport.Metrics
import org.slf4j.LoggerFactory

private val log = LoggerFactory.getLogger("mountmast.invariants")

/**
 * Checks at run time the conditions on which the correctness argument in `docs/design.md` relies, right before an action that
 * relies on them. A violation is logged at `error` and counted, and the caller skips the action; the process goes on. Thread-safe.
 */
class Invariants(metrics: Metrics = Metrics()) {
    private val violationCounter = metrics.counter(MetricNames.INVARIANT_VIOLATIONS)

    /** How many violations were found since the process started. */
    val violationCount: Long get() = violationCounter.value

    /** Returns [isMet]. If it is false, counts a violation and logs the result of [message], which is not called otherwise. */
    fun check(isMet: Boolean, message: () -> String): Boolean {
        if (!isMet) {
            violationCounter.add()
            log.error("invariant violated: {}", message())
        }
        return isMet
    }
}
