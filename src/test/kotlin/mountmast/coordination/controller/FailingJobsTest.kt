package mountmast.coordination.controller

import mountmast.protocol.JobId
import mountmast.protocol.JobSpec
import mountmast.protocol.JobStatus
import mountmast.protocol.Shape
import mountmast.protocol.TeamId
import mountmast.protocol.TypeId
import mountmast.standin.SimulatedCluster
import mountmast.standin.SimulatedWorker
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/**
 * What speaks against a job ends with the machines that it failed on, yet a job that fails on every machine does not have one machine after
 * the other rented (docs/incidents/review-6.md). [SimulatedCluster] checks the rules after each step.
 */
class FailingJobsTest {
    /** A cluster on whose first [faultyMachines] machines every task fails, for as long as [areFaulty] says. */
    private class Scenario(seed: Long, private val faultyMachines: Int) {
        val world = SimulatedCluster(seed, isNetworkReliable = true)
        var areFaulty = true
        val faulty: List<SimulatedWorker> get() = world.cloud.workers.filter { it.number < faultyMachines }

        private val SimulatedWorker.number get() = id.text.substringAfter('-').toInt()

        fun run(ms: Long) = repeat((ms / STEP_MS).toInt()) {
            faulty.forEach { it.failsAllTasks = areFaulty }
            world.run(STEP_MS, busy = false)
        }

        fun accept(number: Int, change: (JobSpec) -> JobSpec = { it }): JobId = world.accept(
            world.plainJob(number) {
                change(it.copy(team = TeamId("free"), tasks = 6, cpus = 1.0, memoryGb = 1.0, types = listOf(TypeId("l")), estimateS = 20.0))
            },
        )

        fun isDone(id: JobId) = world.poll(id) == JobStatus.DONE

        fun crashLeader() {
            world.hosts.first { it.controller?.leaderTerm() != null }.crash(500)
            run(5000)
        }
    }

    private fun forSeeds(faultyMachines: Int, test: Scenario.() -> Unit) = (1L..4L).forEach { seed ->
        val scenario = Scenario(seed, faultyMachines)
        try {
            scenario.test()
        } catch (e: Throwable) {
            throw AssertionError("seed $seed at ${scenario.world.time.now} ms: ${e.message}", e)
        }
    }

    /** Guards against: no machine was rented any more for a sound job that had failed on three faulty machines, since returned. */
    @Test
    fun `a job that failed on three faulty machines gets another machine and is done`() = forSeeds(faultyMachines = 3) {
        val job = accept(1)
        run(110_000)
        assertTrue(world.cloud.rentedCount > 3, "no machine was rented for the job after the faulty ones")
        assertTrue(isDone(job), "${world.poll(job)}, ${world.cloud.rentedCount} machines rented")
    }

    /** Guards against: the record of failing jobs handed the failures on machines long gone to the next leader. */
    @Test
    fun `a job that failed on three faulty machines gets another machine from the next leader`() = forSeeds(faultyMachines = 3) {
        val job = accept(1)
        repeat(600) { if (world.invariants.startCountOf(job) < 18) run(STEP_MS) }
        crashLeader()
        run(110_000)
        assertTrue(isDone(job), "${world.poll(job)}, ${world.cloud.rentedCount} machines rented")
    }

    /** Guards against: the other side of the same rule, machines rented for a job with a mistake for as long as its user lets it be. */
    @Test
    fun `a job that fails on every machine has ever fewer machines rented`() = forSeeds(faultyMachines = 0) {
        val job = world.plainJob(1) {
            it.copy(team = TeamId("free"), tasks = 6, cpus = 1.0, memoryGb = 1.0, types = listOf(TypeId("l")), estimateS = 20.0)
        }
        world.failingJobs += job.id
        world.accept(job)
        run(HALF_HOUR_MS)
        val rented = world.cloud.rentedCount
        // Three show that the job fails everywhere; then come delays of 0, 1, 2, 4, 8 and 16 minutes. Some machines never finish booting.
        assertTrue(rented in 4..12, "$rented machines rented in half an hour")
        crashLeader()
        run(HALF_HOUR_MS)
        assertTrue(world.cloud.rentedCount - rented <= 4, "${world.cloud.rentedCount - rented} more machines rented in another half hour")
    }

    /** Guards against: a service that failed on three machines ran one replica from then on, as its tasks never complete. */
    @Test
    fun `a service that failed on three machines runs all replicas once one of them has run for a while`() = forSeeds(faultyMachines = 3) {
        val service = accept(1) { it.copy(shape = Shape.SERVICE, tasks = 3, estimateS = 600.0) }
        repeat(600) { if (world.invariants.startCountOf(service) < 9) run(STEP_MS) }
        areFaulty = false
        run(110_000)
        assertEquals(3, world.invariants.runningTaskCountOf(service))
    }

    private companion object {
        const val STEP_MS = 100L
        const val HALF_HOUR_MS = 1_800_000L
    }
}
