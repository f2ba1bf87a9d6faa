package mountmast.coordination.persistence

import mountmast.protocol.ModRevision
import mountmast.protocol.MonotonicTime
import mountmast.storage.SnapshotRecord

/** Which journal records and which snapshot the store holds, as far as this leader knows. Guarded by the lock of [PersistenceContext]. */
class JournalState {
    private class Slot(val modRevision: ModRevision, val recordNumber: Long)

    private val slots = HashMap<Int, Slot>()

    /** When this leader's last transaction was committed; null before its first transaction. */
    var lastCommitAt: MonotonicTime? = null
        private set

    /** Number of the next record; records are numbered from 1. */
    var nextRecordNumber = 1L
        private set

    /** Number of the last record whose changes the latest complete snapshot contains; 0 if there is no snapshot. */
    var lastRecordInSnapshot = 0L
        private set

    /** Number of the latest complete snapshot; 0 if there is none. */
    var snapshotGeneration = 0L
        private set

    /** Modification revision of the key that points to the latest complete snapshot. */
    var snapshotModRevision = ModRevision.ABSENT
        private set

    /** Number of records that are not in the latest complete snapshot: a new leader would replay them. */
    val recordsSinceSnapshot: Long get() = nextRecordNumber - 1 - lastRecordInSnapshot

    /** Modification revision of the key of [slot], on which the next write to the slot depends. */
    fun modRevisionOf(slot: Int): ModRevision = slots[slot]?.modRevision ?: ModRevision.ABSENT

    /** Whether [slot] holds no record that a new leader would have to replay. */
    fun isFree(slot: Int): Boolean = (slots[slot]?.recordNumber ?: 0) <= lastRecordInSnapshot

    /** Records that the store holds record [recordNumber] in [slot]; 0 stands for a record that cannot be read. */
    fun setSlot(slot: Int, recordNumber: Long, modRevision: ModRevision) {
        slots[slot] = Slot(modRevision, recordNumber)
    }

    /** Records that the store holds [pointer] at [modRevision]; null stands for a missing or unreadable pointer. */
    fun setSnapshot(pointer: SnapshotRecord?, modRevision: ModRevision) {
        snapshotModRevision = modRevision
        if (pointer == null) return
        lastRecordInSnapshot = pointer.upTo
        snapshotGeneration = pointer.generation
    }

    /** Numbers the next record above both [lastRecordNumber], the highest one in any slot, and the last record in the snapshot. */
    fun continueNumberingAfter(lastRecordNumber: Long) {
        nextRecordNumber = maxOf(lastRecordInSnapshot, lastRecordNumber) + 1
    }

    /** Records that [records], whose numbers continue those of the journal, were committed at [modRevision]. */
    internal fun append(records: List<SlottedRecord>, modRevision: ModRevision) {
        for (slotted in records) setSlot(slotted.slot, slotted.number, modRevision)
        nextRecordNumber += records.size
    }

    /** Records that a transaction was committed at [now]. */
    fun recordCommit(now: MonotonicTime) {
        lastCommitAt = now
    }
}
