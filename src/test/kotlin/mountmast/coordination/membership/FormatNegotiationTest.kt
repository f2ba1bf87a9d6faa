package mountmast.coordination.membership

import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.encodeToJsonElement
import mountmast.protocol.ModRevision
import mountmast.protocol.NodeId
import mountmast.protocol.WireJson
import mountmast.standin.StandInStore
import mountmast.standin.Trouble
import mountmast.standin.VirtualTime
import mountmast.standin.World
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

class FormatNegotiationTest {
    private val time = VirtualTime()
    private val standIn = StandInStore(time)
    private val trouble = Trouble(time)
    private val store = standIn.View(Random(1), trouble)
    private val other = NodeId("node-1")
    private val third = NodeId("node-2")
    private val members = listOf(other, third)

    private fun agreement(at: StateStore = store) = FormatNegotiation(at, members)

    private fun FormatNegotiation.hearAll() = members.forEach { heard(it, FORMAT_VERSION) }

    private fun FormatNegotiation.steps(count: Int) = repeat(count) { step() }

    private fun stored(): JsonElement? = store.get(Keys.FORMAT)?.value

    private fun put(value: JsonElement, modRevision: ModRevision = ModRevision.ABSENT) {
        val outcome = store.commit(Transaction(listOf(Compare(Keys.FORMAT, modRevision)), listOf(Write.Put(Keys.FORMAT, value))))
        assertTrue(outcome is TransactionResult.Committed)
    }

    private fun record(version: Int) = WireJson.encodeToJsonElement(FormatRecord(version))

    @Test
    fun `a deployment of one node is current at once, without asking`() {
        val alone = FormatNegotiation(store, emptyList())
        assertTrue(alone.isCurrent)
        alone.steps(20)
        assertEquals(0, standIn.requests)
    }

    @Test
    fun `no node is current before it has heard all others at the current version`() {
        val formats = agreement()
        formats.steps(5)
        formats.heard(other, FORMAT_VERSION)
        formats.steps(5)
        formats.heard(third, 0)
        formats.steps(5)
        formats.heard(third, FORMAT_VERSION - 1)
        formats.heard(NodeId("node-9"), FORMAT_VERSION)
        formats.steps(30)
        assertFalse(formats.isCurrent)
        assertEquals(null, stored())
    }

    @Test
    fun `a node that has heard all others writes it down, and a restarted one need not hear them`() {
        val formats = agreement()
        formats.hearAll()
        formats.steps(2)
        assertTrue(formats.isCurrent)
        assertEquals(record(FORMAT_VERSION), stored())
        val restarted = agreement()
        assertFalse(restarted.isCurrent)
        restarted.step()
        assertTrue(restarted.isCurrent)
    }

    @Test
    fun `a member heard at the current version stays so, though a late greeting of its old process arrives`() {
        val formats = agreement()
        formats.hearAll()
        formats.heard(other, 0)
        formats.steps(2)
        assertTrue(formats.isCurrent)
    }

    @Test
    fun `a node that hears nobody learns it from the store now and then`() {
        val formats = agreement()
        formats.steps(3)
        put(record(FORMAT_VERSION))
        formats.steps(11)
        assertTrue(formats.isCurrent)
    }

    @Test
    fun `each step asks at most once, few ask at all, and none once all are current`() {
        val formats = agreement()
        var before = 0
        repeat(100) {
            formats.step()
            assertTrue(standIn.requests - before <= 1)
            before = standIn.requests
        }
        assertTrue(standIn.requests <= 11, "${standIn.requests} requests in 100 steps")
        formats.hearAll()
        formats.step()
        assertTrue(formats.isCurrent)
        before = standIn.requests
        formats.steps(100)
        assertEquals(before, standIn.requests)
    }

    @Test
    fun `one of two nodes that write at once meets a conflict and reads`() {
        val one = agreement()
        val two = agreement()
        one.hearAll()
        two.hearAll()
        one.step()
        two.step()
        one.step()
        two.step()
        assertTrue(one.isCurrent)
        assertFalse(two.isCurrent)
        two.step()
        assertTrue(two.isCurrent)
        assertEquals(1, standIn.writes - 1, "the second write must not have been carried out")
    }

    @Test
    fun `a write whose answer is lost is read back, or made again where it was lost itself`() {
        for (seed in 1L..40L) {
            val lossy = Trouble(time).apply { lossRate = 0.6 }
            val here = StandInStore(time).View(Random(seed), lossy)
            val formats = agreement(here)
            formats.hearAll()
            repeat(200) {
                formats.step()
                time.advance(1000)
            }
            assertTrue(formats.isCurrent, "seed $seed")
            assertEquals(record(FORMAT_VERSION), here.get(Keys.FORMAT)?.value, "seed $seed")
        }
    }

    @Test
    fun `late writes neither fail an agreement nor lower a later version`() {
        for (seed in 1L..40L) {
            val late = Trouble(time).apply { lateWritesUntil = time.now + 60_000 }
            val here = StandInStore(time).View(Random(seed), late)
            val formats = agreement(here)
            formats.hearAll()
            formats.steps(2)
            val entry = here.get(Keys.FORMAT)
            while (true) {
                val compare = Compare(Keys.FORMAT, entry?.modRevision ?: ModRevision.ABSENT)
                val write = Write.Put(Keys.FORMAT, record(FORMAT_VERSION + 1))
                if (runCatching { here.commit(Transaction(listOf(compare), listOf(write))) }.isSuccess) break
            }
            repeat(60) {
                time.advance(1000)
                formats.step()
            }
            assertTrue(formats.isCurrent, "seed $seed")
            assertEquals(record(FORMAT_VERSION + 1), here.get(Keys.FORMAT)?.value, "seed $seed")
        }
    }

    @Test
    fun `what a later version agreed on is current, and an older agreement is raised`() {
        put(record(FORMAT_VERSION - 1))
        val formats = agreement()
        formats.steps(20)
        assertFalse(formats.isCurrent)
        formats.hearAll()
        formats.step()
        assertTrue(formats.isCurrent)
        assertEquals(record(FORMAT_VERSION), stored())
        put(record(FORMAT_VERSION + 1), checkNotNull(store.get(Keys.FORMAT)).modRevision)
        assertTrue(agreement().apply { step() }.isCurrent)
    }

    @Test
    fun `an unreadable record is left alone, and nobody is current`() {
        put(JsonPrimitive("later"))
        val formats = agreement()
        formats.hearAll()
        formats.steps(20)
        assertFalse(formats.isCurrent)
        assertEquals(JsonPrimitive("later"), stored())
    }

    @Test
    fun `a state service that does not answer is not asked`() {
        val formats = agreement()
        standIn.outage(20_000)
        formats.step()
        val before = standIn.requests
        formats.steps(10)
        assertEquals(before, standIn.requests)
    }

    @Test
    fun `three nodes agree within seconds, and again after all were restarted`() {
        val world = World(1, quietNetwork = true)
        world.run(12_000, busy = false)
        assertTrue(world.seats.all { it.controller?.formats?.isCurrent == true })
        world.seats.forEach { it.crash(100) }
        world.run(4000, busy = false)
        assertTrue(world.seats.all { it.controller?.formats?.isCurrent == true })
    }
}
