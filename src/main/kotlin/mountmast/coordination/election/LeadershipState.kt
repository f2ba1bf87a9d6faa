package mountmast.coordination.election

import mountmast.protocol.Clock
import mountmast.protocol.FencingToken
import mountmast.protocol.MonotonicTime
import mountmast.protocol.NodeId
import org.slf4j.LoggerFactory
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

private val log = LoggerFactory.getLogger("mountmast.leadership")

/** The [Leadership] as known to [node]. Every variable is guarded by [lock], which is never held during a call to the store. */
internal class LeadershipState(private val node: NodeId, private val timing: LeaseTiming, private val clock: Clock) : Leadership {
    private val lock = ReentrantLock()
    private var ownLease: LeaderLease? = null

    /** When the last successful grant or renewal of [ownLease] was requested; meaningless while [ownLease] is null. */
    private var confirmedAt = MonotonicTime(0)
    private var otherLeader: NodeId? = null

    /** The first fencing token of the highest term observed. */
    private var highestObservedToken = FencingToken(0u)
    private var isNewerLeaderSuspected = false

    override val leaderLease: LeaderLease? get() = lock.withLock { ownLease }
    override val leader: NodeId? get() = lock.withLock { if (ownLease != null) node else otherLeader }
    override val highestToken: FencingToken get() = lock.withLock { highestObservedToken }
    override val renewalAgeMs: Long? get() = lock.withLock { if (ownLease == null) null else clock.now() - confirmedAt }

    /** Whether this node does not lead and knows another node as the leader. */
    val followsOtherLeader: Boolean get() = lock.withLock { ownLease == null && otherLeader != null }

    /** Whether this node leads and has observed a term higher than its own since it last checked the leader key in the store. */
    val suspectsNewerLeader: Boolean get() = lock.withLock { isNewerLeaderSuspected }

    override fun mayRenewWorkerLeases(): Boolean = lock.withLock {
        ownLease != null && clock.now() - confirmedAt < timing.ttlMs + timing.graceMs
    }

    override fun confirmedUntil(lease: LeaderLease): MonotonicTime? = lock.withLock { if (ownLease === lease) confirmedAt else null }

    override fun observeToken(token: FencingToken) {
        val firstOfTerm = token.firstOfTerm()
        lock.withLock {
            if (firstOfTerm > highestObservedToken) highestObservedToken = firstOfTerm
            val lease = ownLease ?: return
            if (firstOfTerm > lease.token) isNewerLeaderSuspected = true
        }
    }

    override fun stepDown(): Unit = lock.withLock {
        ownLease?.let { log.info("no longer leader of term={}; its lease was last renewed {} ms ago", it.token, clock.now() - confirmedAt) }
        ownLease = null
        otherLeader = null
        isNewerLeaderSuspected = false
    }

    /** Steps down if this node leads by [lease], and logs the [reason]. Returns whether this node led by [lease]. */
    fun stepDownFrom(lease: LeaderLease, reason: String): Boolean = lock.withLock {
        val isLeading = ownLease === lease
        if (isLeading) {
            log.info("resigning as leader of term={}: {}", lease.token, reason)
            stepDown()
        }
        isLeading
    }

    /** Records that the leader key in the store names [node], which is another node than this one, as the leader. */
    fun observeLeader(node: NodeId): Unit = lock.withLock { otherLeader = node }

    /** Records that this node was elected leader with the outcome [result]. */
    fun becomeLeader(result: ElectionResult.Elected): Unit = lock.withLock {
        val lease = result.lease
        ownLease = lease
        confirmedAt = result.confirmedAt
        otherLeader = null
        isNewerLeaderSuspected = false
        if (lease.token > highestObservedToken) highestObservedToken = lease.token
        log.info(
            "elected leader of term={} by lease={}, requested {} ms ago with a TTL of {} ms; the cancellation watermark is {} ms old",
            lease.token,
            lease.storeLease,
            clock.now() - confirmedAt,
            timing.ttlMs,
            clock.wall().ms - lease.watermark.ms,
        )
    }

    /** Records that the renewal of the leader lease that was requested at [requestedAt] succeeded. */
    fun recordRenewal(requestedAt: MonotonicTime): Unit = lock.withLock { confirmedAt = requestedAt }

    /** Records that the leader key in the store is still this node's own, so that there is no newer leader. */
    fun dismissNewerLeader(): Unit = lock.withLock { isNewerLeaderSuspected = false }
}
