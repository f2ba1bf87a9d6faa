package mountmast.coordination.autoscaling

import mountmast.protocol.ImageId
import mountmast.protocol.JobId
import mountmast.protocol.Shape
import mountmast.protocol.TeamId
import mountmast.protocol.Urgency
import mountmast.standin.SimulatedCluster
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Operations of a cluster of about 1,700 machines. Requests, writes and commands are counted rather than timed. */
class LargeClusterTest {
    private val world = SimulatedCluster(90, isNetworkReliable = true, machinesPerOffering = 213)

    private fun submitJobs(numbers: IntRange, runS: Double): List<JobId> = numbers.map { number ->
        val spec = world.job(number) {
            it.copy(
                team = TeamId("free"), shape = Shape.ARRAY, urgency = Urgency.NORMAL, tasks = TASKS, cpus = 2.0, memoryGb = 4.0,
                image = ImageId("i"), imageGb = 0.2, types = null, zone = null, singleZone = false, spreadAcrossZones = false,
                spotAllowed = true, estimateS = runS, checkpointEveryS = 0.0, deadlineS = null,
            )
        }
        assertEquals(201, world.submit(spec))
        spec.id
    }

    private fun leader() = world.hosts.mapNotNull { it.controller?.leaderTerm() }.maxBy { it.leaderLease.token }

    @Test
    fun `1700 machines are filled, all nodes crash at once, and a third of the machines is lost and replaced`() {
        val started = fillCluster()
        assertIdleTrafficIsConstant()
        crashAllNodesTwice(started)
        loseAThirdOfMachines(started)
    }

    /** Submits about as many tasks as the cluster can hold; returns how many started. */
    private fun fillCluster(): Int {
        world.run(5000, busy = false)
        submitJobs(1..JOBS, runS = 400.0)
        world.run(75_000, busy = false)
        val machines = world.cloud.workers.count { it.isAlive }
        val started = world.invariants.startCount
        assertTrue(machines in 1550..1704, "$machines machines")
        assertTrue(started in 7500..8400, "$started starts")
        // One command carries all starts on a machine that one scheduling cycle decided on.
        assertTrue(world.network.commandsSent <= started, "${world.network.commandsSent} commands for $started starts")
        // Hundreds of starts share one record of the store. A poll of an unfinished job costs one request.
        assertTrue(world.store.writes < 3000, "${world.store.writes} writes")
        assertTrue(world.store.maxTransactionOps <= 8, "${world.store.maxTransactionOps} in one transaction")
        assertTrue(world.store.largestValueLength < 2 * 1024)
        return started
    }

    /** Once all tasks are placed, the number of writes and requests does not depend on the number of running tasks. */
    private fun assertIdleTrafficIsConstant() {
        val (requests, writes, commands) = Triple(world.store.requests, world.store.writes, world.network.commandsSent)
        val idle = world.cloud.workers.filter { !it.hasRunningTasks }.toSet()
        world.run(10_000, busy = false)
        assertTrue(world.store.requests - requests < 400, "${world.store.requests - requests} requests in 10 s")
        assertTrue(world.store.writes - writes < 150, "${world.store.writes - writes} writes in 10 s")
        // A machine that came up during this time gets its first command; no other machine gets a command.
        val newlyUsed = world.cloud.workers.count { it.hasRunningTasks && it in idle }
        assertEquals(commands + newlyUsed, world.network.commandsSent)
    }

    /** The second crash comes before the recovery from the first is complete. */
    private fun crashAllNodesTwice(started: Int) {
        world.hosts.forEach { it.crash(world.random.nextLong(50, 800)) }
        world.run(1500, busy = false)
        world.hosts.forEach { it.crash(world.random.nextLong(50, 800)) }
        world.run(15_000, busy = false)
        assertTrue(
            world.invariants.startCount <= ALL_TASKS,
            "${world.invariants.startCount - started} starts, ${ALL_TASKS - started} were left",
        )
        assertTrue(leader().cluster.machines.values.sumOf { it.unreleasedAssignments.size } in started..ALL_TASKS)
        assertTrue(leader().cluster.machines.values.filter { it.unreleasedAssignments.isNotEmpty() }.all { it.hasShownCurrentTerm })
    }

    /** Every third busy machine is lost: the cloud reclaims half of them, and the others are partitioned for 9 s. */
    private fun loseAThirdOfMachines(started: Int) {
        val lost = world.cloud.workers.filter { it.isAlive && it.hasRunningTasks }.filterIndexed { i, _ -> i % 3 == 0 }
        for ((i, worker) in lost.withIndex()) {
            if (i % 2 == 0) world.cloud.terminateMachine(worker.id) else worker.partitionedUntil = world.time.now + 9000
        }
        val lostBefore = world.network.commandsLost
        world.run(40_000, busy = false)
        val commandsLost = world.network.commandsLost - lostBefore
        assertTrue(commandsLost < lost.size, "$commandsLost commands to silent machines")
        val running = leader().cluster.machines.values.sumOf { machine ->
            machine.unreleasedAssignments.values.count { it.runningSince != null }
        }
        assertTrue(running > started * 9 / 10, "$running of $started run again")
    }

    private companion object {
        const val JOBS = 56
        const val TASKS = 150
        const val ALL_TASKS = JOBS * TASKS
    }
}
