package mountmast.coordination.persistence

import kotlinx.serialization.json.encodeToJsonElement
import mountmast.coordination.state.Assignment
import mountmast.coordination.state.PendingChange
import mountmast.coordination.state.Phase
import mountmast.protocol.Clock
import mountmast.protocol.ModRevision
import mountmast.protocol.MonotonicTime
import mountmast.protocol.WireJson
import mountmast.storage.JournalRecord
import mountmast.storage.JournalText
import mountmast.storage.TaskEnd
import mountmast.storage.TextCodec

/** Brings the ledger's changes into the journal, as many into each record as a value takes. */
class JournalWriter(private val context: PersistenceContext, private val clock: Clock) {
    private val cluster get() = context.cluster
    private val journal get() = context.journal
    private var wroteAt = MonotonicTime(Long.MIN_VALUE / 2)

    /** Adds changes in the order in which they happened, in at most [mostRecords] records. */
    fun addTo(batch: WriteBatch, limits: WriteLimits, size: JournalSize, mostRecords: Int, compact: Boolean, isScarce: Boolean) {
        val now = clock.now()
        if (isScarce && now - wroteAt < SHORT_EVERY_MS && cluster.pendingChanges.size < MANY_CHANGES) return
        val most = freeSlots(size, minOf(mostRecords, batch.room))
        if (most <= 0) return
        val described = ArrayList<PendingChange>()
        val text = describeSome(described, most * limits.valueBytes * if (compact) USUAL_RATIO else 1)
        var from = 0
        while (from < text.length && batch.records.size < most && batch.room > 0) {
            val piece = TextCodec.packNext(text, from, limits.valueBytes, compact)
            val record = JournalRecord(journal.next + batch.records.size, piece.plain, piece.compressed)
            addRecord(batch, SlottedRecord(size.slotOf(record.number), record))
            repeat(piece.entries) { batch.written += described[batch.written.size] }
            from = piece.end
        }
        requeue(described.drop(batch.written.size))
        if (batch.records.isNotEmpty()) wroteAt = now
    }

    /** How many of the next slots are free, up to [most]; one always stays free. */
    private fun freeSlots(size: JournalSize, most: Int): Int {
        val left = minOf(most.toLong(), size.slots - 1 - journal.used).toInt()
        var free = 0
        while (free < left && journal.isFree(size.slotOf(journal.next + free))) free++
        return free
    }

    /** What the first changes that wait say, up to about [length] characters; they are added to [described], one for each entry. */
    private fun describeSome(described: ArrayList<PendingChange>, length: Int): String {
        val text = JournalText()
        while (text.length < length) {
            val change = cluster.pendingChanges.removeFirstOrNull() ?: break
            if (describe(change, text)) described += change
        }
        return text.take()
    }

    private fun addRecord(batch: WriteBatch, slotted: SlottedRecord) {
        batch.requires(slotted.key, journal.modRevisionOf(slotted.slot))
        batch.put(slotted.key, WireJson.encodeToJsonElement(slotted.record))
        batch.records += slotted
    }

    /** Writes [change] into [text]; false where it came to nothing before it was written. */
    private fun describe(change: PendingChange, text: JournalText): Boolean {
        when (change) {
            is PendingChange.Started -> {
                val assignment = change.assignment
                // Ended or cancelled before anybody could be told: it was never sent, nor will be.
                if (assignment.phase != Phase.INTENDED || assignment.job.cancelled) {
                    cluster.release(assignment, clock.now())
                    return false
                }
                assignment.beingWritten = true
                text.started(assignment.taskName, assignment.machine, assignment.incarnation, assignment.attempt, assignment.zone)
            }
            is PendingChange.Ended -> text.ended(change.assignment.taskName, endOf(change.assignment))
            is PendingChange.Reserved -> text.reserved(change.machine, change.job, change.victims)
        }
        return true
    }

    private fun endOf(assignment: Assignment): TaskEnd = when {
        assignment.completed -> TaskEnd.DONE
        assignment.preempted -> TaskEnd.PREEMPTED
        else -> TaskEnd.UNDONE
    }

    /** Has [changes] written again, before all that came after them. */
    fun requeue(changes: List<PendingChange>) {
        for (change in changes.asReversed()) {
            if (change is PendingChange.Started) change.assignment.beingWritten = false
            // An end that was noticed meanwhile stands in the queue behind it; such a start comes to nothing there.
            cluster.pendingChanges.addFirst(change)
        }
    }

    /** The journal holds [records] now, written at [modRevision]. */
    fun committed(records: List<SlottedRecord>, modRevision: ModRevision) {
        for (slotted in records) journal.note(slotted.slot, slotted.number, modRevision)
        journal.next += records.size
    }

    private companion object {
        /** While changes are short a record waits for so long, unless so much is to be told. */
        const val SHORT_EVERY_MS = 400L
        const val MANY_CHANGES = 100
        const val USUAL_RATIO = 5
    }
}
