package mountmast.transport

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/**
 * A leader whose processor takes hardly more reports than its workers send, in virtual time: after a stop of some seconds, in
 * which all of them give up and come back at once, it must serve them all again. The figures are those of a fleet of 4,000 machines
 * on a quarter of a core: what a report costs, and what a refused one costs, were measured.
 */
class HeartbeatOverloadTest {
    private fun play(seed: Long, stopMs: Long): HeartbeatLoad {
        val load = HeartbeatLoad(seed, WORKERS, BoundedServer.PUBLIC_READERS, RequestBulkhead.forHeartbeats())
        load.run(20_000)
        assertEquals(0, load.leasesLost, "leases lost before the stop, seed $seed")
        load.stop(stopMs)
        load.run(60_000)
        load.forgetLosses()
        load.run(60_000)
        return load
    }

    @Test
    fun `after a stop of the leader all workers are answered again`() {
        for (seed in 1L..4L) {
            val load = play(seed, stopMs = 6000)
            assertEquals(0, load.leasesLost, "leases lost from a minute after the stop on, seed $seed")
            assertTrue(load.answeredShare > 0.95, "${load.answeredShare} of the reports were answered in time, seed $seed")
        }
    }

    private companion object {
        const val WORKERS = 4000
    }
}
