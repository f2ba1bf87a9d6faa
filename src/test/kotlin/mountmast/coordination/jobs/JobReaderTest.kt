package mountmast.coordination.jobs

import kotlinx.serialization.json.encodeToJsonElement
import mountmast.protocol.JobId
import mountmast.protocol.ModRevision
import mountmast.protocol.WallTime
import mountmast.protocol.WireJson
import mountmast.standin.ProcessFaults
import mountmast.standin.SimulatedCluster
import mountmast.standin.SimulatedStateStore
import mountmast.standin.VirtualTime
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
    private val backingStore = SimulatedStateStore(time).Connection(Random(1), ProcessFaults(time))
    private val requests = AtomicInteger()

    /** While [requiresPermits] is set, each request to the state service takes one of these permits. */
    private val permits = Semaphore(0)

    @Volatile
    private var requiresPermits = false

    private val store = object : StateStore by backingStore {
        override fun get(key: String): Entry? = counted { backingStore.get(key) }
        override fun commit(transaction: Transaction): TransactionResult = counted { backingStore.commit(transaction) }

        private fun <T> counted(request: () -> T): T {
            requests.incrementAndGet()
            if (requiresPermits) assertTrue(permits.tryAcquire(TEST_TIMEOUT_S, TimeUnit.SECONDS), "no permit within $TEST_TIMEOUT_S s")
            return synchronized(backingStore) { request() }
        }
    }

    /** Its reads never time out, because the result would then depend on the machine's speed. */
    private val reader = readerOn(store, maxWaitMs = TEST_TIMEOUT_S * 1000)
    private val jobs = (1..20).map { SimulatedCluster(1).job(it) }

    private fun readerOn(store: StateStore, maxWaitMs: Long) =
        JobReader(JobStateLoader(store, UnconfirmedRecordCache(), MAX_COMPARES), MAX_COMPARES, maxWaitMs)

    private fun put(number: Int, cancelled: Boolean, modRevision: ModRevision) = backingStore.commit(
        Transaction(
            listOf(Compare(Keys.job(jobs[number].id), modRevision)),
            listOf(Write.Put(Keys.job(jobs[number].id), WireJson.encodeToJsonElement(JobRecord(jobs[number], WallTime(0), cancelled)))),
        ),
    )

    /** Waits until [condition] returns true, and fails if it has not within [TEST_TIMEOUT_S] seconds. */
    private fun waitUntil(condition: () -> Boolean) {
        val until = System.nanoTime() + TimeUnit.SECONDS.toNanos(TEST_TIMEOUT_S)
        while (!condition()) {
            assertTrue(System.nanoTime() < until, "condition not met within $TEST_TIMEOUT_S s")
            Thread.sleep(1)
        }
    }

    private fun isCancelled(id: JobId) = (reader.read(id) as JobState.Live).record.cancelled

    @Test
    fun `concurrent reads are batched into few requests, and each returns the state after it began`() {
        jobs.indices.forEach { put(it, false, ModRevision.ABSENT) }
        jobs.forEach { reader.read(it.id) }
        requests.set(0)
        requiresPermits = true
        val threads = ConcurrentHashMap.newKeySet<Thread>()
        val pool = Executors.newFixedThreadPool(jobs.size) { task -> Thread(task).also { threads += it } }
        val first = pool.submit<Boolean> { isCancelled(jobs[0].id) }
        waitUntil { requests.get() > 0 }
        val rest = jobs.drop(1).map { job -> pool.submit<Boolean> { isCancelled(job.id) } }
        // The first read waits for the state service, all others wait for their batch.
        waitUntil { threads.count { it.state == Thread.State.TIMED_WAITING } == jobs.size }
        // The first request has not been answered: a change made now must be in the result of every read but perhaps the first.
        synchronized(backingStore) { put(5, true, checkNotNull(backingStore.get(Keys.job(jobs[5].id))).modRevision) }
        requiresPermits = false
        permits.release(100)
        assertEquals(listOf(5), rest.indices.filter { rest[it].get(TEST_TIMEOUT_S, TimeUnit.SECONDS) }.map { it + 1 })
        assertEquals(false, first.get(TEST_TIMEOUT_S, TimeUnit.SECONDS))
        assertTrue(requests.get() <= 6, "${requests.get()} requests for ${jobs.size} reads")
        pool.shutdown()
    }

    @Test
    fun `a job never accepted is unknown, and a failed read throws and does not affect later reads`() {
        assertEquals(JobState.Unknown, reader.read(jobs[0].id))
        put(0, false, ModRevision.ABSENT)
        val faults = ProcessFaults(time).apply { storeRefusedUntil = 100 }
        val failing = readerOn(SimulatedStateStore(time).Connection(Random(1), faults), maxWaitMs = 1800)
        repeat(3) { assertThrows(StoreException::class.java) { failing.read(jobs[0].id) } }
        time.advance(200)
        assertEquals(JobState.Unknown, failing.read(jobs[0].id))
        assertEquals(false, isCancelled(jobs[0].id))
    }

    @Test
    fun `a read that waits too long for its batch throws, and does not affect other reads`() {
        put(0, false, ModRevision.ABSENT)
        val shortWaitReader = readerOn(store, maxWaitMs = 1000)
        requiresPermits = true
        val pool = Executors.newSingleThreadExecutor()
        val first = pool.submit<Boolean> { (shortWaitReader.read(jobs[0].id) as JobState.Live).record.cancelled }
        waitUntil { requests.get() > 0 }
        assertThrows(StoreTimeoutException::class.java) { shortWaitReader.read(jobs[1].id) }
        requiresPermits = false
        permits.release(100)
        assertEquals(false, first.get(TEST_TIMEOUT_S, TimeUnit.SECONDS))
        assertEquals(JobState.Unknown, shortWaitReader.read(jobs[1].id))
        pool.shutdown()
    }

    private companion object {
        const val MAX_COMPARES = 8

        /** Much longer than a passing test takes on a slow machine. */
        const val TEST_TIMEOUT_S = 120L
    }
}
