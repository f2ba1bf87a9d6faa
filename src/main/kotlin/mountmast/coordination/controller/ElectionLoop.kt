package mountmast.coordination.controller

import mountmast.coordination.election.LeaderElection
import mountmast.storage.StateStore

/** Takes part in the election, and starts or ends this node's term by the election's result. Confined to one thread. */
internal class ElectionLoop(
    private val election: LeaderElection,
    private val leaderComponents: CurrentLeaderComponents,
    private val componentsFactory: LeaderComponentsFactory,
    private val resignationCheck: ResignationCheck,
    private val readinessMonitor: ReadinessMonitor,
    private val store: StateStore,
) {
    /**
     * Renews the leader lease, observes another leader or attempts to be elected; then checks whether this node should resign,
     * replaces the components of the term and updates [readinessMonitor]. Called about once a second. Apart from the election and a
     * resignation no call to the store belongs here: on a cold node that all workers and users call, each call to the store took a
     * second, and the lease expired between two renewals.
     */
    fun step() {
        election.step()
        val leaderTerm = leaderComponents.get()?.leaderTerm
        // A leader that is partitioned from the workers alone, in either direction, would renew its own lease for ever while the
        // workers' leases expire.
        val resignation = leaderTerm?.let(resignationCheck::decide)
        if (leaderTerm != null && resignation != null) election.resign(leaderTerm.leaderLease, resignation.reason, resignation.abstainMs)
        replaceComponents()
        readinessMonitor.updateAdmission()
    }

    /**
     * Replaces the components of the term if this node has been elected, has resigned or was deposed since the last call. Steps in
     * progress on other threads are not interrupted and finish with the components of the former term.
     */
    private fun replaceComponents() {
        val leaderLease = election.leaderLease
        val current = leaderComponents.get()
        if (leaderLease == null) {
            if (current != null) {
                leaderComponents.set(null)
                store.setRole(leader = false)
            }
            return
        }
        if (current?.leaderTerm?.leaderLease === leaderLease) return
        store.setRole(leader = true)
        leaderComponents.set(componentsFactory.create(leaderLease))
    }
}
