package mountmast.coordination.state

import mountmast.protocol.Attempt
import mountmast.protocol.HeartbeatSequence
import mountmast.protocol.ImageId
import mountmast.protocol.JobId
import mountmast.protocol.MachineId
import mountmast.protocol.MonotonicTime
import mountmast.protocol.TypeId
import mountmast.protocol.WorkerIncarnation
import mountmast.protocol.Zone
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class MachineTest {
    private val machine = Machine(MachineId("vm-1"), TypeId("s"), Zone("a"), false, MachineState.BOOTING)
    private val task = "j-1/0"
    private val attempt = Attempt(1u)

    @Test
    fun `an unanswered start is fenced off by a higher token until the worker shows that`() {
        machine.delivery.recordUnansweredStart(task, attempt, requestTokenOffset = 3)

        machine.delivery.fenceOffStart(task, attempt)
        assertEquals(4, machine.delivery.tokenOffset)

        machine.delivery.observeTokenOffset(3)
        assertTrue(machine.delivery.hasUnansweredStart(task, attempt), "a request with this token may still be executed")
        machine.delivery.observeTokenOffset(4)
        assertFalse(machine.delivery.hasUnansweredStart(task, attempt))
    }

    @Test
    fun `a start that was answered needs no higher token`() {
        machine.delivery.fenceOffStart(task, attempt)

        assertEquals(0, machine.delivery.tokenOffset)
    }

    @Test
    fun `a token of the worker that lags behind does not lower ours`() {
        machine.delivery.observeTokenOffset(5)
        machine.delivery.observeTokenOffset(2)

        assertEquals(5, machine.delivery.tokenOffset)
    }

    @Test
    fun `a new incarnation holds a full lease, and nothing of it was answered`() {
        machine.beginIncarnation(WorkerIncarnation(1u), MonotonicTime(100))
        machine.worker.recordLeaseRenewal(HeartbeatSequence(7u), MonotonicTime(200))
        machine.delivery.recordUnansweredStart(task, attempt, requestTokenOffset = 0)

        machine.beginIncarnation(WorkerIncarnation(2u), MonotonicTime(300))

        assertEquals(MonotonicTime(300), machine.leaseRenewedAt)
        assertNull(machine.answeredSequence)
        assertEquals(HeartbeatSequence(0u), machine.answeredHeartbeatSequence)
        assertFalse(machine.delivery.hasUnansweredStart(task, attempt), "a worker refuses requests for an earlier incarnation")
    }

    @Test
    fun `a machine becomes idle with the heartbeat that brings it up, not with later ones`() {
        machine.markUp(MonotonicTime(100))
        machine.markUp(MonotonicTime(200))

        assertEquals(MachineState.UP, machine.state)
        assertEquals(MonotonicTime(100), machine.idleSince)
    }

    @Test
    fun `a machine whose lease expired is idle anew once its worker returns`() {
        machine.markUp(MonotonicTime(100))
        machine.expireLease(MonotonicTime(200))
        assertEquals(MachineState.EXPIRED, machine.state)
        assertEquals(MonotonicTime(200), machine.expiredAt)

        machine.markUp(MonotonicTime(300))

        assertEquals(MonotonicTime(300), machine.idleSince)
    }

    @Test
    fun `images beyond the cache's capacity leave least recently used first`() {
        for (image in listOf("a", "b", "a", "c")) machine.touchImage(ImageId(image), sizeGb = 4.0, cacheGb = 8.0)

        assertEquals(listOf("a", "c"), machine.images.keys.map { it.text })
    }

    @Test
    fun `the scheduler sees each change of a reservation and of the images`() {
        val before = machine.changeCount
        machine.reserveFor(JobId("j-1"), MonotonicTime(100))
        val reserved = machine.changeCount
        machine.releaseReservation()
        val released = machine.changeCount
        machine.restoreImages(mapOf(ImageId("a") to 1.0))

        assertTrue(listOf(before, reserved, released, machine.changeCount).zipWithNext().all { (earlier, later) -> later > earlier })
        assertNull(machine.reservedFor)
    }
}
