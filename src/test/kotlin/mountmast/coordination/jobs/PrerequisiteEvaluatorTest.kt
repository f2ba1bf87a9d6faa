package mountmast.coordination.jobs

import kotlinx.serialization.json.encodeToJsonElement
import mountmast.protocol.JobId
import mountmast.protocol.JobStatus
import mountmast.protocol.ModRevision
import mountmast.protocol.StateLimits
import mountmast.protocol.WallTime
import mountmast.protocol.WireJson
import mountmast.standin.ProcessFaults
import mountmast.standin.SimulatedCluster
import mountmast.standin.SimulatedStateStore
import mountmast.standin.VirtualTime
import mountmast.storage.Entry
import mountmast.storage.FinishedJobRecord
import mountmast.storage.JobRecord
import mountmast.storage.Keys
import mountmast.storage.PrerequisiteLists
import mountmast.storage.StateStore
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import kotlin.random.Random

class PrerequisiteEvaluatorTest {
    private val prerequisites = (1..PREREQUISITES).map { checkNotNull(JobId.parse("j-$it")) }

    /** The one that is read first, so that its cached state is the first to be dropped. */
    private val cancelled = prerequisites.toHashSet().first()
    private val time = VirtualTime()
    private val backingStore = SimulatedStateStore(time).Connection(Random(1), ProcessFaults(time))

    /** Holds the final states of all prerequisites: one is cancelled, all others are done. */
    private val store = object : StateStore by backingStore {
        override fun get(key: String): Entry? {
            if (key.startsWith(Keys.JOBS)) return null
            val status = if (key == Keys.finished(cancelled)) JobStatus.CANCELLED else JobStatus.DONE
            return Entry(key, WireJson.encodeToJsonElement(FinishedJobRecord(status, 1)), ModRevision(1u))
        }
    }

    /** Guards against a job reported as pending after it was cancelled: the cache drops that state while the others are added. */
    @Test
    fun `a cancelled prerequisite counts even if more final states are read than the cache holds`() {
        val recordCache = UnconfirmedRecordCache()
        val reader = JobReader(JobStateLoader(store, recordCache, MAX_COMPARES), MAX_COMPARES, maxWaitMs = 60_000)
        val lists = PrerequisiteLists(store, StateLimits(80.0, 30.0, 2.0, 8))
        val evaluator = PrerequisiteEvaluator(reader, recordCache, lists, FinalStateCache())
        val spec = SimulatedCluster(1).plainJob(1).copy(prerequisites = prerequisites)
        assertEquals(PrerequisiteState.Cancelled, evaluator.evaluate(JobRecord(spec, WallTime(0))))
    }

    private companion object {
        /** More than the cache of final states holds. */
        const val PREREQUISITES = 40_000
        const val MAX_COMPARES = 64
    }
}
