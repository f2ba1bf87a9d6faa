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

class SchedulerTest {
    private val type = MachineType(TypeId("t"), 8.0, 0.0, 32.0, 50.0, 1.0, 1.0, 0.3, 30.0, listOf(Zone("a"), Zone("b")))
    private val red = TeamQuota(TeamId("red"), 8.0, 32.0, 0.0, 0.0)
    private val blue = TeamQuota(TeamId("blue"), 8.0, 32.0, 0.0, 0.0)
    private val free = TeamQuota(TeamId("free"), 0.0, 0.0, 0.0, 0.0)
    private val teams = listOf(red, blue, free).associateBy { it.id }
    private val scheduler = Scheduler(SchedulingPolicy())

    private fun machine(
        name: String,
        room: Double = 8.0,
        residents: List<Resident> = emptyList(),
        images: Set<String> = emptySet(),
        zone: String = "a",
        reservedFor: JobId? = null,
    ) = MachineView(
        MachineId(name),
        type,
        Zone(zone),
        false,
        Resources(room, 0.0, room * 4),
        images.map {
            ImageId(it)
        }.toSet(),
        reservedFor,
    ) { residents }

    private fun job(
        number: Int,
        team: TeamQuota,
        tasks: Int = 1,
        cpus: Double = 4.0,
        urgency: Urgency = Urgency.NORMAL,
        estimateS: Double = 50.0,
        live: Int = 0,
        slackS: Double = 100.0,
        waitedS: Double = 10.0,
        poisoned: Boolean = false,
        spreadAcrossZones: Boolean = false,
        perZone: Map<Zone, Int> = emptyMap(),
    ): JobView {
        val spec = JobSpec(
            JobId(
                "j-$number",
            ),
            "c", team.id, Shape.ARRAY, urgency, tasks + live, cpus, 0.0, cpus, ImageId("i"), 5.0, null, null, false, spreadAcrossZones,
            true, estimateS, 0.0, 0.0,
        )
        return JobView(
            spec, WallTime(number.toLong()), tasks, tasks + live, live, perZone, estimateS, emptySet(), poisoned, true, slackS, waitedS,
        ) { count -> IntArray(count) { it + live } }
    }

    private fun resident(job: JobView, index: Int, remainingS: Double = 50.0, preemptions: Int = 0) =
        Resident(TaskId(job.spec.id, index), job.spec, remainingS, preemptions, false)

    private fun plan(machines: List<MachineView>, jobs: List<JobView>, assurance: Map<TeamId, Double> = emptyMap()): Plan {
        val uses = jobs.groupBy {
            it.spec.team
        }.mapValues { (_, of) -> of.fold(Resources.NONE) { sum, job -> sum + job.spec.perTask * job.live } }
        return scheduler.plan(ClusterSnapshot(machines, jobs, uses, teams, assurance))
    }

    @Test
    fun `guaranteed work goes first, the less assured team before the other, then the shorter run`() {
        val jobs = listOf(job(1, free), job(2, red, estimateS = 90.0), job(3, red, estimateS = 10.0), job(4, blue))
        val plan = plan(listOf(machine("m", 16.0)), jobs, mapOf(red.id to 0.9, blue.id to 0.2, free.id to 1.0))
        assertEquals(listOf("j-4", "j-3", "j-2", "j-1"), plan.starts.map { it.job.text })
        assertEquals(0.3 * 0 + 0.7 * 0.9, plan.assurance.getValue(red.id), 1e-9)
        assertEquals(1.0, plan.assurance.getValue(free.id), 1e-9)
    }

    @Test
    fun `borrowing ends at three times the guarantee, and not where there is none`() {
        assertEquals(6, plan(listOf(machine("m", 100.0)), listOf(job(1, red, tasks = 10))).starts.size)
        assertEquals(10, plan(listOf(machine("m", 100.0)), listOf(job(1, free, tasks = 10))).starts.size)
        val limited =
            plan(listOf(machine("m", 100.0)), listOf(job(1, red, tasks = 10, cpus = 0.0001, live = 0), job(2, red, tasks = 1, cpus = 33.0)))
        assertTrue(limited.starts.none { it.job.text == "j-2" }, "over the team's limit")
    }

    @Test
    fun `a blocked guaranteed task empties the machine that is cheapest to empty`() {
        val borrowed = job(1, blue, tasks = 0, live = 4)
        val long = machine("long", 0.0, listOf(resident(borrowed, 2, 100.0), resident(borrowed, 3, 100.0)))
        val short = machine("short", 0.0, listOf(resident(borrowed, 0, 5.0), resident(borrowed, 1, 5.0)))
        // The first two of blue's tasks are within its guarantee; machines with any of those are not emptied.
        val plan = plan(listOf(short, long), listOf(borrowed, job(2, red)))
        assertEquals(listOf(MachineId("long")), plan.preemptions.map { it.machine })
        assertEquals(2, plan.preemptions.single().victims.size)
        assertTrue(plan.starts.isEmpty())
    }

    @Test
    fun `guaranteed work is never evicted, nor anything for a poisoned job`() {
        val guaranteed = job(1, blue, tasks = 0, live = 2)
        val full = machine("m", 0.0, listOf(resident(guaranteed, 0), resident(guaranteed, 1)))
        assertTrue(plan(listOf(full), listOf(guaranteed, job(2, red, urgency = Urgency.PRODUCTION))).preemptions.isEmpty())
        val borrowed = job(3, free, tasks = 0, live = 2)
        val other = machine("n", 0.0, listOf(resident(borrowed, 0), resident(borrowed, 1)))
        assertTrue(plan(listOf(other), listOf(borrowed, job(4, red, poisoned = true))).preemptions.isEmpty())
        assertEquals(1, plan(listOf(other), listOf(borrowed, job(4, red))).preemptions.size)
    }

    @Test
    fun `without guarantees only the more urgent evicts, and least slack goes first among equals`() {
        val running = job(1, free, tasks = 0, live = 2)
        fun full() = machine("m", 0.0, listOf(resident(running, 0), resident(running, 1)))
        assertTrue(plan(listOf(full()), listOf(running, job(2, free))).preemptions.isEmpty())
        assertEquals(1, plan(listOf(full()), listOf(running, job(2, free, urgency = Urgency.HIGH))).preemptions.size)
        val order = plan(
            listOf(machine("m", 40.0)),
            listOf(
                job(3, free, slackS = 80.0),
                job(4, free, slackS = 20.0),
                job(5, free, slackS = -100.0),
                job(6, free, slackS = 500.0, urgency = Urgency.HIGH),
            ),
        )
        assertEquals(listOf("j-6", "j-4", "j-3", "j-5"), order.starts.map { it.job.text })
    }

    @Test
    fun `tasks go where the image is, and spread as the job asks`() {
        val start = plan(listOf(machine("without"), machine("with", images = setOf("i"))), listOf(job(1, red))).starts.single()
        assertEquals(MachineId("with"), start.machine)
        val spreadAcrossZones =
            plan(listOf(machine("m", 100.0), machine("n", 100.0, zone = "b")), listOf(job(1, free, tasks = 5, spreadAcrossZones = true)))
        val inA = spreadAcrossZones.starts.count { it.machine.text == "m" }
        assertTrue(inA in 2..3 && spreadAcrossZones.starts.size == 5, "$inA of ${spreadAcrossZones.starts.size}")
    }

    @Test
    fun `a job passed over for long goes first, once, and within the bounds of its team`() {
        // Smaller, more urgent and shorter work would otherwise go before it for good.
        val waiting = job(1, free, tasks = 3, estimateS = 500.0, slackS = -900.0, waitedS = 100.0)
        val urgent = job(2, free, tasks = 9, cpus = 1.0, urgency = Urgency.HIGH)
        val starts = plan(listOf(machine("m", 8.0)), listOf(urgent, waiting)).starts
        assertEquals("j-1", starts.first().job.text)
        assertEquals(1, starts.count { it.job.text == "j-1" })
        val bound = job(3, red, tasks = 1, cpus = 4.0, live = 0, waitedS = 100.0)
        val full = job(4, red, tasks = 0, cpus = 16.0, live = 1)
        val bounded = plan(listOf(machine("m", 0.0, listOf(resident(full, 0))), machine("n", 1.0)), listOf(bound, full))
        assertTrue(bounded.reservations.isEmpty() && bounded.starts.isEmpty(), "the bound on borrowing holds it back, not a lack of room")
    }

    @Test
    fun `large tasks get machines kept where room comes soonest, and nothing is stopped for that`() {
        val running = job(1, free, tasks = 0, cpus = 2.0, live = 12)
        fun full(name: String, remainingS: Double, from: Int) =
            machine(name, 0.0, (0..3).map { resident(running, from + it, remainingS + it) })
        val machines = listOf(full("late", 40.0, 0), full("soon", 2.0, 4), full("later", 60.0, 8), machine("tight", 3.0))
        val plan =
            plan(machines, listOf(running, job(2, free, tasks = 2, cpus = 4.0), job(3, free, tasks = 20, cpus = 1.0, slackS = 500.0)))
        assertEquals(listOf(MachineReservation(MachineId("soon"), JobId("j-2"))), plan.reservations)
        assertTrue(plan.preemptions.isEmpty())
        assertTrue(plan.starts.none { it.machine.text == "soon" }, "kept for the large tasks")
    }

    @Test
    fun `what waited for long takes idle room beyond the bound on borrowing, within the team's limit`() {
        // 24 of red's 32 CPUs are in use, three times its guarantee: the bound on borrowing is reached, the limit is not.
        fun startsAfter(waitedS: Double, failedHere: Boolean = false): Int {
            val waiting = job(2, red, tasks = 4, waitedS = waitedS)
            val view = if (!failedHere) {
                waiting
            } else {
                JobView(
                    waiting.spec, waiting.submitted, 4, 4, 0, emptyMap(), 50.0, setOf(MachineId("idle")), false, true, 100.0, waitedS,
                ) { count -> IntArray(count) { it } }
            }
            return plan(listOf(machine("idle", 40.0)), listOf(job(1, red, tasks = 0, live = 6), view)).starts.size
        }
        assertEquals(0, startsAfter(50.0))
        assertEquals(2, startsAfter(80.0), "up to the limit of 32")
        assertEquals(2, startsAfter(80.0, failedHere = true), "no other machine is to be had")
    }

    @Test
    fun `a job passed over gets a task on a machine that is kept for another`() {
        val kept = machine("kept", 8.0, reservedFor = JobId("j-9"))
        assertEquals(0, plan(listOf(kept), listOf(job(1, free, tasks = 3, waitedS = 50.0))).starts.size)
        assertEquals(1, plan(listOf(kept), listOf(job(1, free, tasks = 3, waitedS = 80.0))).starts.size)
    }
}
