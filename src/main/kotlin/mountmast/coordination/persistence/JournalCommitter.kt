package mountmast.coordination.persistence

import mountmast.protocol.Clock
import mountmast.protocol.ModRevision
import mountmast.protocol.StateLimits
import mountmast.storage.Keys
import mountmast.storage.StateStore
import mountmast.storage.StoreException
import mountmast.storage.StoreRequestRejectedException
import mountmast.storage.StoreTimeoutException
import mountmast.storage.Transaction
import mountmast.storage.TransactionResult
import org.slf4j.LoggerFactory
import kotlin.concurrent.withLock

private val log = LoggerFactory.getLogger("mountmast.writer")

/**
 * Commits the changes of the cluster state to the store: group commit into a journal of few, large records, since the store
 * counts writes. Now and then a snapshot of the whole cluster state is written, in parts, and the journal's slots are used
 * again from then on.
 *
 * Every transaction depends on the leader's key, and on the slot that it writes: one that is executed late, by this
 * leader or a former one, changes nothing that was written since.
 *
 * Called by one thread; takes the lock of [PersistenceContext], but not during a call to the store.
 *
 * @param areCompactFormsAgreed whether every node reads the compressed forms; called with the lock held
 * @param onDeposed called, without the lock, once the store shows that this node leads no more
 */
class JournalCommitter(
    private val context: PersistenceContext,
    private val store: StateStore,
    stateLimits: StateLimits,
    clock: Clock,
    areCompactFormsAgreed: () -> Boolean = { false },
    private val onDeposed: () -> Unit,
) {
    private val limits = AdaptiveWriteLimits(stateLimits, clock)
    private val writers = BatchWriters(context, clock)
    private val collector = BatchCollector(context, store, limits, writers, areCompactFormsAgreed)
    private val applier = CommittedBatchApplier(context, writers, clock)
    private val inDoubtResolver = InDoubtResolver(store)
    private val conflicts = ConflictResolver(context, store, writers.snapshots)

    /** The attempt to send next, whose batch may be in the store; null where no batch is in doubt. */
    private var inDoubt: CommitAttempt? = null

    /** Commits one transaction, if there is anything to write. Failures of the store are part of the result. */
    fun commitNext(): CommitStep {
        if (limits.isPaused()) return CommitStep.NothingToWrite
        val attempt = inDoubt ?: collector.collect()?.let(CommitAttempt::First) ?: return CommitStep.NothingToWrite
        return commit(attempt)
    }

    private fun commit(attempt: CommitAttempt): CommitStep {
        val transaction = transactionOf(attempt)
        val result = try {
            store.commit(transaction)
        } catch (e: StoreException) {
            return onFailure(attempt, transaction, e)
        }
        return when (result) {
            is TransactionResult.Committed -> onCommitted(attempt, ModRevision(result.revision.number))
            is TransactionResult.CompareFailed -> onCompareFailed(attempt, result.failed)
        }
    }

    private fun transactionOf(attempt: CommitAttempt): Transaction = when (attempt) {
        is CommitAttempt.First, is CommitAttempt.Repeated -> attempt.batch.transaction()
        is CommitAttempt.Tombstone -> context.lock.withLock { attempt.transaction(context) }
    }

    private fun onCommitted(attempt: CommitAttempt, modRevision: ModRevision): CommitStep {
        inDoubt = null
        when (attempt) {
            is CommitAttempt.First, is CommitAttempt.Repeated -> applier.apply(attempt.batch, modRevision)
            is CommitAttempt.Tombstone -> applier.applyTombstone(attempt.batch, modRevision)
        }
        return CommitStep.Written
    }

    private fun onFailure(attempt: CommitAttempt, transaction: Transaction, failure: StoreException): CommitStep {
        when (failure) {
            is StoreRequestRejectedException -> onRejected(attempt, failure)
            is StoreTimeoutException -> {
                log.debug("commit of {} writes: {}", transaction.writes.size, failure.message)
                if (attempt is CommitAttempt.First) inDoubt = CommitAttempt.Repeated(attempt.batch)
            }
            else -> {
                log.debug("commit of {} writes: {}", transaction.writes.size, failure.message)
                // This attempt was not executed; but an earlier one of the same batch may have been.
                if (attempt is CommitAttempt.First) requeue(attempt.batch)
            }
        }
        return CommitStep.Failed
    }

    /** Writes less at a time from here on: the same transaction would be rejected again. */
    private fun onRejected(attempt: CommitAttempt, rejection: StoreRequestRejectedException) {
        log.debug("{}", rejection.message)
        limits.reduce()
        if (attempt is CommitAttempt.First || attempt.batch.journalRecords.isEmpty()) {
            requeue(attempt.batch)
        } else {
            inDoubt = CommitAttempt.Tombstone(attempt.batch)
        }
    }

    private fun onCompareFailed(attempt: CommitAttempt, failedKeys: List<String>): CommitStep {
        if (Keys.LEADER in failedKeys) {
            onDeposed()
            return CommitStep.Failed
        }
        return try {
            resolve(attempt, failedKeys)
        } catch (e: StoreException) {
            log.debug("reading the keys of failed compares: {}", e.message)
            CommitStep.Failed
        } catch (e: IllegalArgumentException) {
            log.error("unreadable record among {}: {}", failedKeys, e.message)
            CommitStep.Failed
        }
    }

    /** Learns what the store has instead of what was expected, which may be an earlier attempt of the same batch. */
    private fun resolve(attempt: CommitAttempt, failedKeys: List<String>): CommitStep {
        when (val earlier = inDoubtResolver.resolve(attempt)) {
            is EarlierOutcome.BatchCommitted -> return onCommitted(CommitAttempt.Repeated(attempt.batch), earlier.modRevision)
            is EarlierOutcome.TombstoneCommitted -> return onCommitted(attempt, earlier.modRevision)
            EarlierOutcome.NotCommitted -> requeue(attempt.batch)
        }
        failedKeys.forEach(conflicts::resolve)
        return CommitStep.Failed
    }

    /** Ends the doubt about [batch], which is not in the store and will not be, and makes its contents be written again. */
    private fun requeue(batch: WriteBatch) {
        inDoubt = null
        context.lock.withLock { writers.requeue(batch) }
    }
}
