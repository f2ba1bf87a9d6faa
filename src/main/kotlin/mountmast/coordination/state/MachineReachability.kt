package mountmast.coordination.state

import mountmast.protocol.MonotonicTime

/**
 * Whether answers to heartbeats and commands reach one machine's worker, judged by its heartbeats. Guarded by the lock of the leader's
 * term.
 */
class MachineReachability {
    /** How many heartbeats in a row show no effect of the answers to earlier heartbeats. */
    var unacknowledgedHeartbeats = 0
        private set

    /** Since when the worker is taken to receive no answers or commands although its heartbeats arrive; null while it receives them. */
    var unreachableSince: MonotonicTime? = null
        private set

    /** Counts [heartbeats] more heartbeats that show no effect of the answers to earlier ones. */
    fun countUnacknowledged(heartbeats: Int = 1) {
        unacknowledgedHeartbeats += heartbeats
    }

    /** Resets the count of unacknowledged heartbeats to zero. */
    fun clearUnacknowledged() {
        unacknowledgedHeartbeats = 0
    }

    /** Records that the worker is taken to receive no answers or commands from [now] on. */
    fun markUnreachable(now: MonotonicTime) {
        unreachableSince = now
    }

    /** Records that answers and commands reach the worker again. */
    fun markReachable() {
        unreachableSince = null
    }
}
