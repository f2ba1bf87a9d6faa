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
 * Commits the changes of the cluster state to the store by group commit into a write-ahead journal. The journal has few and large
 * records, since the store limits the number of writes. From time to time a snapshot of the whole cluster state is written, in parts;
 * once its pointer is committed, the slots of all records that the snapshot contains are free for new records.
 *
 * Every transaction compares the leader's key, and the key of each journal slot that it writes. So a transaction that the store executes
 * late is not committed if the leader's key was deleted or written since its batch was collected, or if any of these slots was written.
 *
 * Called by one thread. Takes the lock of [PersistenceContext], but never holds it during a call to the store.
 *
 * @param areCompactFormsAgreed whether every node can read compressed values; called with the lock held
 * @param onLeadershipLost called, without the lock, when the compare of the leader's key fails: this node no longer leads
 */
class JournalCommitter(
    private val context: PersistenceContext,
    private val store: StateStore,
    stateLimits: StateLimits,
    clock: Clock,
    areCompactFormsAgreed: () -> Boolean = { false },
    private val onLeadershipLost: () -> Unit,
) {
    private val limits = AdaptiveWriteLimits(stateLimits, clock)
    private val writers = BatchWriters(context, clock)
    private val batchCollector = BatchCollector(context, store, limits, writers, areCompactFormsAgreed)
    private val batchApplier = CommittedBatchApplier(context, writers, clock)
    private val inDoubtResolver = InDoubtResolver(store)
    private val conflictResolver = ConflictResolver(context, store, writers.snapshotWriter)

    /** The next attempt at the batch in doubt, which may or may not be in the store; null if no batch is in doubt. */
    private var inDoubtAttempt: CommitAttempt? = null

    /** Sends one transaction, if there is anything to write. A failure of the store is part of the result, and is not thrown. */
    fun commitNext(): CommitStep {
        if (limits.isPaused()) return CommitStep.NothingToWrite
        val attempt = inDoubtAttempt ?: batchCollector.collect()?.let(CommitAttempt::First) ?: return CommitStep.NothingToWrite
        return commit(attempt)
    }

    private fun commit(attempt: CommitAttempt): CommitStep {
        val transaction = createTransaction(attempt)
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

    private fun createTransaction(attempt: CommitAttempt): Transaction = when (attempt) {
        is CommitAttempt.First, is CommitAttempt.Repeated -> attempt.batch.toTransaction()
        is CommitAttempt.Tombstone -> context.lock.withLock { attempt.createTransaction(context) }
    }

    private fun onCommitted(attempt: CommitAttempt, modRevision: ModRevision): CommitStep {
        inDoubtAttempt = null
        when (attempt) {
            is CommitAttempt.First, is CommitAttempt.Repeated -> batchApplier.apply(attempt.batch, modRevision)
            is CommitAttempt.Tombstone -> batchApplier.applyTombstone(attempt.batch, modRevision)
        }
        return CommitStep.Written
    }

    private fun onFailure(attempt: CommitAttempt, transaction: Transaction, failure: StoreException): CommitStep {
        when (failure) {
            is StoreRequestRejectedException -> onRejected(attempt, failure)
            is StoreTimeoutException -> {
                log.debug("the outcome of a transaction of {} writes is unknown: {}", transaction.writes.size, failure.message)
                if (attempt is CommitAttempt.First) inDoubtAttempt = CommitAttempt.Repeated(attempt.batch)
            }
            else -> {
                log.debug("a transaction of {} writes was not executed: {}", transaction.writes.size, failure.message)
                // A batch that was sent before stays in doubt, since an earlier attempt at it may have been executed.
                if (attempt is CommitAttempt.First) requeue(attempt.batch)
            }
        }
        return CommitStep.Failed
    }

    /** Reduces the write limits after [rejection]: the same transaction would be rejected again. */
    private fun onRejected(attempt: CommitAttempt, rejection: StoreRequestRejectedException) {
        log.debug("transaction {}", rejection.message)
        limits.reduce()
        if (attempt is CommitAttempt.First || attempt.batch.journalRecords.isEmpty()) {
            requeue(attempt.batch)
        } else {
            inDoubtAttempt = CommitAttempt.Tombstone(attempt.batch)
        }
    }

    private fun onCompareFailed(attempt: CommitAttempt, failedKeys: List<String>): CommitStep {
        if (Keys.LEADER in failedKeys) {
            onLeadershipLost()
            return CommitStep.Failed
        }
        return try {
            resolveFailedCompares(attempt, failedKeys)
        } catch (e: StoreException) {
            log.debug("the keys of failed compares cannot be read: {}", e.message)
            CommitStep.Failed
        } catch (e: IllegalArgumentException) {
            log.error("unreadable record among the keys of failed compares {}: {}", failedKeys, e.message)
            CommitStep.Failed
        }
    }

    /** Finds out why compares of [attempt] failed: by an earlier attempt at the same batch, or by a change that the leader has to adopt. */
    private fun resolveFailedCompares(attempt: CommitAttempt, failedKeys: List<String>): CommitStep {
        when (val earlier = inDoubtResolver.findOutcome(attempt)) {
            is EarlierOutcome.BatchCommitted -> return onCommitted(CommitAttempt.Repeated(attempt.batch), earlier.modRevision)
            is EarlierOutcome.TombstoneCommitted -> return onCommitted(attempt, earlier.modRevision)
            EarlierOutcome.NotCommitted -> requeue(attempt.batch)
        }
        failedKeys.forEach(conflictResolver::resolveConflict)
        return CommitStep.Failed
    }

    /** Gives up [batch], which is then no longer in doubt, and makes later batches write its contents again. */
    private fun requeue(batch: WriteBatch) {
        inDoubtAttempt = null
        context.lock.withLock { writers.requeue(batch) }
    }
}
