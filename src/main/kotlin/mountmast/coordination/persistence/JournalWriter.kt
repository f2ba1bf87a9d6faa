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
 * Appends the pending changes of the cluster state to the journal, as many in each record as a value takes. Guarded by the lock of
 * [PersistenceContext].
 */
internal class JournalWriter(private val context: PersistenceContext, private val clock: Clock) {
    private val cluster get() = context.cluster
    private val journal get() = context.journal
    private var lastAddedAt = MonotonicTime(Long.MIN_VALUE / 2)

    /** The text of some changes, one entry for each. */
    private class JournalEntries(val text: String, val changes: List<PendingChange>)

    /** Adds pending changes to [batch] in the order in which they happened, in at most [maxRecords] records. */
    fun contribute(batch: WriteBatch, options: BatchOptions, maxRecords: Int) {
        val now = clock.now()
        if (options.isScarce && now - lastAddedAt < SCARCE_INTERVAL_MS && cluster.pendingChanges.size < MANY_CHANGES) return
        val records = freeSlots(options.journalSize, minOf(maxRecords, batch.remainingOps))
        if (records <= 0) return
        val maxChars = records * options.limits.valueBytes * if (options.isCompact) USUAL_RATIO else 1
        addRecords(batch, options, dequeueEntries(maxChars), records)
        if (batch.journalRecords.isNotEmpty()) lastAddedAt = now
    }

    private fun addRecords(batch: WriteBatch, options: BatchOptions, entries: JournalEntries, maxRecords: Int) {
        val text = entries.text
        var from = 0
        while (from < text.length && batch.journalRecords.size < maxRecords && batch.remainingOps > 0) {
            val piece = TextCodec.packNext(text, from, options.limits.valueBytes, options.isCompact)
            val record = JournalRecord(journal.nextRecordNumber + batch.journalRecords.size, piece.plain, piece.compressed)
            val slot = options.journalSize.slotOf(record.number)
            val added = batch.journaledChanges.size
            val changes = entries.changes.subList(added, added + piece.entries)
            batch.addJournalRecord(SlottedRecord(slot, record), journal.modRevisionOf(slot), changes)
            from = piece.end
        }
        requeue(entries.changes.drop(batch.journaledChanges.size))
    }

    /** How many of the next slots are free, up to [max]; one always stays free. */
    private fun freeSlots(size: JournalSize, max: Int): Int {
        val left = minOf(max.toLong(), size.slotCount - 1 - journal.recordsSinceSnapshot).toInt()
        var free = 0
        while (free < left && journal.isFree(size.slotOf(journal.nextRecordNumber + free))) free++
        return free
    }

    /** Removes the first pending changes from their queue and returns their entries, about [maxChars] characters in all. */
    private fun dequeueEntries(maxChars: Int): JournalEntries {
        val text = JournalText()
        val changes = ArrayList<PendingChange>()
        while (text.length < maxChars) {
            val change = cluster.pendingChanges.removeFirstOrNull() ?: break
            // Ended or cancelled before its start was journaled: it was never sent, nor will be.
            if (change is PendingChange.Started && isVoid(change.assignment)) {
                cluster.assignments.release(change.assignment, clock.now())
            } else {
                append(change, text)
                changes += change
            }
        }
        return JournalEntries(text.take(), changes)
    }

    private fun isVoid(assignment: Assignment): Boolean = assignment.phase != Phase.INTENDED || assignment.job.isCancelled

    private fun append(change: PendingChange, text: JournalText) {
        when (change) {
            is PendingChange.Started -> {
                val assignment = change.assignment
                assignment.beginJournaling()
                text.started(assignment.taskName, assignment.machine, assignment.incarnation, assignment.attempt, assignment.zone)
            }
            is PendingChange.Ended -> text.ended(change.assignment.taskName, endOf(change.assignment))
            is PendingChange.Reserved -> text.reserved(change.machine, change.job, change.victims)
        }
    }

    private fun endOf(assignment: Assignment): TaskEnd = when {
        assignment.isCompleted -> TaskEnd.DONE
        assignment.isPreempted -> TaskEnd.PREEMPTED
        else -> TaskEnd.UNDONE
    }

    /** Puts [changes] at the head of the pending changes, before all that came after them. */
    fun requeue(changes: List<PendingChange>) {
        for (change in changes.asReversed()) {
            if (change is PendingChange.Started) change.assignment.abandonJournaling()
            // An end that was noticed meanwhile is queued behind its start, which is then dropped as void.
            cluster.pendingChanges.addFirst(change)
        }
    }

    private companion object {
        /** While writes are scarce a record waits this long for more changes, unless [MANY_CHANGES] are pending. */
        const val SCARCE_INTERVAL_MS = 400L
        const val MANY_CHANGES = 100

        /** How many times shorter a text usually gets by compression. */
        const val USUAL_RATIO = 5
    }
}
