package mountmast.transport

/**
 * Metrics of the requests that wait for a thread.
 *
 * @property wait how long they waited
 * @property refused how many were refused
 * @property onQueue is given a function that returns how many wait at present
 */
class QueueMetrics(val wait: Timing, val refused: Counter, val onQueue: (() -> Int) -> Unit) {
    companion object {
        /** Counted, but exposed nowhere. */
        val NONE = QueueMetrics(Timing(), Counter()) {}
    }
}
