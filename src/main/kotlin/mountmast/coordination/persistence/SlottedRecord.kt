package mountmast.coordination.persistence

import mountmast.storage.JournalRecord
import mountmast.storage.Keys

/** A journal record and the slot of the journal that it is written to. */
internal class SlottedRecord(val slot: Int, val record: JournalRecord) {
    /** Number of the record; the journal is replayed in the order of these numbers. */
    val number: Long get() = record.number

    /** Key of the slot. */
    val key: String get() = Keys.journalSlot(slot)
}
