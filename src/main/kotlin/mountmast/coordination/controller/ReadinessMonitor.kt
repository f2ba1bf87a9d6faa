package mountmast.coordination.controller

import mountmast.coordination.election.LeaderElection
import mountmast.coordination.membership.PeerMembership
import mountmast.coordination.membership.PeerServiceState
import mountmast.protocol.Clock
import mountmast.protocol.MonotonicTime
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

    /** When this node last served users or knew that no node does, or when it started; null before its first exchange of heartbeats. */
    @Volatile
    private var lastUndisputedAt: MonotonicTime? = null

    /** Whether the first exchange of heartbeats is over and was taken into account. */
    @Volatile
    private var isStarted = false

    init {
        metrics.gauge(MetricNames.READY) { if (assess().isReady) 1 else 0 }
        metrics.gauge(MetricNames.PEERS_HEARD) { peerCount - membership.countPeers(PeerServiceState.UNKNOWN) }
        metrics.gauge(MetricNames.PEERS_SERVING) { membership.countPeers(PeerServiceState.SERVING) }
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
        val servingPeers = membership.countPeers(PeerServiceState.SERVING)
        declinesUsers = when {
            leaderLease == null || servingPeers < maxOf(MIN_SERVING_PEERS, peerCount) -> false
            else -> declinesUsers || (meanWakeLagMs > MAX_MEAN_WAKE_LAG_MS && clock.now() - leaderLease.electedAt > MIN_TERM_AGE_MS)
        }
        updateReadiness()
    }

    /**
     * Returns whether the load balancer should send users to this node.
     *
     * A node that can serve is ready unless it declines users. A node that cannot is ready only if every other node has responded that it
     * cannot either: if all nodes were unready during a common failure, the load balancer would avoid them for longer after it. If
     * another node does not respond, it may still serve users, so this node is unready.
     *
     * A node that has just become unable to serve stays ready for [DECISION_DELAY_MS]: when a common failure begins or ends, the nodes
     * notice it one after another. One that has just started is ready for the same time if no other node says that it serves: if all nodes
     * were restarted, the load balancer uses them again the sooner.
     */
    fun isReady(): Boolean = updateReadiness().isReady

    private fun updateReadiness(): Readiness {
        if (!isStarted && membership.hasExchangedHeartbeats) {
            isStarted = true
            if (membership.countPeers(PeerServiceState.SERVING) == 0) lastUndisputedAt = clock.now()
        }
        val readiness = assess()
        if (readiness == Readiness.SERVING || readiness == Readiness.NO_NODE_SERVES) lastUndisputedAt = clock.now()
        if (lastReadiness.getAndSet(readiness) != readiness) {
            log.info("ready={}: {}; peers: {}", readiness.isReady, readiness.reason, membership.describePeers())
        }
        return readiness
    }

    private fun assess(): Readiness = when {
        canServe() -> if (declinesUsers) Readiness.FALLING_BEHIND else Readiness.SERVING
        membership.countPeers(PeerServiceState.NOT_SERVING) == peerCount -> Readiness.NO_NODE_SERVES
        lastUndisputedAt?.let { clock.now() - it < DECISION_DELAY_MS } == true -> Readiness.UNDECIDED
        membership.countPeers(PeerServiceState.SERVING) > 0 -> Readiness.PEER_SERVES
        else -> Readiness.PEER_UNKNOWN
    }

    private companion object {
        const val LAG_SMOOTHING_FACTOR = 0.03
        const val MAX_MEAN_WAKE_LAG_MS = 25.0
        const val MIN_TERM_AGE_MS = 10_000L
        const val MIN_SERVING_PEERS = 2

        /** An interval of peer heartbeats, and one of calls to the state service by the election loop. */
        const val DECISION_DELAY_MS = 3000L
    }
}
