package mountmast.coordination.membership

import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.encodeToJsonElement
import mountmast.protocol.ModRevision
import mountmast.protocol.NodeId
import mountmast.protocol.WireJson
import mountmast.standin.ProcessFaults
import mountmast.standin.SimulatedCluster
import mountmast.standin.SimulatedStateStore
import mountmast.standin.VirtualTime
import mountmast.storage.Compare
import mountmast.storage.FORMAT_VERSION
import mountmast.storage.FormatRecord
import mountmast.storage.Keys
import mountmast.storage.StateStore
import mountmast.storage.Transaction
import mountmast.storage.TransactionResult
import mountmast.storage.Write
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

/** Tests the format negotiation of one node with a simulated store in virtual time; the last test runs three nodes. */
class FormatNegotiationTest {
    private val time = VirtualTime()
    private val standIn = SimulatedStateStore(time)
    private val faults = ProcessFaults(time)
    private val store = standIn.Connection(Random(1), faults)
    private val other = NodeId("node-1")
    private val third = NodeId("node-2")
    private val members = listOf(other, third)

    private fun negotiation(stateStore: StateStore = store) = FormatNegotiation(stateStore, members)

    private fun FormatNegotiation.recordAllMembersAsCurrent() = members.forEach { recordVersion(it, FORMAT_VERSION) }

    private fun FormatNegotiation.stepTimes(count: Int) = repeat(count) { readOrWriteVersion() }

    private fun storedRecord(): JsonElement? = store.get(Keys.FORMAT)?.value

    private fun storeRecord(value: JsonElement, modRevision: ModRevision = ModRevision.ABSENT) {
        val result = store.commit(Transaction(listOf(Compare(Keys.FORMAT, modRevision)), listOf(Write.Put(Keys.FORMAT, value))))
        assertTrue(result is TransactionResult.Committed)
    }

    private fun record(version: Int) = WireJson.encodeToJsonElement(FormatRecord(version))

    @Test
    fun `a deployment of one node is current at once, without a request to the store`() {
        val negotiation = FormatNegotiation(store, emptyList())
        assertTrue(negotiation.isCurrent)
        negotiation.stepTimes(20)
        assertEquals(0, standIn.requests)
    }

    @Test
    fun `no node is current before it has recorded the current version of all others`() {
        val negotiation = negotiation()
        negotiation.stepTimes(5)
        negotiation.recordVersion(other, FORMAT_VERSION)
        negotiation.stepTimes(5)
        negotiation.recordVersion(third, 0)
        negotiation.stepTimes(5)
        negotiation.recordVersion(third, FORMAT_VERSION - 1)
        negotiation.recordVersion(NodeId("node-9"), FORMAT_VERSION)
        negotiation.stepTimes(30)
        assertFalse(negotiation.isCurrent)
        assertEquals(null, storedRecord())
    }

    @Test
    fun `a node that knows all others to be current stores that, and a restarted one reads it`() {
        val negotiation = negotiation()
        negotiation.recordAllMembersAsCurrent()
        negotiation.stepTimes(2)
        assertTrue(negotiation.isCurrent)
        assertEquals(record(FORMAT_VERSION), storedRecord())
        val restarted = negotiation()
        assertFalse(restarted.isCurrent)
        restarted.readOrWriteVersion()
        assertTrue(restarted.isCurrent)
    }

    @Test
    fun `a member recorded as current stays so, though a late heartbeat of its old process arrives`() {
        val negotiation = negotiation()
        negotiation.recordAllMembersAsCurrent()
        negotiation.recordVersion(other, 0)
        negotiation.stepTimes(2)
        assertTrue(negotiation.isCurrent)
    }

    @Test
    fun `a node without heartbeats reads the result from the store now and then`() {
        val negotiation = negotiation()
        negotiation.stepTimes(3)
        storeRecord(record(FORMAT_VERSION))
        negotiation.stepTimes(11)
        assertTrue(negotiation.isCurrent)
    }

    @Test
    fun `each step makes at most one request, few make any, and none once all are current`() {
        val negotiation = negotiation()
        var before = 0
        repeat(100) {
            negotiation.readOrWriteVersion()
            assertTrue(standIn.requests - before <= 1)
            before = standIn.requests
        }
        assertTrue(standIn.requests <= 11, "${standIn.requests} requests in 100 steps")
        negotiation.recordAllMembersAsCurrent()
        negotiation.readOrWriteVersion()
        assertTrue(negotiation.isCurrent)
        before = standIn.requests
        negotiation.stepTimes(100)
        assertEquals(before, standIn.requests)
    }

    @Test
    fun `of two nodes that write at once one fails its compare and reads`() {
        val first = negotiation()
        val second = negotiation()
        first.recordAllMembersAsCurrent()
        second.recordAllMembersAsCurrent()
        first.readOrWriteVersion()
        second.readOrWriteVersion()
        first.readOrWriteVersion()
        second.readOrWriteVersion()
        assertTrue(first.isCurrent)
        assertFalse(second.isCurrent)
        second.readOrWriteVersion()
        assertTrue(second.isCurrent)
        assertEquals(1, standIn.writes - 1, "each node must have requested one write")
    }

    @Test
    fun `a write whose answer is lost is read back, or repeated if it was lost itself`() {
        for (seed in 1L..40L) {
            val lossFaults = ProcessFaults(time).apply { lossRate = 0.6 }
            val faultyStore = SimulatedStateStore(time).Connection(Random(seed), lossFaults)
            val negotiation = negotiation(faultyStore)
            negotiation.recordAllMembersAsCurrent()
            repeat(200) {
                negotiation.readOrWriteVersion()
                time.advance(1000)
            }
            assertTrue(negotiation.isCurrent, "seed $seed")
            assertEquals(record(FORMAT_VERSION), faultyStore.get(Keys.FORMAT)?.value, "seed $seed")
        }
    }

    @Test
    fun `late writes neither fail a negotiation nor lower a later version`() {
        for (seed in 1L..40L) {
            val lateWriteFaults = ProcessFaults(time).apply { lateWritesUntil = time.now + 60_000 }
            val faultyStore = SimulatedStateStore(time).Connection(Random(seed), lateWriteFaults)
            val negotiation = negotiation(faultyStore)
            negotiation.recordAllMembersAsCurrent()
            negotiation.stepTimes(2)
            val entry = faultyStore.get(Keys.FORMAT)
            while (true) {
                val compare = Compare(Keys.FORMAT, entry?.modRevision ?: ModRevision.ABSENT)
                val write = Write.Put(Keys.FORMAT, record(FORMAT_VERSION + 1))
                if (runCatching { faultyStore.commit(Transaction(listOf(compare), listOf(write))) }.isSuccess) break
            }
            repeat(60) {
                time.advance(1000)
                negotiation.readOrWriteVersion()
            }
            assertTrue(negotiation.isCurrent, "seed $seed")
            assertEquals(record(FORMAT_VERSION + 1), faultyStore.get(Keys.FORMAT)?.value, "seed $seed")
        }
    }

    @Test
    fun `a stored later version is current, and a stored older version is raised`() {
        storeRecord(record(FORMAT_VERSION - 1))
        val negotiation = negotiation()
        negotiation.stepTimes(20)
        assertFalse(negotiation.isCurrent)
        negotiation.recordAllMembersAsCurrent()
        negotiation.readOrWriteVersion()
        assertTrue(negotiation.isCurrent)
        assertEquals(record(FORMAT_VERSION), storedRecord())
        storeRecord(record(FORMAT_VERSION + 1), checkNotNull(store.get(Keys.FORMAT)).modRevision)
        assertTrue(negotiation().apply { readOrWriteVersion() }.isCurrent)
    }

    @Test
    fun `an unreadable record is left alone, and nobody is current`() {
        storeRecord(JsonPrimitive("later"))
        val negotiation = negotiation()
        negotiation.recordAllMembersAsCurrent()
        negotiation.stepTimes(20)
        assertFalse(negotiation.isCurrent)
        assertEquals(JsonPrimitive("later"), storedRecord())
    }

    @Test
    fun `a store that does not answer gets no requests`() {
        val negotiation = negotiation()
        standIn.startOutage(20_000)
        negotiation.readOrWriteVersion()
        val before = standIn.requests
        negotiation.stepTimes(10)
        assertEquals(before, standIn.requests)
    }

    @Test
    fun `three nodes become current within seconds, and again after all were restarted`() {
        val world = SimulatedCluster(1, isNetworkReliable = true)
        world.run(12_000, busy = false)
        assertTrue(world.hosts.all { it.controller?.formats?.isCurrent == true })
        world.hosts.forEach { it.crash(100) }
        world.run(4000, busy = false)
        assertTrue(world.hosts.all { it.controller?.formats?.isCurrent == true })
    }
}
