package mountmast.coordination.controller

import mountmast.coordination.election.LeaderElection
import mountmast.coordination.membership.PeerMembership
import mountmast.protocol.Clock
import mountmast.transport.Timing

/**
 * Decides whether the load balancer should send users to this node. [updateAdmission] and [recordWakeLag] are each called by
 * one thread, [isReady] by any.
 */
internal class ReadinessMonitor(
    private val election: LeaderElection,
    private val membership: PeerMembership,
    /** How many other nodes the deployment has. */
    private val otherNodes: Int,
    private val wakeLag: Timing,
    private val clock: Clock,
    /** Whether this node can answer users by itself. */
    private val canServe: () -> Boolean,
) {
    /** How late this process wakes from short sleeps, as an exponential mean with a memory of seconds. */
    @Volatile
    private var meanLagMs = 0.0

    @Volatile
    private var declinesUsers = false

    /** Records that a sleep took [ms] longer than asked for: the process gets less of the processor than it needs. */
    fun recordWakeLag(ms: Long) {
        wakeLag.record(ms)
        meanLagMs += (ms - meanLagMs) * LAG_WEIGHT
    }

    /**
     * A leader that falls behind leaves users to the others, as long as all of those serve. It stays so until it leads
     * no more or one of the others is missing: the load balancer takes a node back ever more slowly.
     */
    fun updateAdmission() {
        val leaderLease = election.leaderLease
        val servingOthers = membership.countServing()
        declinesUsers = when {
            leaderLease == null || servingOthers < maxOf(MIN_SERVING_OTHERS, otherNodes) -> false
            else -> declinesUsers || (meanLagMs > BUSY_LAG_MS && clock.now() - leaderLease.electedAt > SETTLING_MS)
        }
    }

    /**
     * Whether users should be sent here. They are sent elsewhere only if some other node can serve what this one cannot.
     * Where all are blocked alike, a node that called itself unready would only be avoided for longer once the trouble is
     * past; and one that has not asked the others yet cannot tell.
     */
    fun isReady(): Boolean = if (canServe()) !declinesUsers else membership.hasExchangedHeartbeats && membership.countServing() == 0

    private companion object {
        const val LAG_WEIGHT = 0.03
        const val BUSY_LAG_MS = 25.0
        const val SETTLING_MS = 10_000L
        const val MIN_SERVING_OTHERS = 2
    }
}
