package mountmast.coordination.state

import mountmast.protocol.Attempt
import mountmast.protocol.MachineId
import mountmast.protocol.ModRevision
import mountmast.protocol.MonotonicTime
import mountmast.protocol.TaskState
import mountmast.protocol.WallTime
import mountmast.protocol.WorkerIncarnation
import mountmast.protocol.Zone
import mountmast.standin.SimulatedCluster
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class AssignmentTest {
    private val job = Job(SimulatedCluster(1).job(1) { it.copy(checkpointSaveS = 7.0) }, WallTime(0), ModRevision(1u))
    private val placement = Placement(MachineId("vm-1"), WorkerIncarnation(1u), Zone("a"))
    private val assignment = Assignment(job, 0, placement, Attempt(1u), Phase.INTENDED)

    @Test
    fun `a preempted task may save its progress`() {
        assignment.preempt()

        assertTrue(assignment.isPreempted)
        assertEquals(7.0, assignment.terminationGraceS)
    }

    @Test
    fun `preemption gives no grace period to a task that is stopped at once`() {
        assignment.stopAtOnce()
        assignment.preempt()

        assertEquals(0.0, assignment.terminationGraceS)
    }

    @Test
    fun `a committed start may be sent`() {
        assignment.beginJournaling()
        assignment.markJournaled()

        assertEquals(Phase.COMMITTED, assignment.phase)
        assertTrue(assignment.isJournaled)
        assertFalse(assignment.isBeingJournaled)
    }

    @Test
    fun `a commit does not revive what ended meanwhile`() {
        assignment.beginJournaling()
        assignment.markEnded(hasCompleted = false)
        assignment.markJournaled()

        assertEquals(Phase.ENDED, assignment.phase)
        assertTrue(assignment.isJournaled)
    }

    @Test
    fun `a task runs since the first heartbeat that says so`() {
        assignment.recordReported(TaskState.FETCHING, MonotonicTime(100))
        assertNull(assignment.runningSince)

        assignment.recordReported(TaskState.RUNNING, MonotonicTime(200))
        assignment.recordReported(TaskState.RUNNING, MonotonicTime(300))

        assertEquals(MonotonicTime(200), assignment.runningSince)
        assertEquals(TaskState.RUNNING, assignment.reportedState)
    }
}
