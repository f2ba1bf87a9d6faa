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

/** The outcome of one attempt to be elected. */
internal sealed interface ElectionResult {
    /** This node leads by [lease], whose store lease was last granted or renewed by a request made at [confirmedAt]. */
    class Elected(val lease: LeaderLease, val confirmedAt: MonotonicTime) : ElectionResult

    /** Another node was faster, or the store lease expired before the election. */
    data object NotElected : ElectionResult
}

/**
 * Attempts to make the process [run] of [node] the leader. The leader key is attached to a lease of the store; the term is
 * stored beside it without a lease and rises with every election.
 *
 * Confined to the thread that calls [LeaderElection.step]. Every function throws [mountmast.storage.StoreException] if the store
 * does not serve.
 */
internal class ElectionCampaign(
    private val store: StateStore,
    private val node: NodeId,
    private val run: String,
    private val timing: LeaseTiming,
    private val clock: Clock,
) {
    private class UnusedLease(val storeLease: StoreLeaseId, val requestedAt: MonotonicTime)

    /** Granted for an election whose outcome is in doubt or that was lost; used for the next attempt. */
    private var unusedLease: UnusedLease? = null

    /** Attempts to become leader, provided that the leader key still has [leaderModRevision]. */
    fun elect(leaderModRevision: ModRevision): ElectionResult {
        val requestedAt = clock.now()
        val since = clock.wall()
        val storeLease = unusedLease?.storeLease?.takeIf { store.keepAlive(it) } ?: store.grantLease(timing.ttlMs)
        val lease = UnusedLease(storeLease, requestedAt)
        unusedLease = lease
        val termEntry = store.get(Keys.TERM)
        val record = LeaderRecord(node, run, lastToken(termEntry).firstOfNextTerm(), since, readWatermark() ?: since)
        return try {
            val transaction = electionTransaction(record, storeLease, leaderModRevision, termEntry?.modRevision ?: ModRevision.ABSENT)
            when (val result = store.commit(transaction)) {
                is TransactionResult.Committed -> elected(record, ModRevision(result.revision.number), lease)
                is TransactionResult.CompareFailed -> {
                    log.debug("another node was elected: {}", result.failed)
                    ElectionResult.NotElected
                }
            }
        } catch (e: StoreLeaseExpiredException) {
            log.debug("lease={} expired before the election: {}", storeLease, e.message)
            unusedLease = null
            ElectionResult.NotElected
        }
    }

    /** Whether [record] was written by this process. */
    fun isOwn(record: LeaderRecord): Boolean = record.run == run

    /** Resolves an election transaction that got no answer: [key], which this process wrote, shows that it was committed. */
    fun resolveInDoubt(key: LeaderKey.Held): ElectionResult {
        val lease = unusedLease ?: return ElectionResult.NotElected
        return elected(key.record, key.modRevision, lease)
    }

    private fun elected(record: LeaderRecord, modRevision: ModRevision, lease: UnusedLease): ElectionResult.Elected {
        unusedLease = null
        val leaderLease = LeaderLease(record.token, modRevision, lease.storeLease, clock.now(), record.watermark)
        return ElectionResult.Elected(leaderLease, lease.requestedAt)
    }

    private fun lastToken(termEntry: Entry?): FencingToken =
        termEntry?.let { WireJson.decodeFromJsonElement<TermRecord>(it.value).token } ?: FencingToken(0u)

    /** Returns the low watermark of cancellations, or null if no leader has stored one: then nothing has run so far. */
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
