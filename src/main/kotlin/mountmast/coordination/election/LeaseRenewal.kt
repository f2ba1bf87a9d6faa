package mountmast.coordination.election

import mountmast.protocol.Clock
import mountmast.storage.Keys
import mountmast.storage.StateStore

/** Renews the store lease of this node while it leads. Confined to the thread that calls [LeaderElection.step]. */
internal class LeaseRenewal(private val store: StateStore, private val leadership: LeadershipState, private val clock: Clock) {
    /**
     * Renews [lease], or steps down if the lease has expired or the leader key shows another leader. Throws
     * [mountmast.storage.StoreException] if the store refuses a call or does not answer it; the store may have renewed the lease
     * even then.
     */
    fun renew(lease: LeaderLease) {
        val requestedAt = clock.now()
        if (!store.keepAlive(lease.storeLease)) return leadership.stepDown()
        leadership.recordRenewal(requestedAt)
        if (leadership.suspectsNewerLeader) checkLeaderKey(lease)
    }

    /** Steps down if the leader key has changed. A higher token alone is no reason to step down, because it may be forged. */
    private fun checkLeaderKey(lease: LeaderLease) {
        if (store.get(Keys.LEADER)?.modRevision == lease.modRevision) leadership.dismissNewerLeader() else leadership.stepDown()
    }
}
