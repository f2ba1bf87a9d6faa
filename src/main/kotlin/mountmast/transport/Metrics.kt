package mountmast.transport

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.LongAdder

/** A counter that only increases. Thread-safe and lock-free. */
class Counter {
    private val sum = LongAdder()

    /** The current count. */
    val value: Long get() = sum.sum()

    /** Adds [count], which is not negative. */
    fun add(count: Long = 1) = sum.add(count)
}

/** Metric of durations: their number, their sum, and the longest one since the longest was last read. Thread-safe and lock-free. */
class Timing {
    private val recordedCount = LongAdder()
    private val sum = LongAdder()
    private val longest = AtomicLong()

    /** Number of recorded durations. */
    val count: Long get() = recordedCount.sum()

    /** Sum of all recorded durations in milliseconds. */
    val sumMs: Long get() = sum.sum()

    /** Records a duration of [ms] milliseconds. */
    fun record(ms: Long) {
        recordedCount.add(1)
        sum.add(ms)
        if (ms > longest.get()) longest.accumulateAndGet(ms, ::maxOf)
    }

    /** Returns the longest duration recorded since the previous call in milliseconds, or 0 if none was recordedCount. */
    fun readAndResetLongestMs(): Long = longest.getAndSet(0)
}

/** Registry of the metrics of one process by name, for `GET /metrics` and the load summary in the log. Thread-safe. */
class Metrics {
    private val counters = ConcurrentHashMap<String, Counter>()
    private val timings = ConcurrentHashMap<String, Timing>()
    private val gauges = ConcurrentHashMap<String, () -> Number>()

    /** Returns the counter [name], and creates it if there is none. */
    fun counter(name: String): Counter = counters.computeIfAbsent(name) { Counter() }

    /** Returns the metric of durations [name], and creates it if there is none. */
    fun timing(name: String): Timing = timings.computeIfAbsent(name) { Timing() }

    /** Registers [read] as the function that returns the value of the gauge [name]; it replaces an earlier one. */
    fun gauge(name: String, read: () -> Number) {
        gauges[name] = read
    }

    /** Returns the current value of the gauge [name], truncated to an integer, or 0 if there is no such gauge. */
    fun gaugeValue(name: String): Long = gauges[name]?.invoke()?.toLong() ?: 0

    /** Returns all values in Prometheus' text exposition format, one per line: counters, durations, then gauges, each sorted by name. */
    fun render(): String = buildString {
        for ((name, counter) in counters.toSortedMap()) appendMetric("${name}_total", counter.value)
        for ((name, timing) in timings.toSortedMap()) {
            appendMetric("${name}_count", timing.count)
            appendMetric("${name}_sum_ms", timing.sumMs)
        }
        for ((name, read) in gauges.toSortedMap()) appendMetric(name, read())
    }

    private fun StringBuilder.appendMetric(name: String, value: Number) = append(PREFIX).append(name).append(' ').append(value).append('\n')

    private companion object {
        const val PREFIX = "mountmast_"
    }
}

/** Names of the metrics that several files use. Operators rely on them, so they stay when identifiers in the code are renamed. */
object MetricNames {
    const val HEARTBEATS_ANSWERED = "reports_answered"
    const val HEARTBEATS_REFUSED = "reports_refused"
    const val HEARTBEATS_WAITING = "reports_waiting"
    const val HEARTBEAT_WAIT = "report_wait"
    const val REQUESTS_WAITING = "requests_waiting"
    const val REQUEST_WAIT = "request_wait"
    const val REQUESTS_REFUSED = "requests_refused"
    const val STORE_CALLS = "store_call"
    const val STORE_FAILURES = "store_failures"
    const val WAKE_LAG = "wake_lag"
    const val ELECTIONS = "elections"
    const val RESIGNATIONS = "resignations"
    const val RENEWAL_AGE = "renewal_age_ms"
    const val PENDING_CHANGES = "unwritten_changes"
    const val LAST_WRITE_AGE = "last_write_age_ms"
    const val MACHINES_UP = "machines_up"
    const val ASSIGNMENTS = "assignments"
    const val JOBS = "jobs"
    const val INVARIANT_VIOLATIONS = "invariant_violations"
    const val UNCOMPLETED_ATTEMPTS_FORGOTTEN = "uncompleted_attempts_forgotten"
    const val READY = "ready"
    const val PEERS_HEARD = "peers_heard"
    const val PEERS_SERVING = "peers_serving"
    const val HEAP_USED = "heap_used_mb"
    const val COLLECTIONS = "collections"
    const val COLLECTION_TIME = "collection_time_ms"
}
