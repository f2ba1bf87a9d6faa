package mountmast.coordination.persistence

import kotlinx.serialization.json.encodeToJsonElement
import mountmast.protocol.ModRevision
import mountmast.protocol.WireJson
import mountmast.standin.ProcessFaults
import mountmast.standin.SimulatedStateStore
import mountmast.standin.VirtualTime
import mountmast.storage.JournalRecord
import mountmast.storage.Transaction
import mountmast.storage.TransactionResult
import mountmast.storage.Write
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertInstanceOf
import org.junit.jupiter.api.Test
import kotlin.random.Random

/** The outcome of earlier attempts at a batch, as the journal slot of the batch's first record shows it. */
class InDoubtResolverTest {
    private val time = VirtualTime()
    private val standIn = SimulatedStateStore(time)
    private val store = standIn.Connection(Random(1), ProcessFaults(time))
    private val resolver = InDoubtResolver(store)
    private val slotted = SlottedRecord(3, JournalRecord(131, "-j-000001/0;"))
    private val batch = WriteBatch(ModRevision(1u), maxOps = 16).apply { addJournalRecord(slotted, ModRevision.ABSENT, emptyList()) }

    /** Stores [record] in the slot of the batch's first record and returns the modification revision of the slot's key. */
    private fun storeInSlot(record: JournalRecord): ModRevision {
        val put = Write.Put(slotted.key, WireJson.encodeToJsonElement(record))
        val result = store.commit(Transaction(emptyList(), listOf(put)))
        return ModRevision(assertInstanceOf(TransactionResult.Committed::class.java, result).revision.number)
    }

    @Test
    fun `a batch is not committed if its slot is empty or holds an older record`() {
        assertEquals(EarlierOutcome.NotCommitted, resolver.findOutcome(CommitAttempt.Repeated(batch)))
        storeInSlot(JournalRecord(3, "-j-000001/0;"))
        assertEquals(EarlierOutcome.NotCommitted, resolver.findOutcome(CommitAttempt.Repeated(batch)))
        assertEquals(EarlierOutcome.NotCommitted, resolver.findOutcome(CommitAttempt.Tombstone(batch)))
    }

    @Test
    fun `a batch is committed if its slot holds its record, whether or not a tombstone was sent since`() {
        val revision = storeInSlot(slotted.record)
        for (attempt in listOf(CommitAttempt.Repeated(batch), CommitAttempt.Tombstone(batch))) {
            val outcome = assertInstanceOf(EarlierOutcome.BatchCommitted::class.java, resolver.findOutcome(attempt))
            assertEquals(revision, outcome.modRevision)
        }
    }

    @Test
    fun `a tombstone record in the slot means that the batch is not committed`() {
        val revision = storeInSlot(JournalRecord(131, ""))
        val outcome =
            assertInstanceOf(EarlierOutcome.TombstoneCommitted::class.java, resolver.findOutcome(CommitAttempt.Tombstone(batch)))
        assertEquals(revision, outcome.modRevision)
    }

    @Test
    fun `nothing is read for a first attempt, or for a batch without journal records`() {
        val requests = standIn.requests
        assertEquals(EarlierOutcome.NotCommitted, resolver.findOutcome(CommitAttempt.First(batch)))
        assertEquals(
            EarlierOutcome.NotCommitted,
            resolver.findOutcome(CommitAttempt.Repeated(WriteBatch(ModRevision(1u), maxOps = 16))),
        )
        assertEquals(requests, standIn.requests)
    }
}
