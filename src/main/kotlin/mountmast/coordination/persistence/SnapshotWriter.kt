package mountmast.coordination.persistence

import kotlinx.serialization.json.encodeToJsonElement
import mountmast.protocol.ModRevision
import mountmast.protocol.WireJson
import mountmast.storage.Keys
import mountmast.storage.SnapshotPart
import mountmast.storage.SnapshotRecord
import mountmast.storage.TextCodec

/**
 * Writes snapshots of the cluster state, in parts, so that journal slots whose records a snapshot contains become free. While writes are
 * scarce, the parts are spread over the time in which the journal's remaining slots fill up. Guarded by the lock of
 * [PersistenceContext].
 */
internal class SnapshotWriter(private val context: PersistenceContext) : BatchContributor {
    /**
     * The snapshot being written. Its [text] is divided into values, and compressed, one part at a time: doing so for the whole text
     * at once would hold the lock for too long.
     *
     * @property lastRecordNumber number of the last journal record whose changes the text contains
     * @property recordsAtBegin number of journal records since the previous snapshot at the time this one was begun
     * @property committedChars length of the text that committed parts hold, in characters
     * @property committedParts number of committed parts
     */
    private data class Draft(
        val text: String,
        val generation: Long,
        val lastRecordNumber: Long,
        val recordsAtBegin: Long,
        val committedChars: Int = 0,
        val committedParts: Int = 0,
    ) {
        val areAllPartsStored: Boolean get() = committedChars == text.length
        fun toPointer() = SnapshotRecord(generation, lastRecordNumber, committedParts)
    }

    private var draft: Draft? = null

    override fun contribute(batch: WriteBatch, options: BatchOptions) {
        val current = draft ?: beginIfDue(options.journalSize) ?: return
        // Parts are committed only while the pointer still names the previous snapshot. So a transaction that the store executes late
        // changes no part of a complete snapshot.
        batch.addCompare(Keys.SNAPSHOT, context.journal.snapshotModRevision)
        addParts(batch, current, options)
        if (current.areAllPartsStored && batch.remainingOps > 0) batch.addSnapshotPointer(current.toPointer())
    }

    private fun addParts(batch: WriteBatch, current: Draft, options: BatchOptions) {
        val dueEnd = if (options.areWritesScarce) computeDueEnd(current, options.journalSize) else current.text.length
        var position = current.committedChars
        while (batch.remainingOps > 0 && batch.snapshotPartCount < MAX_PARTS_PER_BATCH && position < dueEnd) {
            val piece = TextCodec.packNext(current.text, position, options.limits.valueBytes, options.mayCompress)
            val key = Keys.snapshotPart(current.generation, current.committedParts + batch.snapshotPartCount)
            batch.addSnapshotPart(key, WireJson.encodeToJsonElement(SnapshotPart(piece.plain, piece.compressed)), piece.end)
            position = piece.end
        }
    }

    override fun onCommitted(batch: WriteBatch, modRevision: ModRevision) {
        if (batch.snapshotPartCount > 0) {
            draft = draft?.let {
                it.copy(committedChars = batch.snapshotTextEnd, committedParts = it.committedParts + batch.snapshotPartCount)
            }
        }
        batch.completedSnapshot?.let { onPointerStored(it, modRevision) }
    }

    /** Records that the store holds [pointer] at [modRevision], and discards the draft: the snapshot is complete. */
    fun onPointerStored(pointer: SnapshotRecord, modRevision: ModRevision) {
        context.journal.setSnapshot(pointer, modRevision)
        draft = null
    }

    /** Begins a snapshot of all changes in the journal so far, if one is due. Later records are replayed after the snapshot. */
    private fun beginIfDue(size: JournalSize): Draft? {
        val journal = context.journal
        // If a former leader used another journal size, the next slot may hold a record that is still needed, although few slots do.
        val isDue = journal.recordsSinceSnapshot >= size.beginSnapshotAfterRecords || !journal.isFree(size.slotOf(journal.nextRecordNumber))
        if (!isDue) return null
        val text = context.cluster.toSnapshotText()
        return Draft(text, journal.snapshotGeneration + 1, journal.nextRecordNumber - 1, journal.recordsSinceSnapshot).also { draft = it }
    }

    /**
     * Returns up to which character the text of the snapshot should be written now, for the snapshot to be complete before the free slots
     * run out.
     */
    private fun computeDueEnd(current: Draft, size: JournalSize): Int {
        val recordsSinceBegin = context.journal.recordsSinceSnapshot - current.recordsAtBegin
        val recordsUntilComplete = maxOf(size.completeSnapshotBeforeRecords, current.recordsAtBegin + 1) - current.recordsAtBegin
        val dueShare = (recordsSinceBegin + 1).toDouble() / recordsUntilComplete
        return minOf(current.text.length.toLong(), (current.text.length * dueShare).toLong()).toInt()
    }

    private companion object {
        const val MAX_PARTS_PER_BATCH = 4
    }
}
