package mountmast.coordination.persistence

import kotlinx.serialization.json.encodeToJsonElement
import mountmast.protocol.WireJson
import mountmast.storage.Compare
import mountmast.storage.Entry
import mountmast.storage.JournalRecord
import mountmast.storage.Keys
import mountmast.storage.Transaction
import mountmast.storage.Write

/** An attempt to get [batch] into the store, or to make sure that it never will be. */
internal sealed interface CommitAttempt {
    val batch: WriteBatch

    /** Nothing of [batch] was sent before. */
    class First(override val batch: WriteBatch) : CommitAttempt

    /** [batch] is in doubt: it got no answer, and is sent word for word until its outcome is known. */
    class Repeated(override val batch: WriteBatch) : CommitAttempt

    /**
     * [batch] is in doubt, but is rejected as too large by now. An earlier attempt may still be executed, so a tombstone record, which
     * is empty, is written into the first slot that the batch depends on.
     *
     * Test: `FallingLimitsTest`, "failures of every kind meet falling limits".
     */
    class Tombstone(override val batch: WriteBatch) : CommitAttempt {
        private val slotted = batch.journalRecords.first().let { SlottedRecord(it.slot, JournalRecord(it.number, "")) }
        private val value = WireJson.encodeToJsonElement(slotted.record)

        /** Whether [entry] holds the tombstone record. */
        fun isStoredAs(entry: Entry): Boolean = entry.value == value

        /** The transaction that writes the tombstone record; the caller holds the lock of [context]. */
        fun transaction(context: PersistenceContext) = Transaction(
            listOf(
                Compare(Keys.LEADER, context.leaderModRevision),
                Compare(slotted.key, context.journal.modRevisionOf(slotted.slot)),
            ),
            listOf(Write.Put(slotted.key, value)),
        )
    }
}
