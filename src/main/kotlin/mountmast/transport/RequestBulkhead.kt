package mountmast.transport

/**
 * A bulkhead for the requests to one path: they have threads of their own, so that hundreds of them at once neither occupy all
 * threads nor compete for the processor with every other request.
 *
 * A request that has waited too long is refused without being handled: its sender is about to give up, and the time spent on it
 * is missing for requests that can still be answered in time.
 *
 * @property path prefix of the paths
 * @property threads number of threads that handle the requests
 * @property waiting the most requests that wait for a thread
 * @property patienceMs milliseconds after which a waiting request is refused
 */
class RequestBulkhead(
    val path: String,
    val threads: Int,
    val waiting: Int,
    val metrics: QueueMetrics = QueueMetrics.NONE,
    private val patienceMs: Long = Long.MAX_VALUE,
) {
    /** Whether one more request may wait while [queued] do. */
    fun admits(queued: Int): Boolean = queued < waiting

    /** Whether a request that has waited for [waitedMs] is still worth an answer. */
    fun isWorthAnswering(waitedMs: Long): Boolean = waitedMs < patienceMs

    companion object {
        /** Heartbeats are answered from memory, under the lock of the cluster state: more threads would only wait for one another. */
        private const val HEARTBEAT_THREADS = 4

        /** Workers wait for four seconds; the rest is for the network, and for reading and answering. */
        private const val HEARTBEAT_PATIENCE_MS = 3000L

        /**
         * Heartbeats are bounded by how long they wait, not by their number: each worker has one in flight, and one that is refused
         * comes back sooner than one that is answered, at hardly less cost (docs/incidents/4000-machines.md, HeartbeatOverloadTest).
         * This many only bound the memory.
         */
        private const val MAX_HEARTBEATS_WAITING = 16_384

        /** The bulkhead of workers' heartbeats. */
        fun forHeartbeats(metrics: QueueMetrics = QueueMetrics.NONE) =
            RequestBulkhead(HEARTBEAT_PATH, HEARTBEAT_THREADS, MAX_HEARTBEATS_WAITING, metrics, HEARTBEAT_PATIENCE_MS)

        /** The bulkhead of all requests that no other takes. */
        fun forOthers(threads: Int, waiting: Int, metrics: QueueMetrics = QueueMetrics.NONE) =
            RequestBulkhead("/", threads, waiting, metrics)
    }
}
