package mountmast.coordination.controller

import mountmast.coordination.election.LeaderElection
import mountmast.coordination.state.LossCause
import mountmast.coordination.state.MachineState
import mountmast.coordination.state.TaskLosses
import mountmast.protocol.Clock
import mountmast.transport.MetricNames
import mountmast.transport.Metrics
import org.slf4j.LoggerFactory
import java.lang.management.ManagementFactory
import kotlin.concurrent.withLock

private val log = LoggerFactory.getLogger("mountmast.load")

/**
 * Measures the load of this node. Registers gauges for the metrics page, and logs one line at each call of [logLoad], every
 * few seconds on one thread. The gauges are read by any thread; those that read the leader's term take its lock.
 */
internal class LoadMonitor(
    private val metrics: Metrics,
    private val taskLosses: TaskLosses,
    private val election: LeaderElection,
    private val leaderTerm: () -> LeaderTerm?,
    private val clock: Clock,
) {
    private val answeredHeartbeats = metrics.counter(MetricNames.HEARTBEATS_ANSWERED)
    private val refusedHeartbeats = metrics.counter(MetricNames.HEARTBEATS_REFUSED)
    private val heartbeatWait = metrics.timing(MetricNames.HEARTBEAT_WAIT)
    private val requestWait = metrics.timing(MetricNames.REQUEST_WAIT)
    private val storeCalls = metrics.timing(MetricNames.STORE_CALLS)
    private val storeFailures = metrics.counter(MetricNames.STORE_FAILURES)
    private val wakeLag = metrics.timing(MetricNames.WAKE_LAG)
    private var lastLoggedAt = clock.now()
    private var lastTotals = Totals(0, 0, 0, 0)

    /** Values of the counters at one moment. */
    private class Totals(val answeredHeartbeats: Long, val refusedHeartbeats: Long, val storeCalls: Long, val storeFailures: Long)

    init {
        metrics.gauge(MetricNames.RENEWAL_AGE) { election.renewalAgeMs ?: NO_VALUE }
        metrics.gauge(MetricNames.PENDING_CHANGES) { readTerm { it.cluster.pendingChanges.size } }
        metrics.gauge(MetricNames.LAST_WRITE_AGE) { readTerm { term -> term.journal.lastCommitAt?.let { clock.now() - it } ?: NO_VALUE } }
        metrics.gauge(MetricNames.MACHINES_UP) { readTerm { term -> term.cluster.machines.values.count { it.state == MachineState.UP } } }
        metrics.gauge(MetricNames.ASSIGNMENTS) { readTerm { term -> term.cluster.machines.values.sumOf { it.unreleasedAssignments.size } } }
        metrics.gauge(MetricNames.JOBS) { readTerm { it.cluster.jobs.size } }
        metrics.gauge(MetricNames.HEAP_USED) { heapUsedMb() }
        // The log line leaves garbage collections out: loading the garbage collector beans costs a cold node processor time.
        metrics.gauge(MetricNames.COLLECTIONS) { ManagementFactory.getGarbageCollectorMXBeans().sumOf { it.collectionCount } }
        metrics.gauge(MetricNames.COLLECTION_TIME) { ManagementFactory.getGarbageCollectorMXBeans().sumOf { it.collectionTime } }
    }

    private fun readTerm(read: (LeaderTerm) -> Number): Number {
        val term = leaderTerm() ?: return NO_VALUE
        return term.lock.withLock { read(term) }
    }

    private fun heapUsedMb(): Long = Runtime.getRuntime().let { (it.totalMemory() - it.freeMemory()) / BYTES_PER_MB }

    /** Logs the load since the last call, at `info` while this node leads and has loaded its state, and at `debug` otherwise. */
    fun logLoad() {
        val now = clock.now()
        val totals = Totals(answeredHeartbeats.value, refusedHeartbeats.value, storeCalls.count, storeFailures.value)
        val seconds = maxOf(1L, (now - lastLoggedAt) / MS_PER_S)
        val parts = listOf(formatWork(), formatHeartbeats(totals, seconds), formatStore(totals, seconds), formatProcess())
        val load = "load: " + parts.joinToString("; ")
        lastLoggedAt = now
        lastTotals = totals
        if (leaderTerm() != null) log.info(load) else log.debug(load)
    }

    private fun formatWork(): String {
        val machinesUp = metrics.gaugeValue(MetricNames.MACHINES_UP)
        val assignments = metrics.gaugeValue(MetricNames.ASSIGNMENTS)
        return "$machinesUp machines up, $assignments assignments, ${metrics.gaugeValue(MetricNames.JOBS)} jobs"
    }

    private fun formatHeartbeats(totals: Totals, seconds: Long): String {
        val rate = (totals.answeredHeartbeats - lastTotals.answeredHeartbeats) / seconds
        val waiting = metrics.gaugeValue(MetricNames.HEARTBEATS_WAITING)
        val refused = totals.refusedHeartbeats - lastTotals.refusedHeartbeats
        return "$rate reports/s waited up to ${heartbeatWait.readAndResetLongestMs()} ms, $refused refused, $waiting wait; " +
            "requests waited up to ${requestWait.readAndResetLongestMs()} ms, ${metrics.gaugeValue(MetricNames.REQUESTS_WAITING)} wait"
    }

    private fun formatStore(totals: Totals, seconds: Long): String {
        val rate = (totals.storeCalls - lastTotals.storeCalls) / seconds
        val failed = totals.storeFailures - lastTotals.storeFailures
        return "state service $rate calls/s up to ${storeCalls.readAndResetLongestMs()} ms, $failed failed; " +
            "renewed ${metrics.gaugeValue(MetricNames.RENEWAL_AGE)} ms ago, " +
            "${metrics.gaugeValue(MetricNames.PENDING_CHANGES)} changes unwritten, " +
            "last write ${metrics.gaugeValue(MetricNames.LAST_WRITE_AGE)} ms ago"
    }

    private fun formatProcess(): String {
        val lost = LossCause.entries.joinToString { "${taskLosses.countOf(it)} ${it.label}" }
        return "woke up to ${wakeLag.readAndResetLongestMs()} ms late, heap ${heapUsedMb()} MB; tasks lost so far: $lost"
    }

    private companion object {
        /**
         * Reported by a gauge without a value. The gauges read from the leader's term have none while this node does not lead or has
         * not loaded the cluster state. The age of the last renewal has none while this node does not lead, and the age of the last
         * write has none before the first write.
         */
        const val NO_VALUE = -1L
        const val MS_PER_S = 1000L
        const val BYTES_PER_MB = 1024L * 1024
    }
}
