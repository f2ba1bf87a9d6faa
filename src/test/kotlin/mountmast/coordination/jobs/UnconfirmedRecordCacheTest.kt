package mountmast.coordination.jobs

import mountmast.protocol.ModRevision
import mountmast.protocol.WallTime
import mountmast.standin.SimulatedCluster
import mountmast.storage.JobRecord
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Test

class UnconfirmedRecordCacheTest {
    private val cache = UnconfirmedRecordCache()
    private val live = JobRecord(SimulatedCluster(1).job(1), WallTime(0))
    private val cancelled = live.copy(cancelled = true)
    private val id = live.spec.id

    @Test
    fun `a record watched late does not replace a newer one`() {
        cache.putIfNewer(cancelled, ModRevision(8u))
        cache.putIfNewer(live, ModRevision(7u))
        assertEquals(cancelled, cache[id]?.record)
        cache.putIfNewer(live, ModRevision(9u))
        assertEquals(ModRevision(9u), cache[id]?.modRevision)
    }

    @Test
    fun `a record just read replaces any other, and a removed one is gone`() {
        cache.putIfNewer(live, ModRevision(8u))
        cache.put(cancelled, ModRevision(7u))
        assertEquals(cancelled, cache[id]?.record)
        cache.remove(id)
        assertFalse(id in cache)
    }
}
