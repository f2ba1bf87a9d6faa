package mountmast.coordination.persistence

import mountmast.coordination.state.Assignment
import mountmast.coordination.state.PendingChange
import mountmast.coordination.state.Phase
import mountmast.protocol.Clock
import mountmast.protocol.MonotonicTime
import mountmast.storage.JournalRecord
import mountmast.storage.JournalText
import mountmast.storage.TaskEnd
import mountmast.storage.TextCodec

/**
 * Writes the pending changes of the cluster state to the journal, with as many changes in each record as fit into a value. Guarded by
 * the lock of [PersistenceContext].
 */
internal class JournalWriter(private val context: PersistenceContext, private val clock: Clock) {
    private val cluster get() = context.cluster
    private val journal get() = context.journal

    /** When journal records were last added to a batch. */
    private var lastAddedAt = MonotonicTime(Long.MIN_VALUE / 2)

    /** Changes taken from the queue of pending changes, and the journal [text] with one entry for each change. */
    private class JournalEntries(val text: String, val changes: List<PendingChange>)

    /** Adds pending changes to [batch] in the order in which they happened, in at most [maxRecords] records. */
    fun contribute(batch: WriteBatch, options: BatchOptions, maxRecords: Int) {
        val now = clock.now()
        if (options.areWritesScarce && now - lastAddedAt < SCARCE_INTERVAL_MS && cluster.pendingChanges.size < MANY_PENDING_CHANGES) return
        val maxFreeRecords = countFreeSlots(options.journalSize, minOf(maxRecords, batch.remainingOps))
        if (maxFreeRecords <= 0) return
        val maxChars = maxFreeRecords * options.limits.valueBytes * if (options.mayCompress) USUAL_COMPRESSION_RATIO else 1
        addRecords(batch, options, dequeueEntries(maxChars), maxFreeRecords)
        if (batch.journalRecords.isNotEmpty()) lastAddedAt = now
    }

    private fun addRecords(batch: WriteBatch, options: BatchOptions, entries: JournalEntries, maxRecords: Int) {
        val text = entries.text
        var from = 0
        while (from < text.length && batch.journalRecords.size < maxRecords && batch.remainingOps > 0) {
            val piece = TextCodec.packNext(text, from, options.limits.valueBytes, options.mayCompress)
            val record = JournalRecord(journal.nextRecordNumber + batch.journalRecords.size, piece.plain, piece.compressed)
            val slot = options.journalSize.slotOf(record.number)
            val addedCount = batch.journaledChanges.size
            val changes = entries.changes.subList(addedCount, addedCount + piece.entryCount)
            batch.addJournalRecord(SlottedRecord(slot, record), journal.modRevisionOf(slot), changes)
            from = piece.end
        }
        requeue(entries.changes.drop(batch.journaledChanges.size))
    }

    /** Returns how many of the next slots are free, up to [max]; one slot of the journal always stays free. */
    private fun countFreeSlots(size: JournalSize, max: Int): Int {
        val maxUsable = minOf(max.toLong(), size.slotCount - 1 - journal.recordsSinceSnapshot).toInt()
        var freeCount = 0
        while (freeCount < maxUsable && journal.isFree(size.slotOf(journal.nextRecordNumber + freeCount))) freeCount++
        return freeCount
    }

    /** Removes the first pending changes from their queue and returns their entries, of about [maxChars] characters in total. */
    private fun dequeueEntries(maxChars: Int): JournalEntries {
        val text = JournalText()
        val changes = ArrayList<PendingChange>()
        while (text.length < maxChars) {
            val change = cluster.pendingChanges.removeFirstOrNull() ?: break
            // The assignment ended, or its job was cancelled, before the start was journaled: the start is not journaled, nor was its
            // command sent.
            if (change is PendingChange.Started && isObsoleteStart(change.assignment)) {
                cluster.assignments.release(change.assignment, clock.now())
            } else {
                append(change, text)
                changes += change
            }
        }
        return JournalEntries(text.take(), changes)
    }

    private fun isObsoleteStart(assignment: Assignment): Boolean = assignment.phase != Phase.INTENDED || assignment.job.isCancelled

    private fun append(change: PendingChange, text: JournalText) {
        when (change) {
            is PendingChange.Started -> {
                val assignment = change.assignment
                assignment.beginJournaling()
                text.started(assignment.taskName, assignment.machine, assignment.incarnation, assignment.attempt, assignment.zone)
            }
            is PendingChange.Ended -> text.ended(change.assignment.taskName, classifyEnd(change.assignment))
            is PendingChange.Reserved -> text.reserved(change.machine, change.job, change.victims)
        }
    }

    private fun classifyEnd(assignment: Assignment): TaskEnd = when {
        assignment.isCompleted -> TaskEnd.DONE
        assignment.isPreempted -> TaskEnd.PREEMPTED
        else -> TaskEnd.UNDONE
    }

    /** Puts [changes] back at the head of the queue of pending changes, in their order, so that they precede later changes. */
    fun requeue(changes: List<PendingChange>) {
        for (change in changes.asReversed()) {
            if (change is PendingChange.Started) change.assignment.abandonJournaling()
            // If the assignment has ended since, its end follows in the queue, and the start is dropped as obsolete.
            cluster.pendingChanges.addFirst(change)
        }
    }

    private companion object {
        /**
         * While writes are scarce, minimum time between batches with journal records, unless [MANY_PENDING_CHANGES] or more are pending.
         */
        const val SCARCE_INTERVAL_MS = 400L
        const val MANY_PENDING_CHANGES = 100

        /** Usual ratio of the length of a journal text to its compressed length. */
        const val USUAL_COMPRESSION_RATIO = 5
    }
}
