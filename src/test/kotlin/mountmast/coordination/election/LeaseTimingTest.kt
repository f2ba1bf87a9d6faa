package mountmast.coordination.election

import mountmast.protocol.WallTime
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class LeaseTimingTest {
    private fun timing(leaseS: Double, cancelS: Double) = LeaseTiming.of(leaseS, cancelS, maxClockOffsetMs = 29.5, heartbeatIntervalS = 1.5)

    /** With a store lease of 0.25 of a worker's lease, one renewal that timed out ended the leader's term (docs/incidents/inc-0e16.md). */
    @Test
    fun `a leader lease is 0,35 of a worker's lease, between 2 and 5 seconds`() {
        assertEquals(3500, timing(leaseS = 10.0, cancelS = 40.0).ttlMs)
        assertEquals(2000, timing(leaseS = 4.0, cancelS = 40.0).ttlMs)
        assertEquals(5000, timing(leaseS = 26.5, cancelS = 90.0).ttlMs)
    }

    @Test
    fun `the leader lease, the grace period and a worker's lease end one after another before a cancellation is due`() {
        for (cancelS in 12..200) {
            val timing = timing(leaseS = 6.0, cancelS = cancelS.toDouble())
            assertTrue(timing.ttlMs + timing.graceMs + timing.workerLeaseMs < cancelS * 1000, "cancel_s $cancelS")
            assertTrue(timing.graceMs >= 0, "cancel_s $cancelS")
        }
    }

    /**
     * With a minimum of 6 s, a leader that no worker reached resigned too late for its successor to renew the workers' leases
     * (docs/incidents/inc-4deb.md).
     */
    @Test
    fun `a worker is silent after two and a half intervals and one retry`() {
        assertEquals(4750, timing(leaseS = 10.0, cancelS = 40.0).silenceTimeoutMs)
    }

    @Test
    fun `times of day allow for the clocks of both nodes`() {
        val timing = timing(leaseS = 10.0, cancelS = 40.0)
        assertEquals(30, timing.maxClockOffsetMs)
        assertEquals(WallTime(1000 + timing.maxStalenessMs - 60 - 500), timing.renewalUntil(WallTime(1000)))
        assertEquals(WallTime(1000 + timing.delegationMs - 60 - 500), timing.delegationUntil(WallTime(1000)))
    }
}
