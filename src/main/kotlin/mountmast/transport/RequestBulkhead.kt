package mountmast.transport

/**
 * A bulkhead for the requests to paths with one prefix. These requests have threads and a queue of their own, so that hundreds of them
 * at once neither occupy all threads nor compete for the processor with every other request.
 *
 * A request that has waited for [maxWaitMs] is refused without being handled: its sender is about to give up, and the processor time
 * that it costs is better spent on requests that can still be answered in time.
 *
 * @property pathPrefix prefix of the paths of the requests
 * @property threadCount number of threads that handle the requests
 * @property maxWaiting maximum number of requests that wait for a thread
 * @property metrics metrics of the requests that wait
 * @property maxWaitMs milliseconds of waiting from which on a request is refused
 */
class RequestBulkhead(
    val pathPrefix: String,
    val threadCount: Int,
    val maxWaiting: Int,
    val metrics: QueueMetrics = QueueMetrics.NONE,
    private val maxWaitMs: Long = Long.MAX_VALUE,
) {
    /** Whether one more request may wait while [queued] requests are waiting. */
    fun admits(queued: Int): Boolean = queued < maxWaiting

    /** Whether a request that has waited for [waitedMs] milliseconds is handled rather than refused. */
    fun isWorthAnswering(waitedMs: Long): Boolean = waitedMs < maxWaitMs

    companion object {
        /** Heartbeats are answered from memory, under the lock of the cluster state: more threads would only contend for that lock. */
        private const val HEARTBEAT_THREADS = 4

        /**
         * Heartbeats that have waited for this long are refused. Workers wait 4 seconds for the answer; the remaining second is for the
         * network, and for reading and answering the heartbeat.
         */
        private const val MAX_HEARTBEAT_WAIT_MS = 3000L

        /**
         * Bounds only the memory that waiting heartbeats take; [MAX_HEARTBEAT_WAIT_MS] limits how long they wait. A lower number would
         * refuse heartbeats to no avail. Each worker has one heartbeat in flight. A worker whose heartbeat was refused sends the next one
         * sooner than a worker that got an answer, and a refusal costs hardly less than an answer
         * (docs/incidents/4000-machines.md, HeartbeatOverloadTest).
         */
        private const val MAX_HEARTBEATS_WAITING = 16_384

        /** Returns the bulkhead for workers' heartbeats. */
        fun forHeartbeats(metrics: QueueMetrics = QueueMetrics.NONE) =
            RequestBulkhead(HEARTBEAT_PATH, HEARTBEAT_THREADS, MAX_HEARTBEATS_WAITING, metrics, MAX_HEARTBEAT_WAIT_MS)

        /** Returns the default bulkhead: it takes the requests to all paths that no bulkhead with a longer path prefix takes. */
        fun forOthers(threads: Int, maxWaiting: Int, metrics: QueueMetrics = QueueMetrics.NONE) =
            RequestBulkhead("/", threads, maxWaiting, metrics)
    }
}
