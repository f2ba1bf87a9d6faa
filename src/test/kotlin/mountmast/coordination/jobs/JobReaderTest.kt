package mountmast.coordination.jobs

import kotlinx.serialization.json.encodeToJsonElement
import mountmast.protocol.JobId
import mountmast.protocol.ModRevision
import mountmast.protocol.WallTime
import mountmast.protocol.WireJson
import mountmast.standin.ProcessFaults
import mountmast.standin.StandInStore
import mountmast.standin.VirtualTime
import mountmast.standin.World
import mountmast.storage.Compare
import mountmast.storage.Entry
import mountmast.storage.JobRecord
import mountmast.storage.Keys
import mountmast.storage.StateStore
import mountmast.storage.StoreException
import mountmast.storage.StoreTimeoutException
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
    private val inner = StandInStore(time).View(Random(1), ProcessFaults(time))
    private val requests = AtomicInteger()

    /** A request to the state service takes a permit while [isGated]. */
    private val gate = Semaphore(0)

    @Volatile
    private var isGated = false

    private val store = object : StateStore by inner {
        override fun get(key: String): Entry? = counted { inner.get(key) }
        override fun commit(transaction: Transaction): TransactionResult = counted { inner.commit(transaction) }

        private fun <T> counted(request: () -> T): T {
            requests.incrementAndGet()
            if (isGated) assertTrue(gate.tryAcquire(PATIENCE_S, TimeUnit.SECONDS), "the gate stays closed")
            return synchronized(inner) { request() }
        }
    }

    /** No read times out by itself: the test would depend on the machine's speed. */
    private val reader = readerOn(store, maxWaitMs = PATIENCE_S * 1000)
    private val jobs = (1..20).map { World(1).job(it) }

    private fun readerOn(store: StateStore, maxWaitMs: Long) =
        JobReader(JobStateLoader(store, UnconfirmedRecordCache(), MAX_COMPARES), MAX_COMPARES, maxWaitMs)

    private fun put(number: Int, cancelled: Boolean, modRevision: ModRevision) = inner.commit(
        Transaction(
            listOf(Compare(Keys.job(jobs[number].id), modRevision)),
            listOf(Write.Put(Keys.job(jobs[number].id), WireJson.encodeToJsonElement(JobRecord(jobs[number], WallTime(0), cancelled)))),
        ),
    )

    /** Fails, rather than hangs, if [reached] does not become true however slow the machine is. */
    private fun waitUntil(reached: () -> Boolean) {
        val until = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_S)
        while (!reached()) {
            assertTrue(System.nanoTime() < until, "not within $PATIENCE_S s")
            Thread.sleep(1)
        }
    }

    private fun isCancelled(id: JobId) = (reader.read(id) as JobState.Live).record.cancelled

    @Test
    fun `concurrent reads are batched into few requests, and each returns the state after it began`() {
        jobs.indices.forEach { put(it, false, ModRevision.ABSENT) }
        jobs.forEach { reader.read(it.id) }
        requests.set(0)
        isGated = true
        val threads = ConcurrentHashMap.newKeySet<Thread>()
        val pool = Executors.newFixedThreadPool(jobs.size) { task -> Thread(task).also { threads += it } }
        val first = pool.submit<Boolean> { isCancelled(jobs[0].id) }
        waitUntil { requests.get() > 0 }
        val rest = jobs.drop(1).map { job -> pool.submit<Boolean> { isCancelled(job.id) } }
        // The first waits for the state service, all others for their batch.
        waitUntil { threads.count { it.state == Thread.State.TIMED_WAITING } == jobs.size }
        // The first request is still under way: what changes now must be in the result of every read but perhaps the first.
        synchronized(inner) { put(5, true, checkNotNull(inner.get(Keys.job(jobs[5].id))).modRevision) }
        isGated = false
        gate.release(100)
        assertEquals(listOf(5), rest.indices.filter { rest[it].get(PATIENCE_S, TimeUnit.SECONDS) }.map { it + 1 })
        assertEquals(false, first.get(PATIENCE_S, TimeUnit.SECONDS))
        assertTrue(requests.get() <= 6, "${requests.get()} requests for ${jobs.size} reads")
        pool.shutdown()
    }

    @Test
    fun `a job never accepted is unknown, and a failed read throws and does not affect later reads`() {
        assertEquals(JobState.Unknown, reader.read(jobs[0].id))
        put(0, false, ModRevision.ABSENT)
        val faults = ProcessFaults(time).apply { storeRefusedUntil = 100 }
        val failing = readerOn(StandInStore(time).View(Random(1), faults), maxWaitMs = 1800)
        repeat(3) { assertThrows(StoreException::class.java) { failing.read(jobs[0].id) } }
        time.advance(200)
        assertEquals(JobState.Unknown, failing.read(jobs[0].id))
        assertEquals(false, isCancelled(jobs[0].id))
    }

    @Test
    fun `a read that waits too long for its batch throws, and does not affect other reads`() {
        put(0, false, ModRevision.ABSENT)
        val impatient = readerOn(store, maxWaitMs = 1000)
        isGated = true
        val pool = Executors.newSingleThreadExecutor()
        val first = pool.submit<Boolean> { (impatient.read(jobs[0].id) as JobState.Live).record.cancelled }
        waitUntil { requests.get() > 0 }
        assertThrows(StoreTimeoutException::class.java) { impatient.read(jobs[1].id) }
        isGated = false
        gate.release(100)
        assertEquals(false, first.get(PATIENCE_S, TimeUnit.SECONDS))
        assertEquals(JobState.Unknown, impatient.read(jobs[1].id))
        pool.shutdown()
    }

    private companion object {
        const val MAX_COMPARES = 8

        /** Far beyond what any machine takes. */
        const val PATIENCE_S = 120L
    }
}
