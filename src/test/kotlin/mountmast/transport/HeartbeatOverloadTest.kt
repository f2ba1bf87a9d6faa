package mountmast.transport

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/**
 * Guards against a leader that stays overloaded by heartbeats, in virtual time. Its processor can answer hardly more heartbeats than
 * its workers send. During a pause of some seconds all workers' heartbeats time out, and all workers send again at once; the leader
 * must then renew all leases again. The figures are those of a fleet of 4,000 machines and a leader with a quarter of a core; the
 * processor times of an answered and of a refused heartbeat were measured.
 */
class HeartbeatOverloadTest {
    private fun simulate(seed: Long, pauseMs: Long): HeartbeatLoad {
        val load = HeartbeatLoad(seed, WORKERS, BoundedServer.PUBLIC_READER_THREADS, RequestBulkhead.forHeartbeats())
        load.run(20_000)
        assertEquals(0, load.expiredLeases, "leases expired before the pause, seed $seed")
        load.pause(pauseMs)
        load.run(60_000)
        load.resetCounts()
        load.run(60_000)
        return load
    }

    @Test
    fun `after a pause of the leader the heartbeats of all workers are answered again`() {
        for (seed in 1L..4L) {
            val load = simulate(seed, pauseMs = 6000)
            assertEquals(0, load.expiredLeases, "leases expired from a minute after the pause on, seed $seed")
            assertTrue(load.answeredShare > 0.95, "${load.answeredShare} of the heartbeats were answered in time, seed $seed")
        }
    }

    private companion object {
        const val WORKERS = 4000
    }
}
