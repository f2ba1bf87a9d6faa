package mountmast.coordination.persistence

import kotlinx.serialization.json.encodeToJsonElement
import mountmast.protocol.WireJson
import mountmast.storage.Compare
import mountmast.storage.Entry
import mountmast.storage.JournalRecord
import mountmast.storage.Keys
import mountmast.storage.Transaction
import mountmast.storage.Write

/** One attempt to commit [batch], or to make sure that no earlier attempt can commit it any more. */
internal sealed interface CommitAttempt {
    val batch: WriteBatch

    /** [batch] is sent for the first time. */
    class First(override val batch: WriteBatch) : CommitAttempt

    /** [batch] is in doubt, since an earlier attempt got no answer. The same transaction is sent until its outcome is known. */
    class Repeated(override val batch: WriteBatch) : CommitAttempt

    /**
     * [batch] is in doubt, and the store now rejects it as too large. An earlier attempt may have been executed, or may still be
     * executed. So a tombstone, a journal record without entries, is written to the slot of the batch's first record under that record's
     * number. Once the tombstone is committed, the compare of that slot fails for every earlier attempt.
     *
     * Test: `FallingLimitsTest`, "failures of every kind meet falling limits".
     */
    class Tombstone(override val batch: WriteBatch) : CommitAttempt {
        private val tombstoneInSlot = batch.journalRecords.first().let { SlottedRecord(it.slot, JournalRecord(it.number, "")) }
        private val tombstoneValue = WireJson.encodeToJsonElement(tombstoneInSlot.record)

        /** Whether [entry] holds the tombstone. */
        fun isStoredIn(entry: Entry): Boolean = entry.value == tombstoneValue

        /** Creates the transaction that writes the tombstone; the caller holds the lock of [context]. */
        fun createTransaction(context: PersistenceContext) = Transaction(
            listOf(
                Compare(Keys.LEADER, context.leaderModRevision),
                Compare(tombstoneInSlot.key, context.journal.modRevisionOf(tombstoneInSlot.slot)),
            ),
            listOf(Write.Put(tombstoneInSlot.key, tombstoneValue)),
        )
    }
}
