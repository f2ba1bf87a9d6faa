package mountmast.coordination.persistence

import mountmast.protocol.ModRevision
import mountmast.protocol.MonotonicTime
import mountmast.storage.JournalRecord
import mountmast.storage.Keys

/** Where the journal stands in the store. */
class JournalState {
    private class Slot(val modRevision: ModRevision, val number: Long)

    private val slots = HashMap<Int, Slot>()

    /** When this leader's last transaction was carried out; null before the first. */
    var writtenAt: MonotonicTime? = null

    /** Number of the next record. */
    var next = 1L

    /** What the latest whole snapshot holds, and which it is. */
    var snapshotUpTo = 0L
    var generation = 0L
    var snapshotModRevision = ModRevision.ABSENT

    /** Records that a new leader would replay. */
    val used: Long get() = next - 1 - snapshotUpTo

    /** Version of what is in [slot]. */
    fun modRevisionOf(slot: Int): ModRevision = slots[slot]?.modRevision ?: ModRevision.ABSENT

    /** Whether [slot] holds no record that a new leader would have to replay. */
    fun isFree(slot: Int): Boolean = (slots[slot]?.number ?: 0) <= snapshotUpTo

    /** [slot] holds the record of this [number]. */
    fun note(slot: Int, number: Long, modRevision: ModRevision) {
        slots[slot] = Slot(modRevision, number)
    }
}

/**
 * How many slots the journal has. A new leader reads them all, so their volume is bounded, not their number: small values
 * hold few changes each, and a snapshot of a large fleet in small values takes many writes, during which the journal goes on.
 *
 * Records are replayed by their numbers, wherever they stand, so leaders may use different sizes one after another.
 */
class JournalSize private constructor(val slots: Int) {
    /** A snapshot is begun after so many records, and should be whole after that many. */
    val beginSnapshotAfter: Long = (slots * BEGIN_SHARE).toLong()
    val snapshotWholeAt: Long = (slots * WHOLE_SHARE).toLong()

    /** The slot of the record of this [number]. */
    fun slotOf(number: Long): Int = (number % slots).toInt()

    companion object {
        private const val VOLUME_BYTES = 1024 * 1024
        private const val BEGIN_SHARE = 0.375
        private const val WHOLE_SHARE = 0.875

        /** What the version in production reads and writes; no journal is smaller. */
        val LEAST = JournalSize(128)

        /** The size where values are filled up to [valueBytes] and every node knows of larger journals. */
        fun of(valueBytes: Int) = if (VOLUME_BYTES / valueBytes > LEAST.slots) JournalSize(VOLUME_BYTES / valueBytes) else LEAST
    }
}

/** A record of the journal and the slot that it is written to. */
class SlottedRecord(val slot: Int, val record: JournalRecord) {
    val number: Long get() = record.number
    val key: String get() = Keys.journalSlot(slot)
}
