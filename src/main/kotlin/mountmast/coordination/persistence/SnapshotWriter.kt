package mountmast.coordination.persistence

import kotlinx.serialization.json.encodeToJsonElement
import mountmast.protocol.ModRevision
import mountmast.protocol.WireJson
import mountmast.storage.Keys
import mountmast.storage.SnapshotPart
import mountmast.storage.SnapshotRecord
import mountmast.storage.TextCodec

/**
 * Writes the whole ledger now and then, in parts, so that the journal's slots can be used again. While changes are short,
 * parts are spread over the slots that are left.
 */
class SnapshotWriter(private val context: PersistenceContext) {
    /** The snapshot being written. Its text is packed part by part, as packing all at once would hold the lock for long. */
    private class Draft(val text: String, val generation: Long, val upTo: Long, val beganAt: Long) {
        var position = 0
        var parts = 0
        val isWhole: Boolean get() = position == text.length
        fun pointer() = SnapshotRecord(generation, upTo, parts)
    }

    private var draft: Draft? = null

    fun addTo(batch: WriteBatch, limits: WriteLimits, size: JournalSize, compact: Boolean, isScarce: Boolean) {
        val current = draft ?: begin(size) ?: return
        // Parts are written while the pointer still names the snapshot before: late ones then change nothing.
        batch.requires(Keys.SNAPSHOT, context.journal.snapshotModRevision)
        batch.snapshotEnd = current.position
        val due = if (isScarce) dueUpTo(current, size) else current.text.length
        while (batch.room > 0 && batch.snapshotParts < PARTS_PER_BATCH && batch.snapshotEnd < due) {
            val piece = TextCodec.packNext(current.text, batch.snapshotEnd, limits.valueBytes, compact)
            val key = Keys.snapshotPart(current.generation, current.parts + batch.snapshotParts++)
            batch.put(key, WireJson.encodeToJsonElement(SnapshotPart(piece.plain, piece.compressed)))
            batch.snapshotEnd = piece.end
        }
        if (current.isWhole && batch.room > 0) {
            val pointer = current.pointer()
            batch.put(Keys.SNAPSHOT, WireJson.encodeToJsonElement(pointer))
            batch.snapshot = pointer
        }
    }

    /** [batch] was carried out, at [modRevision]. */
    fun committed(batch: WriteBatch, modRevision: ModRevision) {
        if (batch.snapshotParts > 0) {
            draft?.let {
                it.parts += batch.snapshotParts
                it.position = batch.snapshotEnd
            }
        }
        batch.snapshot?.let { became(it, modRevision) }
    }

    /** The store holds [pointer]. */
    fun became(pointer: SnapshotRecord, modRevision: ModRevision) {
        context.journal.snapshotUpTo = pointer.upTo
        context.journal.generation = pointer.generation
        context.journal.snapshotModRevision = modRevision
        draft = null
    }

    /** What is in the journal by now; what is written later is replayed on top of it. */
    private fun begin(size: JournalSize): Draft? {
        val journal = context.journal
        // A leader before may have used another size, so that the next slot is taken although few are.
        val isDue = journal.used >= size.beginSnapshotAfter || !journal.isFree(size.slotOf(journal.next))
        if (!isDue) return null
        return Draft(context.cluster.describe(), journal.generation + 1, journal.next - 1, journal.used).also { draft = it }
    }

    /** How far the text should be written by now, for it to be whole before the slots run out. */
    private fun dueUpTo(current: Draft, size: JournalSize): Int {
        val used = context.journal.used - current.beganAt
        val share = (used + 1).toDouble() / (maxOf(size.snapshotWholeAt, current.beganAt + 1) - current.beganAt)
        return minOf(current.text.length.toLong(), (current.text.length * share).toLong()).toInt()
    }

    private companion object {
        const val PARTS_PER_BATCH = 4
    }
}
