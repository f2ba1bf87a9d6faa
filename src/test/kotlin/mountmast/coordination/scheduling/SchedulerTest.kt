package mountmast.coordination.scheduling

import mountmast.protocol.ImageId
import mountmast.protocol.JobId
import mountmast.protocol.JobSpec
import mountmast.protocol.MachineId
import mountmast.protocol.MachineType
import mountmast.protocol.Resources
import mountmast.protocol.Shape
import mountmast.protocol.TaskId
import mountmast.protocol.TeamId
import mountmast.protocol.TeamQuota
import mountmast.protocol.TypeId
import mountmast.protocol.Urgency
import mountmast.protocol.WallTime
import mountmast.protocol.Zone
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** The decisions of one cycle on small clusters: order, borrowing, preemption, reservations and the exceptions in [Scheduler]. */
class SchedulerTest {
    private val type = MachineType(TypeId("t"), 8.0, 0.0, 32.0, 50.0, 1.0, 1.0, 0.3, 30.0, listOf(Zone("a"), Zone("b")))
    private val red = TeamQuota(TeamId("red"), 8.0, 32.0, 0.0, 0.0)
    private val blue = TeamQuota(TeamId("blue"), 8.0, 32.0, 0.0, 0.0)
    private val unguaranteed = TeamQuota(TeamId("unguaranteed"), 0.0, 0.0, 0.0, 0.0)
    private val cpusOnly = TeamQuota(TeamId("cpus-only"), 48.0, 176.0, 0.0, 8.0)
    private val gpusOnly = TeamQuota(TeamId("gpus-only"), 0.0, 0.0, 4.0, 16.0)
    private val small = TeamQuota(TeamId("small"), 2.0, 32.0, 0.0, 0.0)
    private val smallLimit = TeamQuota(TeamId("small-limit"), 0.0, 32.0, 0.0, 0.0)
    private val quotas = listOf(red, blue, unguaranteed, cpusOnly, gpusOnly, small, smallLimit).associateBy { it.id }
    private val scheduler = Scheduler(SchedulingPolicy())

    private fun machine(
        name: String,
        freeCpus: Double = 8.0,
        tasks: List<AssignedTask> = emptyList(),
        images: Set<String> = emptySet(),
        zone: String = "a",
        reservedFor: JobId? = null,
        freeGpus: Double = 0.0,
    ) = MachineView(
        MachineId(name),
        MachineKind(type, Zone(zone), isSpot = false),
        Resources(freeCpus, freeGpus, freeCpus * 4),
        images.map { ImageId(it) }.toSet(),
        reservedFor,
    ) { tasks }

    private fun job(
        number: Int,
        team: TeamQuota,
        tasks: Int = 1,
        cpus: Double = 4.0,
        urgency: Urgency = Urgency.NORMAL,
        estimateS: Double = 50.0,
        assigned: Int = 0,
        slackS: Double = 100.0,
        waitedS: Double = 10.0,
        isPoisoned: Boolean = false,
        spreadAcrossZones: Boolean = false,
        excludedMachines: Set<MachineId> = emptySet(),
        gpus: Double = 0.0,
    ): JobView {
        val spec = JobSpec(
            JobId("j-$number"), "c", team.id, Shape.ARRAY, urgency, tasks + assigned, cpus, gpus, cpus, ImageId("i"), 5.0, null, null,
            false, spreadAcrossZones, true, estimateS, 0.0, 0.0,
        )
        val jobTasks = JobTasks(tasks, tasks + assigned, assigned, emptyMap()) { count -> IntArray(count) { it + assigned } }
        val timing = JobTiming(WallTime(number.toLong()), estimateS, slackS, waitedS)
        return JobView(spec, jobTasks, timing, excludedMachines, isPoisoned, mayStart = true)
    }

    private fun assignedTask(job: JobView, index: Int, remainingS: Double = 50.0, preemptions: Int = 0) =
        AssignedTask(TaskId(job.spec.id, index), job.spec, remainingS, preemptions, isStopping = false)

    private fun plan(
        machines: List<MachineView>,
        jobs: List<JobView>,
        previousAssurance: Map<TeamId, Double> = emptyMap(),
    ): SchedulingPlan {
        val usage = jobs.groupBy { it.spec.team }
            .mapValues { (_, ofTeam) -> ofTeam.fold(Resources.NONE) { sum, job -> sum + job.spec.perTask * job.tasks.assignedCount } }
        return scheduler.plan(ClusterSnapshot(machines, jobs, usage, quotas, previousAssurance))
    }

    @Test
    fun `guaranteed work goes first, the less assured team before the other, then the shorter run`() {
        val jobs = listOf(job(1, unguaranteed), job(2, red, estimateS = 90.0), job(3, red, estimateS = 10.0), job(4, blue))
        val plan = plan(listOf(machine("m", 16.0)), jobs, mapOf(red.id to 0.9, blue.id to 0.2, unguaranteed.id to 1.0))
        assertEquals(listOf("j-4", "j-3", "j-2", "j-1"), plan.starts.map { it.job.text })
        assertEquals(0.3 * 0 + 0.7 * 0.9, plan.assurance.getValue(red.id), 1e-9)
        assertEquals(1.0, plan.assurance.getValue(unguaranteed.id), 1e-9)
    }

    @Test
    fun `borrowing is bounded by three times the guarantee, and unbounded without a guarantee`() {
        assertEquals(6, plan(listOf(machine("m", 100.0)), listOf(job(1, red, tasks = 10))).starts.size)
        assertEquals(10, plan(listOf(machine("m", 100.0)), listOf(job(1, unguaranteed, tasks = 10))).starts.size)
        val jobs = listOf(job(1, red, tasks = 10, cpus = 0.0001), job(2, red, cpus = 33.0))
        val limited = plan(listOf(machine("m", 100.0)), jobs)
        assertTrue(limited.starts.none { it.job.text == "j-2" }, "over the team's limit")
    }

    @Test
    fun `a blocked guaranteed task preempts the machine that is cheapest to preempt`() {
        val borrowed = job(1, blue, tasks = 0, assigned = 4)
        val long = machine("long", 0.0, listOf(assignedTask(borrowed, 2, 100.0), assignedTask(borrowed, 3, 100.0)))
        val short = machine("short", 0.0, listOf(assignedTask(borrowed, 0, 5.0), assignedTask(borrowed, 1, 5.0)))
        // Blue's guarantee covers the first two of its tasks, so the machine with those tasks is not preempted.
        val plan = plan(listOf(short, long), listOf(borrowed, job(2, red)))
        assertEquals(listOf(MachineId("long")), plan.preemptions.map { it.machine })
        assertEquals(2, plan.preemptions.single().victims.size)
        assertTrue(plan.starts.isEmpty())
    }

    @Test
    fun `guaranteed work is never preempted, nor anything for a poisoned job`() {
        val guaranteed = job(1, blue, tasks = 0, assigned = 2)
        val full = machine("m", 0.0, listOf(assignedTask(guaranteed, 0), assignedTask(guaranteed, 1)))
        assertTrue(plan(listOf(full), listOf(guaranteed, job(2, red, urgency = Urgency.PRODUCTION))).preemptions.isEmpty())
        val borrowed = job(3, unguaranteed, tasks = 0, assigned = 2)
        val other = machine("n", 0.0, listOf(assignedTask(borrowed, 0), assignedTask(borrowed, 1)))
        assertTrue(plan(listOf(other), listOf(borrowed, job(4, red, isPoisoned = true))).preemptions.isEmpty())
        assertEquals(1, plan(listOf(other), listOf(borrowed, job(4, red))).preemptions.size)
    }

    @Test
    fun `without guarantees only more urgent work preempts, and least slack goes first among equals`() {
        val running = job(1, unguaranteed, tasks = 0, assigned = 2)
        fun full() = machine("m", 0.0, listOf(assignedTask(running, 0), assignedTask(running, 1)))
        assertTrue(plan(listOf(full()), listOf(running, job(2, unguaranteed))).preemptions.isEmpty())
        assertEquals(1, plan(listOf(full()), listOf(running, job(2, unguaranteed, urgency = Urgency.HIGH))).preemptions.size)
        val order = plan(
            listOf(machine("m", 40.0)),
            listOf(
                job(3, unguaranteed, slackS = 80.0),
                job(4, unguaranteed, slackS = 20.0),
                job(5, unguaranteed, slackS = -100.0),
                job(6, unguaranteed, slackS = 500.0, urgency = Urgency.HIGH),
            ),
        )
        assertEquals(listOf("j-6", "j-4", "j-3", "j-5"), order.starts.map { it.job.text })
    }

    @Test
    fun `tasks go to machines that hold the image, and spread across zones as the job asks`() {
        val start = plan(listOf(machine("without"), machine("with", images = setOf("i"))), listOf(job(1, red))).starts.single()
        assertEquals(MachineId("with"), start.machine)
        val machines = listOf(machine("m", 100.0), machine("n", 100.0, zone = "b"))
        val starts = plan(machines, listOf(job(1, unguaranteed, tasks = 5, spreadAcrossZones = true))).starts
        val inA = starts.count { it.machine.text == "m" }
        assertTrue(inA in 2..3 && starts.size == 5, "$inA of ${starts.size}")
    }

    @Test
    fun `a starved job gets one task first, within the bounds of its team`() {
        // The other job has smaller, more urgent and shorter tasks, which would otherwise starve the waiting job.
        val waiting = job(1, unguaranteed, tasks = 3, estimateS = 500.0, slackS = -900.0, waitedS = 100.0)
        val urgent = job(2, unguaranteed, tasks = 9, cpus = 1.0, urgency = Urgency.HIGH)
        val starts = plan(listOf(machine("m", 8.0)), listOf(urgent, waiting)).starts
        assertEquals("j-1", starts.first().job.text)
        assertEquals(1, starts.count { it.job.text == "j-1" })
        val starved = job(3, red, waitedS = 100.0)
        val borrowing = job(4, red, tasks = 0, cpus = 16.0, assigned = 1)
        val machines = listOf(machine("m", 0.0, listOf(assignedTask(borrowing, 0))), machine("n", 1.0))
        val bounded = plan(machines, listOf(starved, borrowing))
        val why = "the bound on borrowing blocks the starved job, not a lack of free capacity"
        assertTrue(bounded.reservations.isEmpty() && bounded.starts.isEmpty(), why)
    }

    @Test
    fun `machines where capacity becomes free soonest are reserved for large tasks, without preemption`() {
        val running = job(1, unguaranteed, tasks = 0, cpus = 2.0, assigned = 12)
        fun full(name: String, remainingS: Double, from: Int) =
            machine(name, 0.0, (0..3).map { assignedTask(running, from + it, remainingS + it) })
        val machines = listOf(full("late", 40.0, 0), full("soon", 2.0, 4), full("later", 60.0, 8), machine("tight", 3.0))
        val large = job(2, unguaranteed, tasks = 2)
        val small = job(3, unguaranteed, tasks = 20, cpus = 1.0, slackS = 500.0)
        val plan = plan(machines, listOf(running, large, small))
        assertEquals(listOf(MachineReservation(MachineId("soon"), JobId("j-2"))), plan.reservations)
        assertTrue(plan.preemptions.isEmpty())
        assertTrue(plan.starts.none { it.machine.text == "soon" }, "reserved for the large tasks")
    }

    @Test
    fun `a job that waited too long takes idle capacity beyond the bound on borrowing, within the team's limit`() {
        // 24 of red's 32 CPUs are in use, three times its guarantee: the bound on borrowing is reached, the limit is not.
        fun startsAfter(waitedS: Double, failedOnIdle: Boolean = false): Int {
            val excluded = if (failedOnIdle) setOf(MachineId("idle")) else emptySet()
            val waiting = job(2, red, tasks = 4, waitedS = waitedS, excludedMachines = excluded)
            return plan(listOf(machine("idle", 40.0)), listOf(job(1, red, tasks = 0, assigned = 6), waiting)).starts.size
        }
        assertEquals(0, startsAfter(50.0))
        assertEquals(2, startsAfter(80.0), "up to the limit of 32")
        assertEquals(2, startsAfter(80.0, failedOnIdle = true), "no other machine is available")
    }

    @Test
    fun `a starved job gets a task on a machine that is reserved for another`() {
        val reserved = machine("reserved", 8.0, reservedFor = JobId("j-9"))
        assertEquals(0, plan(listOf(reserved), listOf(job(1, unguaranteed, tasks = 3, waitedS = 50.0))).starts.size)
        assertEquals(1, plan(listOf(reserved), listOf(job(1, unguaranteed, tasks = 3, waitedS = 80.0))).starts.size)
    }

    /** The number of tasks that machines are to be found for, by job. */
    private fun demand(vararg jobs: JobView) = plan(emptyList(), jobs.toList()).unplaced.associate { it.job.text to it.count }

    private fun startsWithRoom(vararg jobs: JobView) = plan(listOf(machine("m", 1000.0, freeGpus = 100.0)), jobs.toList()).starts.size

    /** Guards against: an accepted job for whose GPUs no machine was ever requested, as its team is guaranteed CPUs only. */
    @Test
    fun `a resource of which nothing is guaranteed does not bound borrowing, the limit and the other resource do`() {
        val gpuJob = job(1, cpusOnly, tasks = 16, cpus = 8.0, gpus = 1.0)
        assertEquals(8, startsWithRoom(gpuJob), "the limit on GPUs")
        assertEquals(mapOf("j-1" to 8), demand(gpuJob))
        val wide = job(2, cpusOnly, tasks = 8, cpus = 40.0, gpus = 1.0)
        assertEquals(3, startsWithRoom(wide), "three times the guaranteed CPUs")
        assertEquals(mapOf("j-2" to 3), demand(wide))
    }

    /** Guards against: a team with guaranteed GPUs and no guaranteed CPUs that ran nothing at all. */
    @Test
    fun `a team that is guaranteed GPUs only runs its jobs, within three times its GPUs`() {
        val gpuJob = job(1, gpusOnly, tasks = 20, cpus = 2.0, gpus = 1.0)
        assertEquals(12, startsWithRoom(gpuJob))
        assertEquals(mapOf("j-1" to 12), demand(gpuJob))
        assertEquals(5, startsWithRoom(job(2, gpusOnly, tasks = 5)), "no GPUs")
    }

    /** Guards against: a task larger than the bound on borrowing that was accepted and never ran. */
    @Test
    fun `the bound on borrowing is at least one task, but no more`() {
        val large = job(1, small, tasks = 3, cpus = 8.0)
        assertEquals(1, startsWithRoom(large))
        assertEquals(mapOf("j-1" to 1), demand(large))
        val running = job(2, small, tasks = 0, cpus = 1.0, assigned = 1)
        assertEquals(0, startsWithRoom(large, running))
        assertEquals(emptyMap<String, Int>(), demand(large, running))
    }

    /** Guards against: a job beyond the bound that waited for idle capacity which nobody rented. */
    @Test
    fun `a job that waited too long beyond the bound on borrowing is demand for one task, within the team's limit`() {
        val running = job(1, red, tasks = 0, assigned = 6)
        fun waiting(number: Int, waitedS: Double = 80.0) = job(number, red, tasks = 9, waitedS = waitedS)
        assertEquals(emptyMap<String, Int>(), demand(running, waiting(2, waitedS = 50.0)))
        assertEquals(mapOf("j-2" to 1), demand(running, waiting(2)))
        // 24 of the 32 CPUs of the limit are in use: two more tasks may run.
        assertEquals(mapOf("j-2" to 1, "j-3" to 1), demand(running, waiting(2), waiting(3), waiting(4)))
        assertEquals(emptyMap<String, Int>(), demand(job(1, red, tasks = 0, assigned = 8), waiting(2)), "the limit is reached")
    }

    /** Guards against: machines rented for each of several jobs up to the team's limit, which allows only one of them. */
    @Test
    fun `a team's jobs together are demand up to the team's limit`() {
        val limited = job(1, smallLimit, tasks = 9)
        assertEquals(mapOf("j-1" to 8), demand(limited, job(2, smallLimit, tasks = 9)))
        assertEquals(mapOf("j-1" to 1, "j-2" to 5), demand(job(1, smallLimit, assigned = 2), job(2, smallLimit, tasks = 9)))
        assertEquals(mapOf("j-1" to 9, "j-2" to 9), demand(job(1, unguaranteed, tasks = 9), job(2, unguaranteed, tasks = 9)))
    }
}
