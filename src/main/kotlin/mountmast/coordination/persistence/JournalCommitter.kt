package mountmast.coordination.persistence

import kotlinx.serialization.json.decodeFromJsonElement
import kotlinx.serialization.json.encodeToJsonElement
import mountmast.coordination.state.Assignment
import mountmast.coordination.state.Job
import mountmast.coordination.state.PendingChange
import mountmast.coordination.state.Phase
import mountmast.protocol.Clock
import mountmast.protocol.JobStatus
import mountmast.protocol.ModRevision
import mountmast.protocol.MonotonicTime
import mountmast.protocol.Shape
import mountmast.protocol.StateLimits
import mountmast.protocol.WireJson
import mountmast.storage.Compare
import mountmast.storage.Entry
import mountmast.storage.FinishedJobRecord
import mountmast.storage.JournalRecord
import mountmast.storage.Keys
import mountmast.storage.StateStore
import mountmast.storage.StoreException
import mountmast.storage.StoreRequestRejectedException
import mountmast.storage.StoreTimeoutException
import mountmast.storage.Transaction
import mountmast.storage.TransactionResult
import mountmast.storage.Write
import org.slf4j.LoggerFactory
import kotlin.concurrent.withLock

private val log = LoggerFactory.getLogger("mountmast.writer")

/**
 * Brings the ledger's changes into the store: group commit into a journal of few, large records, since the state
 * service counts writes. Now and then the whole ledger is written as a snapshot, in parts, and the journal's slots
 * are used again from then on.
 *
 * Every transaction depends on the leader's key, and on the slot that it writes: one that is applied late, by this
 * leader or a former one, changes nothing that was written since.
 */
class JournalCommitter(
    private val context: PersistenceContext,
    private val store: StateStore,
    stateLimits: StateLimits,
    private val clock: Clock,
    /** Whether every node reads the compact forms. */
    private val compact: () -> Boolean = { false },
    private val onDeposed: () -> Unit,
) {
    private val cluster get() = context.cluster
    private var limits = WriteLimits.of(stateLimits)
    private val largeJournal = JournalSize.of(limits.valueBytes)
    private val journal = JournalWriter(context, clock)
    private val snapshots = SnapshotWriter(context)
    private val types = TypesWriter(context)
    private val progress = ProgressWriter(cluster, clock)
    private val failing = FailingJobsWriter(cluster, clock)
    private val images = ImagesWriter(cluster, clock)
    private val watermark = CancellationWatermarkWriter(context, clock)
    private val conflicts = ConflictResolver(context, store, snapshots)
    private var endsFirst = false
    private var rejectedOnce = false
    private var pausedUntil = MonotonicTime(Long.MIN_VALUE / 2)

    /** A batch that got no answer: asked again word for word until its fate is known. */
    private var inDoubtBatch: WriteBatch? = null

    /**
     * Set where [inDoubtBatch] is refused by now as too large. An earlier try of it may still be carried out, so the journal's
     * slot that it depends on is written first.
     */
    private var tombstone: SlottedRecord? = null

    /** Writes one transaction if there is anything to write; false where there was nothing, or it failed. */
    fun step(): Boolean {
        if (clock.now() < pausedUntil) return false
        val batch = inDoubtBatch ?: collectBatch() ?: return false
        val transaction = tombstone?.let(::tombstoneTransaction) ?: batch.transaction()
        val outcome = try {
            store.commit(transaction)
        } catch (e: StoreTimeoutException) {
            log.debug("commit of {} writes: {}", transaction.writes.size, e.message)
            inDoubtBatch = batch
            return false
        } catch (e: StoreRequestRejectedException) {
            rejected(batch, e)
            return false
        } catch (e: StoreException) {
            log.debug("commit of {} writes: {}", transaction.writes.size, e.message)
            // What was refused was not executed; but an earlier try of the same may have been.
            if (inDoubtBatch == null) context.lock.withLock { requeue(batch) }
            return false
        }
        return when (outcome) {
            is TransactionResult.Committed -> onCommitted(batch, ModRevision(outcome.revision.number))
            is TransactionResult.CompareFailed -> resolve(outcome.failed, batch)
        }
    }

    private fun onCommitted(batch: WriteBatch, modRevision: ModRevision): Boolean {
        val wasTombstone = tombstone != null
        inDoubtBatch = null
        tombstone = null
        context.lock.withLock {
            context.journal.writtenAt = clock.now()
            if (wasTombstone) onTombstoneWritten(batch, modRevision) else committed(batch, modRevision)
        }
        return true
    }

    private fun collectBatch(): WriteBatch? {
        val room = store.writeBudget()
        if (room.available <= 0) return null
        if (!progress.knowsParts && !findProgress()) return null
        return context.lock.withLock { collect(minOf(room.available, limits.transactionOps), room.isScarce) }
    }

    private fun findProgress(): Boolean = try {
        progress.found(store.listAll(Keys.PROGRESS).first.map { it.key })
        true
    } catch (e: StoreException) {
        log.debug("finding progress: {}", e.message)
        false
    }

    /** What matters most comes first: the ends of jobs and the journal, last what is for display or a hint. */
    private fun collect(mostOps: Int, isScarce: Boolean): WriteBatch? {
        val batch = WriteBatch(context.leaderModRevision, mostOps)
        val isCompact = compact()
        val size = if (isCompact) largeJournal else JournalSize.LEAST
        val ready = cluster.finishing.filter { it.nothingLives() }
        endsFirst = !endsFirst
        addJournal(batch, size, ready.size, isCompact, isScarce)
        for (job in ready) if (batch.room >= OPS_PER_END) addFinishedJob(batch, job)
        watermark.addTo(batch)
        types.addTo(batch, limits, inParts = isCompact || rejectedOnce)
        snapshots.addTo(batch, limits, size, isCompact, isScarce)
        if (!limits.isLeast) {
            progress.addTo(batch, limits, isCompact, isScarce)
            failing.addTo(batch, limits)
            images.addTo(batch, limits, isScarce)
        }
        return batch.takeUnless { it.isEmpty }
    }

    /** The journal leaves half of the transaction to jobs that are over, and one change to what else is due. */
    private fun addJournal(batch: WriteBatch, size: JournalSize, finishedJobs: Int, isCompact: Boolean, isScarce: Boolean) {
        val half = maxOf(OPS_PER_END, batch.room / 2)
        val forEnds = minOf(finishedJobs * OPS_PER_END, half)
        // Where both do not fit they take turns.
        val left = if (batch.room > forEnds) {
            batch.room - forEnds
        } else if (endsFirst) {
            0
        } else {
            batch.room
        }
        val forOthers = if (left >= MIN_SHARED_OPS) 1 else 0
        journal.addTo(batch, limits, size, left - forOthers, isCompact, isScarce)
    }

    private fun addFinishedJob(batch: WriteBatch, job: Job) {
        val record = finalRecord(job)
        batch.requires(Keys.job(job.id), job.modRevision)
        batch.put(Keys.finished(job.id), WireJson.encodeToJsonElement(record))
        batch.delete(Keys.job(job.id))
        batch.finished += JobEnd(job, record)
    }

    private fun finalRecord(job: Job): FinishedJobRecord {
        val status = if (job.cancelRecorded) JobStatus.CANCELLED else JobStatus.DONE
        return FinishedJobRecord(status, job.spec.tasks, clock.wall(), job.spec.shape == Shape.SERVICE)
    }

    private fun requeue(batch: WriteBatch) {
        journal.requeue(batch.written)
        // What users are told went with it.
        progress.forget()
        failing.requeue()
        watermark.requeue()
    }

    private fun committed(batch: WriteBatch, modRevision: ModRevision) {
        journal.committed(batch.records, modRevision)
        var freed = false
        for (change in batch.written) {
            when (change) {
                is PendingChange.Started -> started(change.assignment)
                is PendingChange.Ended -> {
                    cluster.release(change.assignment, clock.now())
                    freed = true
                }
                is PendingChange.Reserved -> {}
            }
        }
        if (freed) context.signals.wakePlacement()
        snapshots.committed(batch, modRevision)
        for (end in batch.finished) {
            log.debug("job {} is over", end.job.id)
            context.jobs.finished(end.job, end.record)
        }
        types.committed(batch)
    }

    private fun started(assignment: Assignment) {
        assignment.beingWritten = false
        assignment.written = true
        if (assignment.phase != Phase.INTENDED) return
        assignment.phase = Phase.COMMITTED
        context.onStartCommitted(assignment.machine)
    }

    /** The state service takes less than was thought: the same is not tried again, but less at a time. */
    private fun rejected(batch: WriteBatch, e: StoreRequestRejectedException) {
        log.debug("{}", e.message)
        rejectedOnce = true
        if (limits.isLeast) pausedUntil = clock.now() + REJECTED_PAUSE_MS
        limits = limits.halved()
        if (inDoubtBatch == null || batch.records.isEmpty()) {
            inDoubtBatch = null
            tombstone = null
            context.lock.withLock { requeue(batch) }
        } else {
            val first = batch.records.first()
            tombstone = SlottedRecord(first.slot, JournalRecord(first.number, ""))
        }
    }

    private fun tombstoneTransaction(empty: SlottedRecord): Transaction {
        val compares = listOf(
            Compare(Keys.LEADER, context.leaderModRevision),
            Compare(empty.key, context.journal.modRevisionOf(empty.slot)),
        )
        return Transaction(compares, listOf(Write.Put(empty.key, WireJson.encodeToJsonElement(empty.record))))
    }

    /** An empty record is in the first slot of [batch], which can be carried out no more. */
    private fun onTombstoneWritten(batch: WriteBatch, modRevision: ModRevision) {
        journal.committed(listOf(batch.records.first()), modRevision)
        requeue(batch)
    }

    /** Learns what the store has instead of what was expected; true where the batch turns out to be in it. */
    private fun resolve(failed: List<String>, batch: WriteBatch): Boolean {
        if (Keys.LEADER in failed) {
            onDeposed()
            return false
        }
        try {
            if (batch.records.isNotEmpty() && inDoubtBatch != null && wasCarriedOut(batch)) return true
            inDoubtBatch = null
            tombstone = null
            context.lock.withLock { requeue(batch) }
            failed.forEach(conflicts::resolve)
        } catch (e: StoreException) {
            log.debug("reading again: {}", e.message)
        } catch (e: IllegalArgumentException) {
            log.error("unreadable record among {}: {}", failed, e.message)
        }
        return false
    }

    /** Whether an earlier try of [batch], or its fence, was carried out although no answer came: only we write in this term. */
    private fun wasCarriedOut(batch: WriteBatch): Boolean {
        val first = batch.records.first()
        val entry = store.get(first.key) ?: return false
        if (WireJson.decodeFromJsonElement<JournalRecord>(entry.value).number != first.number) return false
        if (!isTombstone(entry)) tombstone = null
        return onCommitted(batch, entry.modRevision)
    }

    private fun isTombstone(entry: Entry) = tombstone?.let { WireJson.encodeToJsonElement(it.record) == entry.value } == true

    private companion object {
        /** A job that is over is moved: one put and one delete. */
        const val OPS_PER_END = 2

        /** From so many changes on the journal leaves one to others. */
        const val MIN_SHARED_OPS = 3
        const val REJECTED_PAUSE_MS = 1000L
    }
}
