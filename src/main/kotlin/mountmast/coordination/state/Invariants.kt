package mountmast.coordination.state

import mountmast.transport.MetricNames
import mountmast.transport.Metrics
import org.slf4j.LoggerFactory

private val log = LoggerFactory.getLogger("mountmast.invariants")

/**
 * Conditions that the argument in `docs/design.md` rests on, checked where an action would rest on them. A violation is logged at
 * `error` and counted, and the caller leaves the action undone; the process goes on. Thread-safe.
 */
class Invariants(metrics: Metrics = Metrics()) {
    private val violations = metrics.counter(MetricNames.INVARIANT_VIOLATIONS)

    /** How many violations there were. */
    val violationCount: Long get() = violations.value

    /** Returns [isMet]; if it is false, counts a violation and logs [message], which is called only then. */
    fun check(isMet: Boolean, message: () -> String): Boolean {
        if (!isMet) {
            violations.add()
            log.error("invariant violated: {}", message())
        }
        return isMet
    }
}
