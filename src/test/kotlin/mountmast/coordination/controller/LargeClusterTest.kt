package mountmast.coordination.controller

import mountmast.protocol.ImageId
import mountmast.protocol.JobId
import mountmast.protocol.JobSpec
import mountmast.protocol.JobStatus
import mountmast.protocol.Shape
import mountmast.protocol.StateLimits
import mountmast.protocol.TeamId
import mountmast.protocol.Urgency
import mountmast.standin.FallingLimits
import mountmast.standin.SimulatedCluster
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/**
 * About 4,000 machines with 32,000 tasks: all workers reconnect at once, leaders change, a quarter of the machines is partitioned, and
 * the limits of the state service fall. The rules are checked after each step of the simulation.
 */
class LargeClusterTest {
    private val limits = FallingLimits(StateLimits(500.0, 80.0, 8.0, 16), StateLimits(500.0, 80.0, 2.0, 8), fallsAtMs = 95_000)
    private val world = SimulatedCluster(91, isNetworkReliable = true, machinesPerOffering = 525, limits = limits)

    private fun spec(number: Int, tasks: Int, cpus: Double, runS: Double, prerequisites: List<JobId> = emptyList()): JobSpec =
        world.job(number) {
            it.copy(
                team = TeamId("free"), shape = Shape.ARRAY, urgency = Urgency.NORMAL, tasks = tasks, cpus = cpus, memoryGb = 2 * cpus,
                image = ImageId(
                    "i",
                ),
                imageGb = 0.2, types = null, zone = null, singleZone = false, spreadAcrossZones = false, spotAllowed = true,
                estimateS = runS, checkpointEveryS = 0.0, deadlineS = null, prerequisites = prerequisites,
            )
        }

    private fun submit(spec: JobSpec): JobId {
        assertEquals(201, world.submit(spec))
        return spec.id
    }

    private fun leaderTerm() = world.hosts.mapNotNull { it.controller?.leaderTerm() }.maxBy { it.leaderLease.token }

    /** Crashes all nodes, and again before they have recovered; every worker reconnects to a random node at once. */
    private fun reconnectAllWorkersWhileAllNodesCrashTwice() {
        world.hosts.forEach { it.crash(world.random.nextLong(50, 800)) }
        world.cloud.workers.forEach { it.targetNodeIndex = world.random.nextInt(SimulatedCluster.NODES) }
        world.run(2500, busy = false)
        world.hosts.forEach { it.crash(world.random.nextLong(50, 800)) }
        world.run(15_000, busy = false)
    }

    private fun countAssignments() = leaderTerm().cluster.machines.values.sumOf { it.unreleasedAssignments.size }

    @Test
    fun `4000 machines are filled, reconnect at once, fail over, are cut in part and meet lower limits`() {
        world.run(6000, busy = false)
        val jobs = (1..JOBS).map { submit(spec(it, TASKS, cpus = 1.25, runS = 500.0)) }
        world.run(70_000, busy = false)
        assertTrue(world.cloud.workers.count { it.isAlive } in 3900..4200, "${world.cloud.workers.count { it.isAlive }} machines")
        val started = world.invariants.startCount
        assertTrue(started > ALL_TASKS * 0.9, "$started starts")
        assertTrue(world.store.writes < 3000, "${world.store.writes} writes")

        // These three jobs form a chain of prerequisites and run during all of the following failures.
        val first = submit(spec(501, 4, cpus = 0.1, runS = 5.0))
        val second = submit(spec(502, 4, cpus = 0.1, runS = 20.0, prerequisites = listOf(first)))
        val last = submit(spec(503, 4, cpus = 0.1, runS = 5.0, prerequisites = listOf(second)))

        reconnectAllWorkersWhileAllNodesCrashTwice()
        assertTrue(
            world.invariants.startCount - started < ALL_TASKS / 10,
            "${world.invariants.startCount - started} starts after a failover",
        )
        assertTrue(countAssignments() > ALL_TASKS * 0.9, "${countAssignments()} assignments after the failover")
        assertTrue(
            leaderTerm().cluster.machines.values.filter { it.unreleasedAssignments.isNotEmpty() }.count { it.hasShownCurrentTerm } > 3500,
        )

        // The limits have fallen by now. A quarter of the machines is partitioned for longer than a lease, and the leader crashes.
        val partitionedWorkers = world.cloud.workers.filter { it.isAlive && it.hasRunningTasks }.filterIndexed { i, _ -> i % 4 == 0 }
        partitionedWorkers.forEach { it.partitionedUntil = world.time.now + 9000 }
        world.run(3000, busy = false)
        world.hosts.first { it.controller?.leaderTerm() != null }.crash(500)
        world.run(30_000, busy = false)
        assertEquals(0, world.store.oversizedTransactions, "transactions over the limits")
        assertTrue(countAssignments() > ALL_TASKS * 0.85, "${countAssignments()} assignments after the partition")

        // Five jobs with 2,000 tasks are cancelled, and the chain of three jobs completes.
        jobs.take(5).forEach { assertEquals(200, world.cancel(it)) }
        world.run(30_000, busy = false)
        assertEquals(0, jobs.take(5).sumOf { world.invariants.runningTaskCountOf(it) })
        assertEquals(JobStatus.DONE, world.poll(last))
    }

    private companion object {
        const val JOBS = 80
        const val TASKS = 400
        const val ALL_TASKS = JOBS * TASKS
    }
}
