package mountmast.coordination.persistence

import kotlinx.serialization.json.encodeToJsonElement
import mountmast.protocol.ModRevision
import mountmast.protocol.WireJson
import mountmast.storage.Keys
import mountmast.storage.SnapshotPart
import mountmast.storage.SnapshotRecord
import mountmast.storage.TextCodec

/**
 * Writes a snapshot of the cluster state now and then, in parts, so that the journal's slots can be used again. While writes are
 * scarce, the parts are spread over the slots that are left. Guarded by the lock of [PersistenceContext].
 */
internal class SnapshotWriter(private val context: PersistenceContext) : BatchContributor {
    /**
     * The snapshot being written. Its [text] is packed part by part, as packing all at once would hold the lock for long.
     *
     * @property lastRecord number of the last journal record whose changes the text contains
     * @property recordsAtBegin how many records the journal had when the snapshot was begun
     * @property position how much of the text is in the store, in characters
     * @property parts how many parts are in the store
     */
    private data class Draft(
        val text: String,
        val generation: Long,
        val lastRecord: Long,
        val recordsAtBegin: Long,
        val position: Int = 0,
        val parts: Int = 0,
    ) {
        val areAllPartsStored: Boolean get() = position == text.length
        fun pointer() = SnapshotRecord(generation, lastRecord, parts)
    }

    private var draft: Draft? = null

    override fun contribute(batch: WriteBatch, options: BatchOptions) {
        val current = draft ?: begin(options.journalSize) ?: return
        // Parts are written while the pointer still names the snapshot before: late ones then change nothing.
        batch.addCompare(Keys.SNAPSHOT, context.journal.snapshotModRevision)
        addParts(batch, current, options)
        if (current.areAllPartsStored && batch.remainingOps > 0) batch.addSnapshotPointer(current.pointer())
    }

    private fun addParts(batch: WriteBatch, current: Draft, options: BatchOptions) {
        val due = if (options.isScarce) dueEnd(current, options.journalSize) else current.text.length
        var position = current.position
        while (batch.remainingOps > 0 && batch.snapshotPartCount < PARTS_PER_BATCH && position < due) {
            val piece = TextCodec.packNext(current.text, position, options.limits.valueBytes, options.isCompact)
            val key = Keys.snapshotPart(current.generation, current.parts + batch.snapshotPartCount)
            batch.addSnapshotPart(key, WireJson.encodeToJsonElement(SnapshotPart(piece.plain, piece.compressed)), piece.end)
            position = piece.end
        }
    }

    override fun onCommitted(batch: WriteBatch, modRevision: ModRevision) {
        if (batch.snapshotPartCount > 0) {
            draft = draft?.let { it.copy(position = batch.snapshotTextEnd, parts = it.parts + batch.snapshotPartCount) }
        }
        batch.completedSnapshot?.let { onPointerStored(it, modRevision) }
    }

    /** Ends the snapshot being written, since the store has [pointer] at [modRevision]. */
    fun onPointerStored(pointer: SnapshotRecord, modRevision: ModRevision) {
        context.journal.setSnapshot(pointer, modRevision)
        draft = null
    }

    /** Begins a snapshot of what the journal contains by now, if one is due; records that follow are replayed on top of it. */
    private fun begin(size: JournalSize): Draft? {
        val journal = context.journal
        // A leader before may have used another size, so that the next slot is taken although few are.
        val isDue = journal.recordsSinceSnapshot >= size.beginSnapshotAfter || !journal.isFree(size.slotOf(journal.nextRecordNumber))
        if (!isDue) return null
        val text = context.cluster.describe()
        return Draft(text, journal.snapshotGeneration + 1, journal.nextRecordNumber - 1, journal.recordsSinceSnapshot).also { draft = it }
    }

    /** How far the text should be written by now, for it to be complete before the slots run out. */
    private fun dueEnd(current: Draft, size: JournalSize): Int {
        val recordsSinceBegin = context.journal.recordsSinceSnapshot - current.recordsAtBegin
        val available = maxOf(size.completeSnapshotBefore, current.recordsAtBegin + 1) - current.recordsAtBegin
        val share = (recordsSinceBegin + 1).toDouble() / available
        return minOf(current.text.length.toLong(), (current.text.length * share).toLong()).toInt()
    }

    private companion object {
        const val PARTS_PER_BATCH = 4
    }
}
