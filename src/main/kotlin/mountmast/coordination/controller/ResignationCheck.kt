package mountmast.coordination.controller

import mountmast.coordination.election.LeaderElection
import mountmast.coordination.election.LeaseTiming
import mountmast.coordination.membership.PeerMembership
import mountmast.coordination.membership.PeerServiceState
import mountmast.protocol.Clock

/** Age up to which a confirmation of the leader lease counts as recent, in milliseconds. */
internal const val RECENTLY_CONFIRMED_MS = 2500L

/**
 * The decision that a leader resigns.
 *
 * @property reason the reason as logged
 * @property abstainMs time during which the node then attempts no election, in milliseconds
 */
internal class Resignation(val reason: String, val abstainMs: Long)

/**
 * Decides whether a leader should resign although it still renews the leader lease: because it and the workers cannot reach one
 * another, or because it cannot watch the jobs. Confined to the thread of the election loop.
 */
internal class ResignationCheck(
    private val election: LeaderElection,
    private val membership: PeerMembership,
    private val timing: LeaseTiming,
    private val clock: Clock,
) {
    private var staleStepCount = 0

    /** The last term from which this node resigned, or null if there is none. */
    private var resignedTerm: ULong? = null

    /**
     * Returns the decision to resign from [leaderTerm], which the caller carries out, or null if this node should go on leading. Called
     * once in each election step.
     *
     * A node resigns only if another node may lead in its place: one that says that it serves, or one that does not respond and may be
     * cut off from this node alone. In the latter case it abstains for a short time only, and if it is then elected to the very next
     * term, no other node could lead, and it goes on leading.
     */
    fun decide(leaderTerm: LeaderTerm): Resignation? {
        val reason = leaderTerm.livenessMonitor.resignationReason() ?: staleWatchReason(leaderTerm) ?: return null
        val term = leaderTerm.leaderLease.token.term
        val resignation = when {
            membership.countPeers(PeerServiceState.SERVING) > 0 -> Resignation(reason, ABSTENTION_MS)
            membership.countPeers(PeerServiceState.UNKNOWN) == 0 || resignedTerm?.let { term == it + 1u } == true -> null
            else -> Resignation("$reason, and a node that does not respond may lead", UNCONTESTED_ABSTENTION_MS)
        }
        if (resignation != null) resignedTerm = term
        return resignation
    }

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
        const val ABSTENTION_MS = 20_000L

        /** Some times the duration of an election by a node that watches the leader key. */
        const val UNCONTESTED_ABSTENTION_MS = 5000L
    }
}
