package mountmast.coordination.controller

import mountmast.coordination.election.LeaderElection
import mountmast.coordination.membership.PeerMembership
import mountmast.protocol.Clock
import mountmast.transport.MetricNames
import mountmast.transport.Metrics
import org.slf4j.LoggerFactory
import java.util.concurrent.atomic.AtomicReference

private val log = LoggerFactory.getLogger("mountmast.readiness")

/**
 * Decides whether the load balancer should send users to this node. Logs each change of the decision with its reason and with what
 * this node has heard of the others. [updateAdmission] is called by one thread, [recordWakeLag] by one other thread, [isReady] by any
 * thread.
 */
internal class ReadinessMonitor(
    private val election: LeaderElection,
    private val membership: PeerMembership,
    /** Number of the other nodes of the deployment. */
    private val peerCount: Int,
    metrics: Metrics,
    private val clock: Clock,
    /** Returns whether this node can serve users without forwarding their requests. */
    private val canServe: () -> Boolean,
) {
    /** How late short sleeps of this process end, in milliseconds: an exponential moving average over some seconds. */
    @Volatile
    private var meanWakeLagMs = 0.0

    @Volatile
    private var declinesUsers = false

    private val wakeLag = metrics.timing(MetricNames.WAKE_LAG)
    private val lastReadiness = AtomicReference<Readiness>()

    init {
        metrics.gauge(MetricNames.READY) { if (assess().isReady) 1 else 0 }
        metrics.gauge(MetricNames.PEERS_HEARD) { membership.countHeard() }
        metrics.gauge(MetricNames.PEERS_SERVING) { membership.countServing() }
    }

    /** Records that a sleep ended [ms] late, a sign that the process gets too little processor time. */
    fun recordWakeLag(ms: Long) {
        wakeLag.record(ms)
        meanWakeLagMs += (ms - meanWakeLagMs) * LAG_SMOOTHING_FACTOR
    }

    /**
     * Updates whether this node declines users. A leader whose wake lag is too high declines them while all other nodes serve. It goes
     * on declining them, even if the lag falls, until it no longer leads or another node does not serve: each time that a node becomes
     * unready, the load balancer takes longer to use it again.
     */
    fun updateAdmission() {
        val leaderLease = election.leaderLease
        val servingPeers = membership.countServing()
        declinesUsers = when {
            leaderLease == null || servingPeers < maxOf(MIN_SERVING_PEERS, peerCount) -> false
            else -> declinesUsers || (meanWakeLagMs > MAX_MEAN_WAKE_LAG_MS && clock.now() - leaderLease.electedAt > MIN_TERM_AGE_MS)
        }
    }

    /**
     * Returns whether the load balancer should send users to this node. A node that can serve is ready unless it declines users. A node
     * that cannot serve is ready only if no other node serves either: if all nodes were unready during a common failure, the load
     * balancer would avoid them for longer after it. A node that cannot serve is also unready before its first exchange of heartbeats,
     * since it does not know yet whether other nodes serve.
     */
    fun isReady(): Boolean {
        val readiness = assess()
        if (lastReadiness.getAndSet(readiness) != readiness) {
            log.info("ready={}: {}; heard {}", readiness.isReady, readiness.reason, membership.describeHeartbeats())
        }
        return readiness.isReady
    }

    private fun assess(): Readiness = when {
        canServe() -> if (declinesUsers) Readiness.FALLING_BEHIND else Readiness.SERVING
        !membership.hasExchangedHeartbeats -> Readiness.PEERS_UNKNOWN
        membership.countServing() > 0 -> Readiness.PEER_SERVES
        else -> Readiness.NO_PEER_SERVES
    }

    private companion object {
        const val LAG_SMOOTHING_FACTOR = 0.03
        const val MAX_MEAN_WAKE_LAG_MS = 25.0
        const val MIN_TERM_AGE_MS = 10_000L
        const val MIN_SERVING_PEERS = 2
    }
}
