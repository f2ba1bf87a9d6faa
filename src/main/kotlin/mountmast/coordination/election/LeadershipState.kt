package mountmast.coordination.election

import mountmast.protocol.Clock
import mountmast.protocol.FencingToken
import mountmast.protocol.MonotonicTime
import mountmast.protocol.NodeId
import org.slf4j.LoggerFactory
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

private val log = LoggerFactory.getLogger("mountmast.leadership")

/** The [Leadership] of [node]. Every field is guarded by [lock], which is never held during a call to the store. */
internal class LeadershipState(private val node: NodeId, private val timing: LeaseTiming, private val clock: Clock) : Leadership {
    private val lock = ReentrantLock()
    private var ownLease: LeaderLease? = null

    /** When the last successful renewal of [ownLease] was requested. */
    private var confirmedAt = MonotonicTime(0)
    private var otherLeader: NodeId? = null
    private var highestObserved = FencingToken(0u)
    private var newerLeaderSuspected = false

    override val leaderLease: LeaderLease? get() = lock.withLock { ownLease }
    override val leader: NodeId? get() = lock.withLock { if (ownLease != null) node else otherLeader }
    override val highestToken: FencingToken get() = lock.withLock { highestObserved }
    override val renewalAgeMs: Long? get() = lock.withLock { if (ownLease == null) null else clock.now() - confirmedAt }

    /** Whether another node is known to lead. */
    val followsOtherLeader: Boolean get() = lock.withLock { ownLease == null && otherLeader != null }

    /** Whether this node leads and has observed a higher term since the store last confirmed its own. */
    val suspectsNewerLeader: Boolean get() = lock.withLock { newerLeaderSuspected }

    override fun mayRenewWorkerLeases(): Boolean = lock.withLock {
        ownLease != null && clock.now() - confirmedAt < timing.ttlMs + timing.graceMs
    }

    override fun confirmedUntil(lease: LeaderLease): MonotonicTime? = lock.withLock { if (ownLease === lease) confirmedAt else null }

    override fun observeToken(token: FencingToken) {
        val firstOfTerm = token.firstOfTerm()
        lock.withLock {
            if (firstOfTerm > highestObserved) highestObserved = firstOfTerm
            val lease = ownLease ?: return
            if (firstOfTerm > lease.token) newerLeaderSuspected = true
        }
    }

    override fun stepDown(): Unit = lock.withLock {
        ownLease?.let { log.info("no longer leading term={}; last renewed {} ms ago", it.token, clock.now() - confirmedAt) }
        ownLease = null
        otherLeader = null
        newerLeaderSuspected = false
    }

    /** Steps down for [reason] if this node leads by [lease]; returns whether it did. */
    fun stepDownFrom(lease: LeaderLease, reason: String): Boolean = lock.withLock {
        val isLeading = ownLease === lease
        if (isLeading) {
            log.info("resigning term={}: {}", lease.token, reason)
            stepDown()
        }
        isLeading
    }

    /** Records that the store named [node], which is not this node, as the leader. */
    fun observeLeader(node: NodeId): Unit = lock.withLock { otherLeader = node }

    /** Makes this node the leader by [election]. */
    fun becomeLeader(election: ElectionResult.Elected): Unit = lock.withLock {
        val lease = election.lease
        ownLease = lease
        confirmedAt = election.confirmedAt
        otherLeader = null
        newerLeaderSuspected = false
        if (lease.token > highestObserved) highestObserved = lease.token
        log.info(
            "leading term={} lease={}, requested {} ms ago for {} ms; cancellations are known up to {} ms ago",
            lease.token,
            lease.storeLease,
            clock.now() - confirmedAt,
            timing.ttlMs,
            clock.wall().ms - lease.watermark.ms,
        )
    }

    /** Records that a renewal succeeded that was requested at [requestedAt]. */
    fun confirm(requestedAt: MonotonicTime): Unit = lock.withLock { confirmedAt = requestedAt }

    /** Records that the store named this node as the leader after all. */
    fun dismissSuspicion(): Unit = lock.withLock { newerLeaderSuspected = false }
}
