package mountmast.coordination.controller

import mountmast.coordination.election.LeaderElection
import mountmast.coordination.membership.PeerMembership
import mountmast.protocol.Clock
import mountmast.transport.Timing

/**
 * Decides whether the load balancer should send users to this node. [updateAdmission] is called by one thread, [recordWakeLag] by
 * one other thread, [isReady] by any thread.
 */
internal class ReadinessMonitor(
    private val election: LeaderElection,
    private val membership: PeerMembership,
    /** Number of the other nodes of the deployment. */
    private val peerCount: Int,
    private val wakeLag: Timing,
    private val clock: Clock,
    /** Returns whether this node can serve users without forwarding their requests. */
    private val canServe: () -> Boolean,
) {
    /** How late short sleeps of this process end, in milliseconds: an exponential moving average over some seconds. */
    @Volatile
    private var meanWakeLagMs = 0.0

    @Volatile
    private var declinesUsers = false

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
    fun isReady(): Boolean = if (canServe()) !declinesUsers else membership.hasExchangedHeartbeats && membership.countServing() == 0

    private companion object {
        const val LAG_SMOOTHING_FACTOR = 0.03
        const val MAX_MEAN_WAKE_LAG_MS = 25.0
        const val MIN_TERM_AGE_MS = 10_000L
        const val MIN_SERVING_PEERS = 2
    }
}
