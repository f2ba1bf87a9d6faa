package mountmast.coordination.controller

import mountmast.coordination.election.LeaderElection
import mountmast.coordination.membership.PeerMembership
import mountmast.storage.StateStore

/** The election's step, and what follows from its outcome on this node. Called by one thread. */
internal class ElectionLoop(
    private val election: LeaderElection,
    private val membership: PeerMembership,
    private val leader: CurrentLeaderComponents,
    private val components: LeaderComponentsFactory,
    private val resignation: ResignationCheck,
    private val readiness: ReadinessMonitor,
    private val store: StateStore,
) {
    /**
     * Renews the lease, observes the leader or tries to be elected; about once a second. Nothing else is asked of the store
     * here: on a cold node, with all workers and users upon it, each call took a second, and the lease expired between two
     * renewals.
     */
    fun step() {
        election.step()
        val leaderTerm = leader.get()?.leaderTerm
        // Cut off from the workers alone, in either direction, this node would renew for ever while their leases expire.
        val reason = leaderTerm?.let(resignation::reasonToResign)
        if (leaderTerm != null && reason != null && membership.countServing() > 0) election.resign(leaderTerm.leaderLease, reason)
        replaceComponents()
        readiness.updateAdmission()
    }

    /** Makes the leader's components those of the lease that this node holds by now. */
    private fun replaceComponents() {
        val leaderLease = election.leaderLease
        val current = leader.get()
        if (leaderLease == null) {
            if (current != null) {
                leader.set(null)
                store.setRole(leader = false)
            }
            return
        }
        if (current?.leaderTerm?.leaderLease === leaderLease) return
        store.setRole(leader = true)
        leader.set(components.create(leaderLease))
    }
}
