package mountmast.standin

import mountmast.protocol.JobId
import mountmast.protocol.JobStatus
import mountmast.protocol.MachineId
import mountmast.protocol.Shape
import mountmast.protocol.TaskId
import mountmast.protocol.TeamId
import mountmast.protocol.TypeId
import mountmast.protocol.Zone
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Checks that [InvariantChecker] reports a violation of each of its rules. */
class RulesTest {
    private val cluster = SimulatedCluster(1)
    private val spec = cluster.job(1) {
        it.copy(
            team = TeamId("red"), shape = Shape.ARRAY, tasks = 6, cpus = 20.0, types = listOf(TypeId("l")), zone = null,
            singleZone = false, spreadAcrossZones = false, spotAllowed = false,
        )
    }
    private val invariants = InvariantChecker(cluster.teams, 1000).apply { recordSubmission(spec) }
    private val validPlace = TaskPlacement(MachineId("vm-1"), TypeId("l"), Zone("a"), spot = false)

    private fun assertViolated(rule: String, event: () -> Unit) {
        val violation = assertThrows(InvariantViolation::class.java, event)
        assertTrue(violation.message!!.startsWith(rule), violation.message)
    }

    @Test
    fun `a task on two machines`() {
        invariants.checkTaskStart(TaskId(spec.id, 0), validPlace, 0)
        assertViolated("ran_twice") { invariants.checkTaskStart(TaskId(spec.id, 0), validPlace.copy(machine = MachineId("vm-2")), 0) }
    }

    @Test
    fun `more resources than the quota of the team`() {
        repeat(2) { invariants.checkTaskStart(TaskId(spec.id, it), validPlace, 0) }
        assertViolated("quota") { invariants.checkTaskStart(TaskId(spec.id, 2), validPlace, 0) }
    }

    @Test
    fun `a machine of the wrong type or zone, or a spot machine`() {
        assertViolated("wrong_place") { invariants.checkTaskStart(TaskId(spec.id, 0), validPlace.copy(type = TypeId("s")), 0) }
        assertViolated("wrong_place") { invariants.checkTaskStart(TaskId(spec.id, 0), validPlace.copy(spot = true), 0) }
        val singleZoneJob = spec.copy(singleZone = true, cpus = 1.0).also(invariants::recordSubmission)
        invariants.checkTaskStart(TaskId(singleZoneJob.id, 0), validPlace, 0)
        assertViolated("wrong_place") { invariants.checkTaskStart(TaskId(singleZoneJob.id, 1), validPlace.copy(zone = Zone("b")), 0) }
    }

    @Test
    fun `too many tasks of a job in one zone`() {
        val spreadJob = spec.copy(spreadAcrossZones = true, cpus = 1.0).also(invariants::recordSubmission)
        repeat(3) { invariants.checkTaskStart(TaskId(spreadJob.id, it), validPlace, 0) }
        assertViolated("wrong_place") { invariants.checkTaskStart(TaskId(spreadJob.id, 3), validPlace, 0) }
    }

    @Test
    fun `a start commanded after its job's cancellation was confirmed`() {
        invariants.recordCancellation(spec.id)
        invariants.checkStatusAnswer(spec.id, 200, JobStatus.CANCELLED, 0)
        invariants.checkStartCommand(spec.id, 2000)
        assertViolated("started_cancelled") { invariants.checkStartCommand(spec.id, 4000) }
    }

    @Test
    fun `a job accepted although it lacks a field`() {
        invariants.checkInvalidSubmissionAnswer("no owner", 400)
        assertViolated("accepted_odd") { invariants.checkInvalidSubmissionAnswer("no owner", 201) }
    }

    @Test
    fun `a job that keeps waiting despite free capacity`() {
        invariants.checkStarvation(spec.id, true, 0)
        invariants.checkStarvation(spec.id, true, 200_000)
        invariants.faultFreeSince = 200_000
        invariants.checkStarvation(spec.id, true, 200_000)
        invariants.checkStarvation(spec.id, true, 285_000)
        invariants.checkStarvation(spec.id, false, 286_000)
        invariants.checkStarvation(spec.id, true, 287_000)
        invariants.checkStarvation(spec.id, true, 375_000)
        assertViolated("left_waiting") { invariants.checkStarvation(spec.id, true, 378_000) }
    }

    @Test
    fun `a task that still runs after its job was cancelled`() {
        invariants.checkTaskStart(TaskId(spec.id, 0), validPlace, 0)
        invariants.recordCancellation(spec.id)
        invariants.checkStatusAnswer(spec.id, 200, JobStatus.CANCELLED, 0)
        invariants.checkCancelledJobs(1000)
        assertViolated("ran_cancelled") { invariants.checkCancelledJobs(1001) }
    }

    @Test
    fun `wrong or contradictory answers to users`() {
        assertViolated("invented") { invariants.checkStatusAnswer(cluster.job(2).id, 200, JobStatus.PENDING, 0) }
        assertViolated("not_done") { invariants.checkStatusAnswer(spec.id, 200, JobStatus.DONE, 0) }
        assertViolated("went_back") { invariants.checkStatusAnswer(spec.id, 200, JobStatus.CANCELLED, 0) }
        invariants.recordCancellation(spec.id)
        invariants.checkStatusAnswer(spec.id, 200, JobStatus.CANCELLED, 0)
        assertViolated("went_back") { invariants.checkStatusAnswer(spec.id, 200, JobStatus.RUNNING, 0) }
        assertViolated("forgotten") { invariants.checkStatusAnswer(spec.id, 404, null, 0) }
        assertViolated("forgotten") { invariants.checkSubmissionAnswer(spec.id, 422) }
    }

    @Test
    fun `a job whose status requests go unanswered once all faults have ended`() {
        invariants.checkSubmissionAnswer(spec.id, 201)
        invariants.recordStatusRequest(spec.id, answered = false, now = 10_000)
        invariants.recordStatusRequest(spec.id, answered = false, now = 100_000)
        invariants.faultFreeSince = 50_000
        invariants.recordStatusRequest(spec.id, answered = false, now = 125_000)
        assertViolated("forgotten") { invariants.recordStatusRequest(spec.id, answered = false, now = 125_001) }
        invariants.recordStatusRequest(spec.id, answered = true, now = 126_000)
        invariants.recordStatusRequest(spec.id, answered = false, now = 300_000)
    }

    @Test
    fun `a task that starts before a prerequisite of its job is done`() {
        val dependent = spec.copy(id = JobId("j-2"), cpus = 1.0, prerequisites = listOf(spec.id)).also(invariants::recordSubmission)
        repeat(spec.tasks - 1) { invariants.recordTaskEnd(TaskId(spec.id, it), validPlace.machine, done = true) }
        assertViolated("too_early") { invariants.checkTaskStart(TaskId(dependent.id, 0), validPlace, 0) }
        invariants.recordTaskEnd(TaskId(spec.id, spec.tasks - 1), validPlace.machine, done = true)
        invariants.checkTaskStart(TaskId(dependent.id, 0), validPlace, 0)
    }

    @Test
    fun `a job reported as pending long after a prerequisite was reported as cancelled`() {
        val second = spec.copy(id = JobId("j-2"), prerequisites = listOf(spec.id)).also(invariants::recordSubmission)
        val third = spec.copy(id = JobId("j-3"), prerequisites = listOf(second.id)).also(invariants::recordSubmission)
        invariants.recordCancellation(spec.id)
        invariants.checkStatusAnswer(spec.id, 200, JobStatus.CANCELLED, 0)
        invariants.checkStatusAnswer(third.id, 200, JobStatus.PENDING, 1000)
        assertViolated("orphaned") { invariants.checkStatusAnswer(third.id, 200, JobStatus.PENDING, 1001) }
        invariants.checkStatusAnswer(third.id, 200, JobStatus.CANCELLED, 1001)
    }

    @Test
    fun `a job reported as cancelled although neither it nor a prerequisite was`() {
        val second = spec.copy(id = JobId("j-2"), prerequisites = listOf(spec.id)).also(invariants::recordSubmission)
        invariants.recordCancellation(second.id)
        assertViolated("went_back") { invariants.checkStatusAnswer(spec.id, 200, JobStatus.CANCELLED, 0) }
    }
}
