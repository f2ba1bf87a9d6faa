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

/** Checks that each rule of [Rules] is reported as broken by events that violate it. */
class RulesTest {
    private val world = World(1)
    private val spec = world.job(1) {
        it.copy(
            team = TeamId("red"), shape = Shape.ARRAY, tasks = 6, cpus = 20.0, types = listOf(TypeId("l")), zone = null,
            singleZone = false, spreadAcrossZones = false, spotAllowed = false,
        )
    }
    private val rules = Rules(world.teams, 1000).apply { submitting(spec) }
    private val validPlace = Place(MachineId("vm-1"), TypeId("l"), Zone("a"), spot = false)

    private fun assertBroken(rule: String, act: () -> Unit) {
        val broken = assertThrows(RuleBroken::class.java, act)
        assertTrue(broken.message!!.startsWith(rule), broken.message)
    }

    @Test
    fun `a task on two machines`() {
        rules.taskStarts(TaskId(spec.id, 0), validPlace, 0)
        assertBroken("ran_twice") { rules.taskStarts(TaskId(spec.id, 0), validPlace.copy(machine = MachineId("vm-2")), 0) }
    }

    @Test
    fun `more than the limit`() {
        repeat(2) { rules.taskStarts(TaskId(spec.id, it), validPlace, 0) }
        assertBroken("quota") { rules.taskStarts(TaskId(spec.id, 2), validPlace, 0) }
    }

    @Test
    fun `the wrong type, kind or zone`() {
        assertBroken("wrong_place") { rules.taskStarts(TaskId(spec.id, 0), validPlace.copy(type = TypeId("s")), 0) }
        assertBroken("wrong_place") { rules.taskStarts(TaskId(spec.id, 0), validPlace.copy(spot = true), 0) }
        val together = spec.copy(singleZone = true, cpus = 1.0).also(rules::submitting)
        rules.taskStarts(TaskId(together.id, 0), validPlace, 0)
        assertBroken("wrong_place") { rules.taskStarts(TaskId(together.id, 1), validPlace.copy(zone = Zone("b")), 0) }
    }

    @Test
    fun `too many in one zone`() {
        val spreadAcrossZones = spec.copy(spreadAcrossZones = true, cpus = 1.0).also(rules::submitting)
        repeat(3) { rules.taskStarts(TaskId(spreadAcrossZones.id, it), validPlace, 0) }
        assertBroken("wrong_place") { rules.taskStarts(TaskId(spreadAcrossZones.id, 3), validPlace, 0) }
    }

    @Test
    fun `a start commanded after its job's cancellation was confirmed`() {
        rules.cancelling(spec.id)
        rules.statusAnswered(spec.id, 200, JobStatus.CANCELLED, 0)
        rules.startCommanded(spec.id, 2000)
        assertBroken("started_cancelled") { rules.startCommanded(spec.id, 4000) }
    }

    @Test
    fun `a job accepted although it lacks a field`() {
        rules.oddAnswered("no owner", 400)
        assertBroken("accepted_odd") { rules.oddAnswered("no owner", 201) }
    }

    @Test
    fun `a job left waiting beside room`() {
        rules.waitsBesideRoom(spec.id, true, 0)
        rules.waitsBesideRoom(spec.id, true, 200_000)
        rules.quietSince = 200_000
        rules.waitsBesideRoom(spec.id, true, 200_000)
        rules.waitsBesideRoom(spec.id, true, 285_000)
        rules.waitsBesideRoom(spec.id, false, 286_000)
        rules.waitsBesideRoom(spec.id, true, 287_000)
        rules.waitsBesideRoom(spec.id, true, 375_000)
        assertBroken("left_waiting") { rules.waitsBesideRoom(spec.id, true, 378_000) }
    }

    @Test
    fun `a task of a cancelled job`() {
        rules.taskStarts(TaskId(spec.id, 0), validPlace, 0)
        rules.cancelling(spec.id)
        rules.statusAnswered(spec.id, 200, JobStatus.CANCELLED, 0)
        rules.check(1000)
        assertBroken("ran_cancelled") { rules.check(1001) }
    }

    @Test
    fun `what users are told`() {
        assertBroken("invented") { rules.statusAnswered(world.job(2).id, 200, JobStatus.PENDING, 0) }
        assertBroken("not_done") { rules.statusAnswered(spec.id, 200, JobStatus.DONE, 0) }
        assertBroken("went_back") { rules.statusAnswered(spec.id, 200, JobStatus.CANCELLED, 0) }
        rules.cancelling(spec.id)
        rules.statusAnswered(spec.id, 200, JobStatus.CANCELLED, 0)
        assertBroken("went_back") { rules.statusAnswered(spec.id, 200, JobStatus.RUNNING, 0) }
        assertBroken("forgotten") { rules.statusAnswered(spec.id, 404, null, 0) }
        assertBroken("forgotten") { rules.submissionAnswered(spec.id, 422) }
    }

    @Test
    fun `a job that nobody answers for once all troubles are over`() {
        rules.submissionAnswered(spec.id, 201)
        rules.asked(spec.id, answered = false, now = 10_000)
        rules.asked(spec.id, answered = false, now = 100_000)
        rules.quietSince = 50_000
        rules.asked(spec.id, answered = false, now = 125_000)
        assertBroken("forgotten") { rules.asked(spec.id, answered = false, now = 125_001) }
        rules.asked(spec.id, answered = true, now = 126_000)
        rules.asked(spec.id, answered = false, now = 300_000)
    }

    @Test
    fun `a task that starts before a job that its job needs is done`() {
        val dependent = spec.copy(id = JobId("j-2"), cpus = 1.0, prerequisites = listOf(spec.id)).also(rules::submitting)
        repeat(spec.tasks - 1) { rules.taskGone(TaskId(spec.id, it), validPlace.machine, done = true) }
        assertBroken("too_early") { rules.taskStarts(TaskId(dependent.id, 0), validPlace, 0) }
        rules.taskGone(TaskId(spec.id, spec.tasks - 1), validPlace.machine, done = true)
        rules.taskStarts(TaskId(dependent.id, 0), validPlace, 0)
    }

    @Test
    fun `a job that is called queued long after a job before it was called cancelled`() {
        val second = spec.copy(id = JobId("j-2"), prerequisites = listOf(spec.id)).also(rules::submitting)
        val third = spec.copy(id = JobId("j-3"), prerequisites = listOf(second.id)).also(rules::submitting)
        rules.cancelling(spec.id)
        rules.statusAnswered(spec.id, 200, JobStatus.CANCELLED, 0)
        rules.statusAnswered(third.id, 200, JobStatus.PENDING, 1000)
        assertBroken("orphaned") { rules.statusAnswered(third.id, 200, JobStatus.PENDING, 1001) }
        rules.statusAnswered(third.id, 200, JobStatus.CANCELLED, 1001)
    }

    @Test
    fun `a job called cancelled though neither it nor a job before it was`() {
        val second = spec.copy(id = JobId("j-2"), prerequisites = listOf(spec.id)).also(rules::submitting)
        rules.cancelling(second.id)
        assertBroken("went_back") { rules.statusAnswered(spec.id, 200, JobStatus.CANCELLED, 0) }
    }
}
