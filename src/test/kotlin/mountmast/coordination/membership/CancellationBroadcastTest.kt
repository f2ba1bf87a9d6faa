package mountmast.coordination.membership

import mountmast.protocol.JobId
import mountmast.protocol.NodeId
import mountmast.standin.VirtualTime
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class CancellationBroadcastTest {
    private val time = VirtualTime()
    private val member = NodeId("node-1")
    private val other = NodeId("node-2")
    private val broadcast = CancellationBroadcast(listOf(member, other), time.clock(0.0, 0), RETENTION_MS)

    private fun job(number: Int) = JobId("j-%06d".format(number))

    @Test
    fun `a broadcast cancellation is pending for each member until that one acknowledges it`() {
        broadcast.broadcast(job(1))
        broadcast.broadcast(job(2))
        broadcast.acknowledge(member, listOf(job(1)))
        assertEquals(listOf(job(2)), broadcast.unacknowledgedBy(member))
        assertEquals(listOf(job(1), job(2)), broadcast.unacknowledgedBy(other))
        assertTrue(job(1) in broadcast)
    }

    @Test
    fun `a received cancellation is known but not broadcast again`() {
        broadcast.receive(listOf(job(1)))
        broadcast.broadcast(job(1))
        assertTrue(job(1) in broadcast)
        assertEquals(emptyList<JobId>(), broadcast.unacknowledgedBy(member))
    }

    @Test
    fun `a cancellation is forgotten after the retention, when the next one arrives`() {
        broadcast.receive(listOf(job(1)))
        time.advance(RETENTION_MS + 1)
        broadcast.receive(listOf(job(2)))
        assertFalse(job(1) in broadcast)
        assertTrue(job(2) in broadcast)
    }

    @Test
    fun `a heartbeat carries 500 cancellations, the oldest first, and 5000 wait`() {
        val jobs = (1..6000).map(::job)
        jobs.forEach(broadcast::broadcast)
        assertEquals(jobs.subList(1000, 1500), broadcast.unacknowledgedBy(member))
    }

    private companion object {
        const val RETENTION_MS = 60_000L
    }
}
