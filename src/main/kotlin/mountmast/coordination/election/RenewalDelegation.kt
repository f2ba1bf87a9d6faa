package mountmast.coordination.election

import mountmast.protocol.Clock
import mountmast.protocol.FencingToken
import mountmast.protocol.WallTime
import mountmast.storage.LeaderRecord

/** Decides whether this node may renew workers' leases on behalf of a newly elected leader. Thread-safe, without a lock. */
internal class RenewalDelegation(private val leadership: Leadership, private val timing: LeaseTiming, private val clock: Clock) {
    /** Renewals under [token] are allowed until the time of day [allowedUntil]. */
    private class Delegation(val token: FencingToken, val allowedUntil: WallTime)

    @Volatile
    private var delegation: Delegation? = null

    /** Records that another node leads, as read from its [record] in the store. */
    fun observeLeader(record: LeaderRecord) {
        // A delegate knows no cancellation after the watermark, just like a new leader that has not loaded its state.
        val until = minOf(timing.delegationUntil(record.since), timing.renewalUntil(record.watermark))
        delegation = Delegation(record.token, until)
    }

    /** Returns the fencing token under which this node may renew workers' leases now, or null if it may not. */
    fun delegatedToken(): FencingToken? {
        val current = delegation ?: return null
        // The highest token is compared before the leader lease is read. A node that becomes leader raises its highest token, so
        // an earlier delegation stays invalid even after the node steps down.
        val isNewest = current.token == leadership.highestToken && current.token.number > 0u
        return current.token.takeIf { isNewest && leadership.leaderLease == null && clock.wall() < current.allowedUntil }
    }
}
