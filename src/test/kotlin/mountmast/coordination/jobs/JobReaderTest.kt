package mountmast.coordination.jobs

import kotlinx.serialization.json.encodeToJsonElement
import mountmast.protocol.JobId
import mountmast.protocol.ModRevision
import mountmast.protocol.WallTime
import mountmast.protocol.WireJson
import mountmast.standin.StandInStore
import mountmast.standin.Trouble
import mountmast.standin.VirtualTime
import mountmast.standin.World
import mountmast.storage.Compare
import mountmast.storage.Entry
import mountmast.storage.JobRecord
import mountmast.storage.Keys
import mountmast.storage.StateStore
import mountmast.storage.StoreException
import mountmast.storage.Transaction
import mountmast.storage.TransactionResult
import mountmast.storage.Write
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executors
import java.util.concurrent.Semaphore
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random

class JobReaderTest {
    private val time = VirtualTime()
    private val inner = StandInStore(time).View(Random(1), Trouble(time))
    private val asked = AtomicInteger()

    /** Lets one request after the other through, and only when told to. */
    private val gate = Semaphore(0)

    @Volatile
    private var gated = false

    private val store = object : StateStore by inner {
        override fun get(key: String): Entry? = counted { inner.get(key) }
        override fun commit(transaction: Transaction): TransactionResult = counted { inner.commit(transaction) }

        private fun <T> counted(act: () -> T): T {
            asked.incrementAndGet()
            if (gated) assertTrue(gate.tryAcquire(PATIENCE_S, TimeUnit.SECONDS), "the gate stays closed")
            return synchronized(inner) { act() }
        }
    }

    /** No question gives up by itself: the test would depend on the machine's speed. */
    private val reader = JobReader(store, 8, maxWaitMs = PATIENCE_S * 1000)
    private val jobs = (1..20).map { World(1).job(it) }

    private fun put(number: Int, cancelled: Boolean, modRevision: ModRevision) = inner.commit(
        Transaction(
            listOf(Compare(Keys.job(jobs[number].id), modRevision)),
            listOf(Write.Put(Keys.job(jobs[number].id), WireJson.encodeToJsonElement(JobRecord(jobs[number], WallTime(0), cancelled)))),
        ),
    )

    /** Fails, rather than hangs, where that does not come about however slow the machine is. */
    private fun waitUntil(reached: () -> Boolean) {
        val until = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_S)
        while (!reached()) {
            assertTrue(System.nanoTime() < until, "not within $PATIENCE_S s")
            Thread.sleep(1)
        }
    }

    private fun cancelled(id: JobId) = (reader.read(id) as JobState.Live).record.cancelled

    @Test
    fun `questions that wait together are answered with few requests, and as the store has it after they came`() {
        jobs.indices.forEach { put(it, false, ModRevision.ABSENT) }
        jobs.forEach { reader.read(it.id) }
        asked.set(0)
        gated = true
        val threads = ConcurrentHashMap.newKeySet<Thread>()
        val pool = Executors.newFixedThreadPool(jobs.size) { task -> Thread(task).also { threads += it } }
        val first = pool.submit<Boolean> { cancelled(jobs[0].id) }
        waitUntil { asked.get() > 0 }
        val rest = jobs.drop(1).map { job -> pool.submit<Boolean> { cancelled(job.id) } }
        // The first waits for the store, all others for their answers.
        waitUntil { threads.count { it.state == Thread.State.TIMED_WAITING } == jobs.size }
        // The first request is still under way: what changes now must be in every answer but perhaps the first.
        synchronized(inner) { put(5, true, checkNotNull(inner.get(Keys.job(jobs[5].id))).modRevision) }
        gated = false
        gate.release(100)
        assertEquals(listOf(5), rest.indices.filter { rest[it].get(PATIENCE_S, TimeUnit.SECONDS) }.map { it + 1 })
        assertEquals(false, first.get(PATIENCE_S, TimeUnit.SECONDS))
        assertTrue(asked.get() <= 6, "${asked.get()} requests for ${jobs.size} questions")
        pool.shutdown()
    }

    @Test
    fun `an unknown job is unknown, and a failure is told to whoever asked and passes`() {
        assertEquals(JobState.Unknown, reader.read(jobs[0].id))
        put(0, false, ModRevision.ABSENT)
        val trouble = Trouble(time).apply { storeRefusedUntil = 100 }
        val failing = JobReader(StandInStore(time).View(Random(1), trouble), 8)
        repeat(3) { assertThrows(StoreException::class.java) { failing.read(jobs[0].id) } }
        time.advance(200)
        assertEquals(JobState.Unknown, failing.read(jobs[0].id))
        assertEquals(false, cancelled(jobs[0].id))
    }

    private companion object {
        /** Far beyond what any machine takes. */
        const val PATIENCE_S = 120L
    }
}
