package mountmast.coordination.jobs

import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.encodeToJsonElement
import mountmast.protocol.JobId
import mountmast.protocol.ModRevision
import mountmast.protocol.WallTime
import mountmast.protocol.WireJson
import mountmast.standin.ProcessFaults
import mountmast.standin.SimulatedCluster
import mountmast.standin.SimulatedStateStore
import mountmast.standin.VirtualTime
import mountmast.storage.JobRecord
import mountmast.storage.Keys
import mountmast.storage.Transaction
import mountmast.storage.Write
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import kotlin.random.Random

class JobRecordPrefetcherTest {
    private val time = VirtualTime()
    private val standIn = SimulatedStateStore(time, retainedChanges = 10)
    private val faults = ProcessFaults(time)
    private val store = standIn.Connection(Random(1), faults)
    private val prefetched = ArrayList<Pair<JobId, ModRevision>>()
    private val prefetcher = JobRecordPrefetcher(store) { record, modRevision -> prefetched += record.spec.id to modRevision }
    private val jobs = (1..30).map { SimulatedCluster(1).job(it) }

    private fun put(key: String, value: JsonElement) = store.commit(Transaction(emptyList(), listOf(Write.Put(key, value))))

    private fun accept(number: Int) = put(Keys.job(jobs[number].id), WireJson.encodeToJsonElement(JobRecord(jobs[number], WallTime(0))))

    @Test
    fun `each job accepted from now on is prefetched once, and nothing else`() {
        accept(0)
        assertEquals(PrefetchResult.WATCHED, prefetcher.prefetch(0))
        put(Keys.TYPES, JsonPrimitive(1))
        accept(1)
        store.commit(Transaction(emptyList(), listOf(Write.Delete(Keys.job(jobs[0].id)))))
        accept(2)
        repeat(3) { assertEquals(PrefetchResult.WATCHED, prefetcher.prefetch(0)) }
        assertEquals(listOf(jobs[1].id, jobs[2].id), prefetched.map { it.first })
        assertEquals(store.get(Keys.job(jobs[2].id))?.modRevision, prefetched.last().second)
    }

    @Test
    fun `an unreadable record is skipped, and neither an outage nor a compaction ends the prefetching`() {
        assertEquals(PrefetchResult.WATCHED, prefetcher.prefetch(0))
        put(Keys.job(jobs[3].id), JsonPrimitive("later"))
        accept(4)
        assertEquals(PrefetchResult.WATCHED, prefetcher.prefetch(0))
        assertEquals(listOf(jobs[4].id), prefetched.map { it.first })
        faults.storeRefusedUntil = time.now + 1000
        assertEquals(PrefetchResult.STORE_UNAVAILABLE, prefetcher.prefetch(0))
        time.advance(2000)
        // More changes than the state service keeps: it compacts the first of them, and the prefetcher goes on with later ones.
        (5..25).forEach(::accept)
        store.get(Keys.TERM)
        repeat(2) { prefetcher.prefetch(0) }
        accept(26)
        prefetcher.prefetch(0)
        assertEquals(jobs[26].id, prefetched.last().first)
    }

    @Test
    fun `a submission that waits for jobs which another node accepted is written without reading them first`() {
        val world = SimulatedCluster(1, isNetworkReliable = true)
        val first = (1..3).map { world.accept(world.plainJob(it)) }
        world.run(5000, busy = false)
        for (host in world.hosts) {
            val spec = world.plainJob(10 + host.number) { it.copy(prerequisites = first) }
            val before = world.store.requests
            world.users.submit(spec, host)
            assertEquals(1, world.store.requests - before, "${host.name}")
        }
    }
}
