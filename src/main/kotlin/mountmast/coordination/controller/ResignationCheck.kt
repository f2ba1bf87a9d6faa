package mountmast.coordination.controller

import mountmast.coordination.election.LeaderElection
import mountmast.coordination.election.LeaseTiming
import mountmast.protocol.Clock

/** Age up to which a confirmation of the leader's lease counts as recent, in milliseconds. */
internal const val RECENTLY_CONFIRMED_MS = 2500L

/**
 * Decides whether a leader that still renews its lease should resign all the same, because it is cut off from the workers or
 * from the jobs. Called by the election's thread alone.
 */
internal class ResignationCheck(private val election: LeaderElection, private val timing: LeaseTiming, private val clock: Clock) {
    private var uninformedSteps = 0

    /** Why the leader of [leaderTerm] should resign, or null if it should go on. */
    fun reasonToResign(leaderTerm: LeaderTerm): String? = leaderTerm.liveness.resignationReason() ?: uninformedReason(leaderTerm)

    /**
     * A leader that renews but learns of no cancellation may soon renew no worker's lease any more. In an outage of the store
     * it does not renew either, and resigning would help nobody.
     */
    private fun uninformedReason(leaderTerm: LeaderTerm): String? {
        val renews = election.confirmedUntil(leaderTerm.leaderLease)?.let { clock.now() - it < RECENTLY_CONFIRMED_MS } == true
        uninformedSteps = if (renews && (leaderTerm.uninformedMs() ?: 0) > timing.ttlMs) uninformedSteps + 1 else 0
        return if (uninformedSteps > MAX_UNINFORMED_STEPS) "the jobs cannot be watched" else null
    }

    private companion object {
        const val MAX_UNINFORMED_STEPS = 8
    }
}
