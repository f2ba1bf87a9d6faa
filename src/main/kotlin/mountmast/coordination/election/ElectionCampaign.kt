package mountmast.coordination.election

import kotlinx.serialization.json.decodeFromJsonElement
import kotlinx.serialization.json.encodeToJsonElement
import mountmast.protocol.Clock
import mountmast.protocol.FencingToken
import mountmast.protocol.ModRevision
import mountmast.protocol.MonotonicTime
import mountmast.protocol.NodeId
import mountmast.protocol.StoreLeaseId
import mountmast.protocol.WallTime
import mountmast.protocol.WireJson
import mountmast.storage.CancellationWatermarkRecord
import mountmast.storage.Compare
import mountmast.storage.Entry
import mountmast.storage.Keys
import mountmast.storage.LeaderRecord
import mountmast.storage.StateStore
import mountmast.storage.StoreLeaseExpiredException
import mountmast.storage.TermRecord
import mountmast.storage.Transaction
import mountmast.storage.TransactionResult
import mountmast.storage.Write
import org.slf4j.LoggerFactory

private val log = LoggerFactory.getLogger("mountmast.leadership")

/** The outcome of one attempt of this node to be elected leader. */
internal sealed interface ElectionResult {
    /** This node is leader by [lease], whose store lease was last granted or renewed by a request sent at [confirmedAt]. */
    class Elected(val lease: LeaderLease, val confirmedAt: MonotonicTime) : ElectionResult

    /** The leader key or the term had changed, usually because another node was elected, or the store lease had expired. */
    data object NotElected : ElectionResult
}

/**
 * Attempts to have [node], in its process with the random identifier [runId], elected leader. The leader key is attached to a
 * lease of the store. The term is stored under a key of its own without a lease and rises with every election.
 *
 * Confined to the thread that calls [LeaderElection.step]. [attemptElection] throws [mountmast.storage.StoreException] if the store
 * refuses a call or does not answer it.
 */
internal class ElectionCampaign(
    private val store: StateStore,
    private val node: NodeId,
    private val runId: String,
    private val timing: LeaseTiming,
    private val clock: Clock,
) {
    /** A store lease for an election that is not known to be won; it was last granted or renewed by a request at [requestedAt]. */
    private class PendingLease(val storeLease: StoreLeaseId, val requestedAt: MonotonicTime)

    /** The lease of an election that was lost or whose outcome is unknown, or null; the next attempt renews and uses it. */
    private var pendingLease: PendingLease? = null

    /** Attempts to be elected; the election succeeds only if the leader key still has [leaderModRevision]. */
    fun attemptElection(leaderModRevision: ModRevision): ElectionResult {
        val requestedAt = clock.now()
        val startedAt = clock.wall()
        val storeLease = pendingLease?.storeLease?.takeIf { store.keepAlive(it) } ?: store.grantLease(timing.ttlMs)
        val lease = PendingLease(storeLease, requestedAt)
        pendingLease = lease
        val termEntry = store.get(Keys.TERM)
        val record = LeaderRecord(node, runId, decodeLastToken(termEntry).firstOfNextTerm(), startedAt, readWatermark() ?: startedAt)
        return try {
            val transaction = electionTransaction(record, storeLease, leaderModRevision, termEntry?.modRevision ?: ModRevision.ABSENT)
            when (val result = store.commit(transaction)) {
                is TransactionResult.Committed -> buildElectedResult(record, ModRevision(result.revision.number), lease)
                is TransactionResult.CompareFailed -> {
                    log.debug("election lost, as these keys had changed: {}", result.failed)
                    ElectionResult.NotElected
                }
            }
        } catch (e: StoreLeaseExpiredException) {
            log.debug("lease={} expired before the election transaction: {}", storeLease, e.message)
            pendingLease = null
            ElectionResult.NotElected
        }
    }

    /** Whether this process, and not an earlier one of the same node, wrote [record]. */
    fun isOwn(record: LeaderRecord): Boolean = record.run == runId

    /**
     * Returns the outcome of an election transaction that got no answer. The leader key [key], which this process wrote, shows that
     * the transaction was committed.
     */
    fun resolveUnansweredElection(key: LeaderKey.Held): ElectionResult {
        val lease = pendingLease ?: return ElectionResult.NotElected
        return buildElectedResult(key.record, key.modRevision, lease)
    }

    private fun buildElectedResult(record: LeaderRecord, modRevision: ModRevision, lease: PendingLease): ElectionResult.Elected {
        pendingLease = null
        val leaderLease = LeaderLease(record.token, modRevision, lease.storeLease, clock.now(), record.watermark)
        return ElectionResult.Elected(leaderLease, lease.requestedAt)
    }

    private fun decodeLastToken(termEntry: Entry?): FencingToken =
        termEntry?.let { WireJson.decodeFromJsonElement<TermRecord>(it.value).token } ?: FencingToken(0u)

    /** Returns the low watermark of cancellations, or null if no leader has stored one, in which case no task has run yet. */
    private fun readWatermark(): WallTime? =
        store.get(Keys.WATERMARK)?.let { WireJson.decodeFromJsonElement<CancellationWatermarkRecord>(it.value).at }

    private fun electionTransaction(
        record: LeaderRecord,
        storeLease: StoreLeaseId,
        leaderModRevision: ModRevision,
        termModRevision: ModRevision,
    ) = Transaction(
        listOf(Compare(Keys.LEADER, leaderModRevision), Compare(Keys.TERM, termModRevision)),
        listOf(
            Write.Put(Keys.LEADER, WireJson.encodeToJsonElement(record), storeLease),
            Write.Put(Keys.TERM, WireJson.encodeToJsonElement(TermRecord(record.token))),
        ),
    )
}
