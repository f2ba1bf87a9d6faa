package mountmast.transport

/**
 * Metrics of a queue of requests that wait for a thread.
 *
 * @property waitTiming how long each request waited, in milliseconds
 * @property refusedRequests number of requests that were refused, because the queue was full or because they waited too long
 * @property registerQueueSize called with a function that returns how many requests wait at present
 */
class QueueMetrics(val waitTiming: Timing, val refusedRequests: Counter, val registerQueueSize: (() -> Int) -> Unit) {
    companion object {
        /** Metrics that are recorded, but that `GET /metrics` does not return. */
        val NONE = QueueMetrics(Timing(), Counter()) {}
    }
}
