package mountmast.coordination.election

import mountmast.protocol.Clock
import mountmast.storage.Keys
import mountmast.storage.StateStore

/** Renews the store lease by which this node leads. Confined to the thread that calls [LeaderElection.step]. */
internal class LeaseRenewal(private val store: StateStore, private val leadership: LeadershipState, private val clock: Clock) {
    /**
     * Renews [lease], or steps down if it has expired or another node leads. Throws [mountmast.storage.StoreException] if the
     * store does not serve; the lease may then have been renewed all the same.
     */
    fun renew(lease: LeaderLease) {
        val requestedAt = clock.now()
        if (!store.keepAlive(lease.storeLease)) return leadership.stepDown()
        leadership.confirm(requestedAt)
        if (leadership.suspectsNewerLeader) checkLeaderKey(lease)
    }

    /** Only the store knows whether there is a newer leader: a forged token must not end a term. */
    private fun checkLeaderKey(lease: LeaderLease) {
        if (store.get(Keys.LEADER)?.modRevision == lease.modRevision) leadership.dismissSuspicion() else leadership.stepDown()
    }
}
