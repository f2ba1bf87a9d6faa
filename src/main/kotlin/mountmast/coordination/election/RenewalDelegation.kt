package mountmast.coordination.election

import mountmast.protocol.Clock
import mountmast.protocol.FencingToken
import mountmast.protocol.WallTime
import mountmast.storage.LeaderRecord

/** Whether this node may renew workers' leases on behalf of a leader that was just elected. Thread-safe, without a lock. */
internal class RenewalDelegation(private val leadership: Leadership, private val timing: LeaseTiming, private val clock: Clock) {
    private class Delegation(val token: FencingToken, val until: WallTime)

    @Volatile
    private var delegation: Delegation? = null

    /** Records that another node leads, as its [record] says. */
    fun observe(record: LeaderRecord) {
        // Like a new leader, a delegate does not know the cancellations after the watermark.
        val until = minOf(timing.delegationUntil(record.since), timing.uninformedUntil(record.watermark))
        delegation = Delegation(record.token, until)
    }

    /** Returns the token under which this node may renew workers' leases now, or null if it may not. */
    fun token(): FencingToken? {
        val current = delegation ?: return null
        // In this order: a node that becomes leader raises the highest token, so a delegation that it had before stays invalid.
        val isNewest = current.token == leadership.highestToken && current.token.number > 0u
        return current.token.takeIf { isNewest && leadership.leaderLease == null && clock.wall() < current.until }
    }
}
