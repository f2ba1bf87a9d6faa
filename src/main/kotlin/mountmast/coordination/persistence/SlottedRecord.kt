package mountmast.coordination.persistence

import mountmast.storage.JournalRecord
import mountmast.storage.Keys

/** A journal record and the slot that it is written to. */
internal class SlottedRecord(val slot: Int, val record: JournalRecord) {
    /** Position of the record in the journal. */
    val number: Long get() = record.number

    /** Key of the slot. */
    val key: String get() = Keys.journalSlot(slot)
}
