package mountmast.coordination.controller

import mountmast.coordination.election.LeaderElection
import mountmast.coordination.election.LeaseTiming
import mountmast.protocol.Clock

/** Age up to which a confirmation of the leader lease counts as recent, in milliseconds. */
internal const val RECENTLY_CONFIRMED_MS = 2500L

/**
 * Decides whether a leader should resign although it still renews the leader lease: because it and the workers cannot reach one
 * another, or because it cannot watch the jobs. Confined to the thread of the election loop.
 */
internal class ResignationCheck(private val election: LeaderElection, private val timing: LeaseTiming, private val clock: Clock) {
    private var staleStepCount = 0

    /** Returns why this node should resign from [leaderTerm], or null if there is no reason. Called once in each election step. */
    fun reasonToResign(leaderTerm: LeaderTerm): String? = leaderTerm.livenessMonitor.resignationReason() ?: staleWatchReason(leaderTerm)

    /**
     * Returns a reason if the watch of the jobs has been stale in more than [MAX_STALE_STEPS] successive steps, although the leader
     * lease was renewed: a leader that learns of no cancellation must soon stop renewing workers' leases. In an outage of the store
     * the leader lease is not renewed either, and resigning would not help.
     */
    private fun staleWatchReason(leaderTerm: LeaderTerm): String? {
        val isRenewing = election.confirmedUntil(leaderTerm.leaderLease)?.let { clock.now() - it < RECENTLY_CONFIRMED_MS } == true
        staleStepCount = if (isRenewing && (leaderTerm.cancellationStalenessMs() ?: 0) > timing.ttlMs) staleStepCount + 1 else 0
        return if (staleStepCount > MAX_STALE_STEPS) "the jobs cannot be watched" else null
    }

    private companion object {
        const val MAX_STALE_STEPS = 8
    }
}
