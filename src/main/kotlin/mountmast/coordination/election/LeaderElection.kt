package mountmast.coordination.election

import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.decodeFromJsonElement
import kotlinx.serialization.json.encodeToJsonElement
import mountmast.protocol.Clock
import mountmast.protocol.FencingToken
import mountmast.protocol.ModRevision
import mountmast.protocol.MonotonicTime
import mountmast.protocol.NodeId
import mountmast.protocol.Revision
import mountmast.protocol.StoreLeaseId
import mountmast.protocol.WallTime
import mountmast.protocol.WireJson
import mountmast.storage.CancellationWatermarkRecord
import mountmast.storage.Compare
import mountmast.storage.Keys
import mountmast.storage.LeaderRecord
import mountmast.storage.StateStore
import mountmast.storage.StoreException
import mountmast.storage.StoreLeaseExpiredException
import mountmast.storage.TermRecord
import mountmast.storage.Transaction
import mountmast.storage.TransactionResult
import mountmast.storage.WatchResult
import mountmast.storage.Write
import mountmast.transport.MetricNames
import mountmast.transport.Metrics
import org.slf4j.LoggerFactory
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

private val log = LoggerFactory.getLogger("mountmast.leadership")

/**
 * Decides which node leads. The leader's key hangs on a hold at the state service; the term is kept beside it for
 * good and rises with every election. Thread-safe; [step] is called by one thread, and makes no call under the lock.
 */
class LeaderElection(
    private val store: StateStore,
    private val node: NodeId,
    /** Drawn anew at each start: an instant restart must not be taken for the holder it replaces. */
    private val run: String,
    private val timing: LeaseTiming,
    private val clock: Clock,
    metrics: Metrics = Metrics(),
) {
    private val elections = metrics.counter(MetricNames.ELECTIONS)
    private val resignations = metrics.counter(MetricNames.RESIGNATIONS)
    private val lock = ReentrantLock()
    private var leaderLease: LeaderLease? = null
    private var confirmedAt = MonotonicTime(0)
    private var leader: NodeId? = null
    private var highestToken = FencingToken(0u)
    private var suspectsNewerLeader = false
    private var storeFailingSince: MonotonicTime? = null
    private var electionBackoffUntil = MonotonicTime(Long.MIN_VALUE)
    private var unusedLease: StoreLeaseId? = null
    private var seenUpTo = Revision(0u)
    private var delegationUntil = WallTime(0)
    private var delegatedToken = FencingToken(0u)

    /** What this node leads by, or null while it does not lead. */
    fun leaderLease(): LeaderLease? = lock.withLock { leaderLease }

    /** How long ago the last renewal that succeeded was asked for, or null while this node does not lead. */
    fun renewalAgeMs(): Long? = lock.withLock { if (leaderLease == null) null else clock.now() - confirmedAt }

    /** The node that leads, as far as this one knows. */
    fun leader(): NodeId? = lock.withLock { if (leaderLease != null) node else leader }

    /** The highest term that this node has heard of. */
    fun highestToken(): FencingToken = lock.withLock { highestToken }

    /**
     * Whether workers may be answered. A leader that cannot renew cannot tell an outage, in which every hold stays,
     * from a cut that concerns only itself; so it keeps workers alive for the grace, and a successor waits that long.
     */
    fun mayRenewWorkerLeases(): Boolean = lock.withLock {
        leaderLease != null && clock.now() - confirmedAt < timing.ttlMs + timing.graceMs
    }

    /**
     * Until when it is certain that nobody else led: a renewal that succeeded proves it for all time before it was
     * asked. Null once this node leads no more.
     */
    fun confirmedUntil(own: LeaderLease): MonotonicTime? = lock.withLock { if (leaderLease === own) confirmedAt else null }

    /** The term in which this node may renew workers' leases for a leader just elected, or null. */
    fun delegatedToken(): FencingToken? = lock.withLock {
        delegatedToken.takeIf { leaderLease == null && it == highestToken && it.number > 0u && clock.wall() < delegationUntil }
    }

    /** Gives the lead up, for another node to take; abstains for a while. */
    fun resign(own: LeaderLease, why: String) {
        lock.withLock {
            if (leaderLease !== own) return
            log.info("resigning in term {}: {}", own.token, why)
            resignations.add()
            stepDown()
            electionBackoffUntil = clock.now() + ELECTION_BACKOFF_MS
        }
        try {
            store.revokeLease(own.storeLease)
        } catch (e: StoreException) {
            log.debug("the hold will run out by itself: {}", e.message)
        }
    }

    /** Somebody saw [token]. One of a higher term than ours means another leader, unless the store says otherwise. */
    fun observeToken(token: FencingToken) {
        val firstOfTerm = token.firstOfTerm()
        lock.withLock {
            if (firstOfTerm > highestToken) highestToken = firstOfTerm
            val own = leaderLease ?: return
            if (firstOfTerm > own.token) suspectsNewerLeader = true
        }
    }

    /** The leader's key was found changed. */
    fun stepDown() = lock.withLock {
        leaderLease?.let { log.info("no longer leading in term {}; last renewed {} ms ago", it.token, clock.now() - confirmedAt) }
        leaderLease = null
        leader = null
        suspectsNewerLeader = false
    }

    /** One look at the state service: renews, follows or tries to lead. Called about once a second. */
    fun step() {
        try {
            val own = leaderLease()
            if (own == null) observeOrElect() else renew(own)
            storeFailingSince?.let { log.info("the state service answers again after {} ms", clock.now() - it) }
            storeFailingSince = null
        } catch (e: StoreException) {
            if (storeFailingSince == null) log.info("the state service does not serve this node: {}", e.message)
            storeFailingSince = storeFailingSince ?: clock.now()
            lock.withLock {
                val own = leaderLease ?: return
                val unconfirmed = clock.now() - confirmedAt >= timing.ttlMs
                if (unconfirmed && suspectsNewerLeader) stepDown()
            }
        }
    }

    /**
     * Waits up to [waitMs] while another node leads, and returns as soon as its key is gone, so that the workers'
     * leases run out as little as can be; false where this node need not wait for that.
     */
    fun awaitVacancy(waitMs: Long): Boolean {
        val from = lock.withLock { seenUpTo.takeIf { leaderLease == null && leader != null && leader != node && it.number > 0u } }
        if (from == null || clock.now() < electionBackoffUntil) return false
        return try {
            val outcome = store.watch(Keys.LEADER, from, waitMs)
            if (outcome is WatchResult.Changes) lock.withLock { seenUpTo = outcome.upTo }
            true
        } catch (e: StoreException) {
            log.debug("following the leader's key: {}", e.message)
            false
        }
    }

    private fun renew(own: LeaderLease) {
        val asked = clock.now()
        if (!store.keepAlive(own.storeLease)) return stepDown()
        lock.withLock { confirmedAt = asked }
        if (lock.withLock { suspectsNewerLeader }) {
            // A worker or peer named a higher term. Only the store knows; a made-up number must not end a term.
            val entry = store.get(Keys.LEADER)
            if (entry?.modRevision != own.modRevision) stepDown() else lock.withLock { suspectsNewerLeader = false }
        }
    }

    private fun observeOrElect() {
        val entry = store.get(Keys.LEADER)
        val record = entry?.let { decode(it.value) }
        if (entry != null && record == null) return log.warn("the leader's key is unreadable")
        if (record != null) observeToken(record.token)
        if (entry != null && record != null && record.run == run) {
            // A transaction of ours was carried out although no answer came.
            unusedLease?.let { becomeLeader(record, entry.modRevision, it) }
            return
        }
        // This node's earlier process is dead, or this one would not run: its place can be taken at once.
        if (entry != null && record != null && record.node != node) {
            lock.withLock {
                leader = record.node
                delegatedToken = record.token
                // Whoever helps knows no cancellations either.
                delegationUntil = minOf(timing.delegationUntil(record.since), timing.uninformedUntil(record.watermark))
                seenUpTo = maxOf(seenUpTo, Revision(entry.modRevision.number))
            }
            return
        }
        if (clock.now() >= electionBackoffUntil) elect(entry?.modRevision ?: ModRevision.ABSENT)
    }

    /** Tries to become leader; [modRevision] is that of the leader's key, which must not have changed since. */
    private fun elect(modRevision: ModRevision) {
        val asked = clock.now()
        val began = clock.wall()
        val storeLease = unusedLease?.takeIf { store.keepAlive(it) } ?: store.grantLease(timing.ttlMs)
        lock.withLock {
            unusedLease = storeLease
            confirmedAt = asked
        }
        val tokenEntry = store.get(Keys.TERM)
        val lastToken = tokenEntry?.let { WireJson.decodeFromJsonElement<TermRecord>(it.value).token } ?: FencingToken(0u)
        val record = LeaderRecord(node, run, lastToken.firstOfNextTerm(), began, readWatermark() ?: began)
        try {
            val transaction = electionTransaction(record, storeLease, modRevision, tokenEntry?.modRevision ?: ModRevision.ABSENT)
            when (val outcome = store.commit(transaction)) {
                is TransactionResult.Committed -> becomeLeader(record, ModRevision(outcome.revision.number), storeLease)
                is TransactionResult.CompareFailed -> log.debug("another node was elected: {}", outcome.failed)
            }
        } catch (e: StoreLeaseExpiredException) {
            log.debug("the hold ended before the election: {}", e.message)
            lock.withLock { unusedLease = null }
        }
    }

    /** The low watermark of cancellations, or null where no leader has left one: then nothing ran so far. */
    private fun readWatermark(): WallTime? = store.get(Keys.WATERMARK)?.let { WireJson.decodeFromJsonElement<CancellationWatermarkRecord>(it.value).at }

    private fun electionTransaction(record: LeaderRecord, storeLease: StoreLeaseId, leaderModRevision: ModRevision, tokenModRevision: ModRevision) = Transaction(
        listOf(Compare(Keys.LEADER, leaderModRevision), Compare(Keys.TERM, tokenModRevision)),
        listOf(
            Write.Put(Keys.LEADER, WireJson.encodeToJsonElement(record), storeLease),
            Write.Put(Keys.TERM, WireJson.encodeToJsonElement(TermRecord(record.token))),
        ),
    )

    private fun becomeLeader(record: LeaderRecord, modRevision: ModRevision, storeLease: StoreLeaseId) = lock.withLock {
        val token = record.token
        leaderLease = LeaderLease(token, modRevision, storeLease, clock.now(), record.watermark)
        unusedLease = null
        leader = node
        suspectsNewerLeader = false
        if (token > highestToken) highestToken = token
        elections.add()
        log.info(
            "leading in term {} by hold {}, asked for {} ms ago for {} ms; cancellations are known up to {} ms ago",
            token,
            storeLease,
            clock.now() - confirmedAt,
            timing.ttlMs,
            clock.wall().ms - record.watermark.ms,
        )
    }

    private companion object {
        const val ELECTION_BACKOFF_MS = 20_000L
    }

    private fun decode(value: JsonElement): LeaderRecord? = try {
        WireJson.decodeFromJsonElement<LeaderRecord>(value)
    } catch (e: IllegalArgumentException) {
        null
    }
}
