package mountmast.coordination.jobs

import kotlinx.serialization.json.encodeToJsonElement
import mountmast.protocol.JobId
import mountmast.protocol.JobSpec
import mountmast.protocol.JobStatus
import mountmast.protocol.ModRevision
import mountmast.protocol.Shape
import mountmast.protocol.WallTime
import mountmast.protocol.WireJson
import mountmast.standin.ProcessFaults
import mountmast.standin.SimulatedCluster
import mountmast.standin.SimulatedStateStore
import mountmast.standin.VirtualTime
import mountmast.storage.Compare
import mountmast.storage.Entry
import mountmast.storage.EntryPage
import mountmast.storage.FinishedJobRecord
import mountmast.storage.JobRecord
import mountmast.storage.Keys
import mountmast.storage.StateStore
import mountmast.storage.Transaction
import mountmast.storage.Write
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

/** A prerequisite that was accepted is never taken for unknown, whatever the caches drop while the others are read. */
class PrerequisiteValidatorTest {
    private val time = VirtualTime()
    private val backingStore = SimulatedStateStore(time).Connection(Random(1), ProcessFaults(time))

    /** Called once, before the first read of the state service. */
    private var beforeFirstRead: (() -> Unit)? = null

    private val store = object : StateStore by backingStore {
        override fun get(key: String): Entry? = afterHook { backingStore.get(key) }

        override fun list(prefix: String, after: String?, limit: Int): EntryPage = afterHook { backingStore.list(prefix, after, limit) }

        private fun <T> afterHook(read: () -> T): T {
            val hook = beforeFirstRead
            beforeFirstRead = null
            hook?.invoke()
            return read()
        }
    }

    private val recordCache = UnconfirmedRecordCache()
    private val loader = JobStateLoader(store, recordCache, MAX_COMPARES)
    private val validator = PrerequisiteValidator(store, JobReader(loader, MAX_COMPARES), recordCache, FinalStateCache(), MAX_COMPARES)
    private val cluster = SimulatedCluster(1)

    private fun spec(number: Int) = cluster.plainJob(number)

    private fun putLive(spec: JobSpec) {
        val key = Keys.job(spec.id)
        val value = WireJson.encodeToJsonElement(JobRecord(spec, WallTime(0)))
        backingStore.commit(Transaction(listOf(Compare(key, ModRevision.ABSENT)), listOf(Write.Put(key, value))))
    }

    /** Moves the record of the live job [id], as the leader does when the job is done. */
    private fun finish(id: JobId) {
        val value = WireJson.encodeToJsonElement(FinishedJobRecord(JobStatus.DONE, 4))
        backingStore.commit(Transaction(emptyList(), listOf(Write.Delete(Keys.job(id)), Write.Put(Keys.finished(id), value))))
    }

    private fun assertValid(ids: List<JobId>) = when (val check = validator.check(ids)) {
        PrerequisiteCheck.Valid -> {}
        is PrerequisiteCheck.NeverAccepted -> throw AssertionError("${check.id} is taken for never accepted")
        is PrerequisiteCheck.IsService -> throw AssertionError("${check.id} is taken for a service")
    }

    /** Guards against 422 for a valid submission: a full cache drops the record of a prerequisite while another one is read. */
    @Test
    fun `a prerequisite whose record leaves the full cache during the check was accepted`() {
        val cached = spec(1)
        val notCached = spec(2)
        listOf(cached, notCached).forEach(::putLive)
        recordCache.put(JobRecord(cached, WallTime(0)), ModRevision(1u))
        beforeFirstRead = { repeat(20_000) { recordCache.put(JobRecord(spec(100 + it), WallTime(0)), ModRevision(1u)) } }
        assertValid(listOf(cached.id, notCached.id))
        assertTrue(cached.id !in recordCache, "the record was not dropped")
    }

    /** Guards against 422 for a valid submission: a user's poll finds a prerequisite finished while the others are listed. */
    @Test
    fun `a prerequisite that is done and polled during the check was accepted`() {
        val cached = spec(1)
        val others = (2..40).map { spec(it) }
        (others + cached).forEach(::putLive)
        recordCache.put(JobRecord(cached, WallTime(0)), ModRevision(1u))
        beforeFirstRead = {
            finish(cached.id)
            // The poll caches the final state only after this, once the state service has answered a second time.
            loader.load(cached.id)
        }
        assertValid(others.map { it.id } + cached.id)
    }

    @Test
    fun `a service and a job that was never accepted are told apart from others, however they are read`() {
        val service = spec(1).copy(shape = Shape.SERVICE)
        val finished = spec(2)
        val others = (3..40).map { spec(it) }
        (others + service + finished).forEach(::putLive)
        finish(finished.id)
        for (count in listOf(1, others.size)) {
            val valid = others.take(count).map { it.id } + finished.id
            assertValid(valid)
            assertEquals(service.id, (validator.check(valid + service.id) as PrerequisiteCheck.IsService).id)
            assertEquals(spec(99).id, (validator.check(valid + spec(99).id) as PrerequisiteCheck.NeverAccepted).id)
        }
    }

    private companion object {
        const val MAX_COMPARES = 64
    }
}
