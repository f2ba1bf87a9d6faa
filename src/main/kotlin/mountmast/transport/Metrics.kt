package mountmast.transport

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.LongAdder

/** A counter that only rises. Thread-safe and lock-free. */
class Counter {
    private val sum = LongAdder()

    /** The present count. */
    val value: Long get() = sum.sum()

    /** Adds [count]. */
    fun add(count: Long = 1) = sum.add(count)
}

/** Durations: their number, their sum, and the longest since it was last read. Thread-safe and lock-free. */
class Timing {
    private val recorded = LongAdder()
    private val sum = LongAdder()
    private val longest = AtomicLong()

    /** How many durations were recorded. */
    val count: Long get() = recorded.sum()

    /** Sum of all recorded durations in milliseconds. */
    val sumMs: Long get() = sum.sum()

    /** Records a duration of [ms] milliseconds. */
    fun record(ms: Long) {
        recorded.add(1)
        sum.add(ms)
        if (ms > longest.get()) longest.accumulateAndGet(ms, ::maxOf)
    }

    /** Returns the longest duration since the previous call, in milliseconds. */
    fun readAndResetLongestMs(): Long = longest.getAndSet(0)
}

/** The metrics of one process by name, for `GET /metrics` and the summary in the log. Thread-safe. */
class Metrics {
    private val counters = ConcurrentHashMap<String, Counter>()
    private val timings = ConcurrentHashMap<String, Timing>()
    private val gauges = ConcurrentHashMap<String, () -> Number>()

    /** Returns the counter [name]. */
    fun counter(name: String): Counter = counters.computeIfAbsent(name) { Counter() }

    /** Returns the durations [name]. */
    fun timing(name: String): Timing = timings.computeIfAbsent(name) { Timing() }

    /** Registers [read] as the source of the gauge [name], in place of an earlier one. */
    fun gauge(name: String, read: () -> Number) {
        gauges[name] = read
    }

    /** Returns the present value of the gauge [name], or 0 if there is none. */
    fun gaugeValue(name: String): Long = gauges[name]?.invoke()?.toLong() ?: 0

    /** Returns all values, one a line, in the text exposition format. */
    fun render(): String = buildString {
        for ((name, counter) in counters.toSortedMap()) line("${name}_total", counter.value)
        for ((name, timing) in timings.toSortedMap()) {
            line("${name}_count", timing.count)
            line("${name}_sum_ms", timing.sumMs)
        }
        for ((name, read) in gauges.toSortedMap()) line(name, read())
    }

    private fun StringBuilder.line(name: String, value: Number) = append(PREFIX).append(name).append(' ').append(value).append('\n')

    private companion object {
        const val PREFIX = "mountmast_"
    }
}

/** Names of the metrics that more than one place uses. They are what operators know, and stay when names in the code change. */
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
    const val HEAP_USED = "heap_used_mb"
    const val COLLECTIONS = "collections"
    const val COLLECTION_TIME = "collection_time_ms"
}
