package mountmast.coordination.persistence

import mountmast.storage.Keys
import mountmast.storage.StateStore
import mountmast.storage.StoreException
import org.slf4j.LoggerFactory
import kotlin.concurrent.withLock

private val log = LoggerFactory.getLogger("mountmast.writer")

/**
 * Collects what the leader has to write into batches, within the store's limits and the leader's write budget. Called by the
 * committing thread. Takes the lock of [PersistenceContext], but never holds it during a call to the store.
 */
internal class BatchCollector(
    private val context: PersistenceContext,
    private val store: StateStore,
    private val limits: AdaptiveWriteLimits,
    private val writers: BatchWriters,
    private val areCompactFormsAgreed: () -> Boolean,
) {
    private val largeJournalSize = JournalSize.forValuesOf(limits.current.valueBytes)

    /** Returns the next batch, or null if there is nothing to write, the write budget is used up, or the store cannot be read. */
    fun collect(): WriteBatch? {
        val budget = store.writeBudget()
        if (budget.available <= 0) return null
        if (!writers.progressWriter.areStoredPartsKnown && !loadStoredProgressParts()) return null
        return context.lock.withLock {
            val batch = WriteBatch(context.leaderModRevision, minOf(budget.available, limits.current.transactionOps))
            writers.fill(batch, createOptions(budget.isScarce))
            batch.takeUnless { it.isEmpty }
        }
    }

    private fun createOptions(areWritesScarce: Boolean): BatchOptions {
        val mayCompress = areCompactFormsAgreed()
        val journalSize = if (mayCompress) largeJournalSize else JournalSize.MINIMUM
        return BatchOptions(
            limits.current,
            journalSize,
            mayCompress,
            areWritesScarce,
            maySplitTypes = mayCompress || limits.wasTransactionRejected,
        )
    }

    /** Reads which parts of the progress record earlier leaders stored; returns whether the store could be read. */
    private fun loadStoredProgressParts(): Boolean = try {
        writers.progressWriter.setStoredParts(store.listAll(Keys.PROGRESS).first.map { it.key })
        true
    } catch (e: StoreException) {
        log.debug("the stored parts of the progress record cannot be listed: {}", e.message)
        false
    }
}
