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
 * Some 4,000 machines with 32,000 tasks: filled, reconnecting, failing over, cut, under falling limits. The rules are checked after
 * each step.
 */
class LargeClusterTest {
    private val limits = FallingLimits(StateLimits(500.0, 80.0, 8.0, 16), StateLimits(500.0, 80.0, 2.0, 8), fallsAtMs = 95_000)
    private val world = SimulatedCluster(91, isNetworkReliable = true, machinesPerOffering = 525, limits = limits)

    private fun spec(number: Int, tasks: Int, cpus: Double, runS: Double, needs: List<JobId> = emptyList()): JobSpec = world.job(number) {
        it.copy(
            team = TeamId("free"), shape = Shape.ARRAY, urgency = Urgency.NORMAL, tasks = tasks, cpus = cpus, memoryGb = 2 * cpus,
            image = ImageId(
                "i",
            ),
            imageGb = 0.2, types = null, zone = null, singleZone = false, spreadAcrossZones = false, spotAllowed = true,
            estimateS = runS, checkpointEveryS = 0.0, deadlineS = null, prerequisites = needs,
        )
    }

    private fun submit(spec: JobSpec): JobId {
        assertEquals(201, world.submit(spec))
        return spec.id
    }

    private fun leader() = world.hosts.mapNotNull { it.controller?.leaderTerm() }.maxBy { it.leaderLease.token }

    /** Every worker reconnects at once, to nodes that have all ended, and end again before they have recovered. */
    private fun reconnectAllWorkersWhileAllNodesEndTwice() {
        world.hosts.forEach { it.crash(world.random.nextLong(50, 800)) }
        world.cloud.workers.forEach { it.targetNodeIndex = world.random.nextInt(SimulatedCluster.NODES) }
        world.run(2500, busy = false)
        world.hosts.forEach { it.crash(world.random.nextLong(50, 800)) }
        world.run(15_000, busy = false)
    }

    private fun assigned() = leader().cluster.machines.values.sumOf { it.live.size }

    @Test
    fun `4000 machines are filled, reconnect at once, fail over, are cut in part and meet lower limits`() {
        world.run(6000, busy = false)
        val jobs = (1..JOBS).map { submit(spec(it, TASKS, cpus = 1.25, runS = 500.0)) }
        world.run(70_000, busy = false)
        assertTrue(world.cloud.workers.count { it.isAlive } in 3900..4200, "${world.cloud.workers.count { it.isAlive }} machines")
        val started = world.invariants.startCount
        assertTrue(started > ALL_TASKS * 0.9, "$started starts")
        assertTrue(world.store.writes < 3000, "${world.store.writes} writes")

        // A pipeline goes on beside all that follows.
        val first = submit(spec(501, 4, cpus = 0.1, runS = 5.0))
        val second = submit(spec(502, 4, cpus = 0.1, runS = 20.0, needs = listOf(first)))
        val last = submit(spec(503, 4, cpus = 0.1, runS = 5.0, needs = listOf(second)))

        reconnectAllWorkersWhileAllNodesEndTwice()
        assertTrue(
            world.invariants.startCount - started < ALL_TASKS / 10,
            "${world.invariants.startCount - started} starts after a failover",
        )
        assertTrue(assigned() > ALL_TASKS * 0.9, "${assigned()} assignments taken over")
        assertTrue(leader().cluster.machines.values.filter { it.live.isNotEmpty() }.count { it.hasShownCurrentTerm } > 3500)

        // The limits have fallen by now; a quarter of the machines is cut off for over a lease, and another leader follows.
        val cut = world.cloud.workers.filter { it.isAlive && it.hasRunningTasks }.filterIndexed { i, _ -> i % 4 == 0 }
        cut.forEach { it.partitionedUntil = world.time.now + 9000 }
        world.run(3000, busy = false)
        world.hosts.first { it.controller?.leaderTerm() != null }.crash(500)
        world.run(30_000, busy = false)
        assertEquals(0, world.store.oversizedTransactions, "transactions over the limits")
        assertTrue(assigned() > ALL_TASKS * 0.85, "${assigned()} assignments in the end")

        // A cancellation of thousands of tasks, and the pipeline's end.
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
