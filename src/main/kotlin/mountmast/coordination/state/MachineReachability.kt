package mountmast.coordination.state

import mountmast.protocol.MonotonicTime

/** Whether answers and commands reach one machine's worker, as its heartbeats show. Guarded as its [ClusterState] is. */
class MachineReachability {
    /** Heartbeats in a row that show no effect of the answers before them. */
    var unacknowledgedHeartbeats = 0
        private set

    /** Since when answers and commands seem not to reach the worker although its heartbeats arrive; null while they do. */
    var unreachedSince: MonotonicTime? = null
        private set

    /** Counts [heartbeats] more that show no effect of the answers before them. */
    fun countUnacknowledged(heartbeats: Int = 1) {
        unacknowledgedHeartbeats += heartbeats
    }

    /** Begins the count of unacknowledged heartbeats anew. */
    fun clearUnacknowledged() {
        unacknowledgedHeartbeats = 0
    }

    /** Records that nothing seems to reach the worker since [now]. */
    fun markUnreached(now: MonotonicTime) {
        unreachedSince = now
    }

    /** Records that answers reach the worker again. */
    fun markReached() {
        unreachedSince = null
    }
}
