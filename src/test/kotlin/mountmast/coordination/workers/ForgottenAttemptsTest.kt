package mountmast.coordination.workers

import mountmast.protocol.CommandRequest
import mountmast.protocol.CommandType
import mountmast.protocol.JobId
import mountmast.protocol.JobSpec
import mountmast.protocol.TaskState
import mountmast.protocol.TeamId
import mountmast.protocol.TypeId
import mountmast.standin.SimulatedCluster
import mountmast.standin.SimulatedWorker
import mountmast.standin.daySeeds
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/**
 * A worker is made to forget an attempt only when no request that may still arrive can start it again, however many attempts have exited
 * on its machine (docs/incidents/review-1.md). [SimulatedCluster] checks the rules after each step.
 */
class ForgottenAttemptsTest {
    /** A cluster in which every direct request that carried a start can be sent again. */
    private class Scenario(val world: SimulatedCluster) {
        private val executedRequests = ArrayList<Pair<SimulatedWorker, CommandRequest>>()

        init {
            world.network.onCommandsExecuted = { worker, request ->
                if (request.commands.any { it.type == CommandType.START }) executedRequests += worker to request
            }
        }

        /** Accepts a job of [tasks] tasks that fit on one machine together. */
        fun acceptSmallTasks(number: Int, tasks: Int = MANY_TASKS, change: (JobSpec) -> JobSpec = { it }): JobId = world.accept(
            world.plainJob(number) {
                change(
                    it.copy(
                        team = TeamId("free"),
                        types = listOf(TypeId("l")),
                        tasks = tasks,
                        cpus = 0.05,
                        memoryGb = 0.1,
                        imageGb = 0.0,
                        estimateS = 300.0,
                    ),
                )
            },
        )

        /** Runs until [count] tasks of [id] run, and returns the one machine that runs them. */
        fun awaitOnOneMachine(id: JobId, count: Int = MANY_TASKS): SimulatedWorker {
            awaitRunning(id, count)
            return world.cloud.workers.single { worker -> worker.hasRunningTasks && worker.heartbeat().tasks.any { id.text in it.task } }
        }

        fun awaitRunning(id: JobId, count: Int) {
            repeat(600) { if (world.invariants.runningTaskCountOf(id) < count) world.run(100, busy = false) }
            assertEquals(count, world.invariants.runningTaskCountOf(id), "running tasks of $id")
        }

        /** Sends again to each worker every request with a start that it executed. */
        fun repeatExecutedRequests() = executedRequests.toList().forEach { (worker, request) ->
            if (worker.isAlive) worker.execute(request.token, request.incarnation, request.commands)
        }

        fun leaderHost() = world.hosts.first { it.controller?.leaderTerm() != null }
    }

    private fun forEachSeed(isNetworkReliable: Boolean = true, seeds: LongRange = 1L..4L, test: Scenario.() -> Unit) =
        seeds.forEach { seed ->
            val world = SimulatedCluster(seed, isNetworkReliable)
            try {
                Scenario(world).test()
            } catch (e: Throwable) {
                throw AssertionError("seed $seed at ${world.time.now} ms: ${e.message}", e)
            }
        }

    private fun exitedCount(worker: SimulatedWorker) = worker.heartbeat().tasks.count { it.state == TaskState.EXITED }

    /**
     * Waits until the tasks of the cancelled job [id] must be gone from [worker], which goes on with [other], crashes the leader, and
     * checks that repeated requests start none of them.
     */
    private fun Scenario.assertRepeatsStartNothing(id: JobId, other: JobId, worker: SimulatedWorker) {
        world.run(SimulatedCluster.CANCEL_MS + 5000, busy = false)
        assertEquals(1, world.invariants.runningTaskCountOf(other), "the machine is still in use")
        assertTrue(exitedCount(worker) <= REMEMBERED_ATTEMPTS, "the worker lists ${exitedCount(worker)} exited attempts")
        val startsBefore = world.invariants.startCountOf(id)
        leaderHost().crash(4000)
        repeatExecutedRequests()
        world.run(10_000, busy = false)
        assertEquals(startsBefore, world.invariants.startCountOf(id), "starts of the cancelled job")
    }

    /** Guards against ran_cancelled: more attempts than a worker remembers were cancelled, and a request that started them is repeated. */
    @Test
    fun `a repeated start runs no task of a large job that was cancelled, even after its leader has crashed`() = forEachSeed {
        val other = acceptSmallTasks(1, tasks = 1)
        val id = acceptSmallTasks(2)
        val worker = awaitOnOneMachine(id)
        assertEquals(200, world.cancel(id))
        assertRepeatsStartNothing(id, other, worker)
    }

    /** Guards against ran_twice: more attempts than a worker remembers failed, and their start is repeated beside the next attempts. */
    @Test
    fun `a repeated start runs no attempt that has failed beside the next attempt`() = forEachSeed {
        val other = acceptSmallTasks(1, tasks = 1)
        val faulty = awaitOnOneMachine(other, count = 1)
        faulty.failsAllTasks = true
        val id = acceptSmallTasks(2)
        awaitRunning(id, MANY_TASKS)
        assertTrue(faulty.isAlive, "the faulty machine was not returned yet")
        repeatExecutedRequests()
        world.run(10_000, busy = false)
    }

    /** Guards against ran_twice: more attempts than a worker remembers were stopped to run elsewhere, and their start is repeated. */
    @Test
    fun `a repeated start runs no attempt that was stopped beside the next attempt`() = forEachSeed {
        // The large task leaves too little room on its machine for the others, until it is cancelled.
        val large = acceptSmallTasks(1, tasks = 1) { it.copy(cpus = 15.97) }
        awaitRunning(large, 1)
        val id = acceptSmallTasks(2)
        val first = awaitOnOneMachine(id)
        world.cloud.startOutage(60_000)
        first.noticeEndsAt = world.time.now + 60_000
        assertEquals(200, world.cancel(large))
        repeat(600) { if (first.hasRunningTasks || world.invariants.runningTaskCountOf(id) < MANY_TASKS) world.run(50, busy = false) }
        assertEquals(MANY_TASKS, world.invariants.runningTaskCountOf(id), "tasks that run elsewhere")
        assertTrue(first.isAlive && !first.hasRunningTasks, "the machine was cleared and is still there")
        repeatExecutedRequests()
        world.run(10_000, busy = false)
    }

    /** Guards against ran_cancelled after an election: the next leader has attempts forgotten that it did not start. */
    @Test
    fun `a repeated start of an earlier leader runs no attempt that its successor had forgotten`() = forEachSeed {
        val other = acceptSmallTasks(1, tasks = 1)
        val id = acceptSmallTasks(2)
        val worker = awaitOnOneMachine(id)
        leaderHost().crash(4000)
        world.run(500, busy = false)
        repeat(100) { if (world.cancel(id) != 200) world.run(100, busy = false) }
        assertRepeatsStartNothing(id, other, worker)
    }

    /** Guards against ran_cancelled after a worker's restart: its new incarnation knows none of the attempts that it ran before. */
    @Test
    fun `a repeated start for an earlier incarnation of the worker runs nothing`() = forEachSeed {
        val id = acceptSmallTasks(1)
        val worker = awaitOnOneMachine(id)
        assertEquals(200, world.cancel(id))
        world.run(5000, busy = false)
        worker.reboot()
        val startsBefore = world.invariants.startCountOf(id)
        repeatExecutedRequests()
        assertEquals(startsBefore, world.invariants.startCountOf(id), "starts of the cancelled job")
    }

    /** Guards against heartbeats that grow without end: attempts completed whose start got no answer, so that it may still arrive. */
    @Test
    fun `completed attempts whose start got no answer do not pile up in the heartbeats of their worker`() = forEachSeed {
        val other = acceptSmallTasks(1, tasks = 1)
        val worker = awaitOnOneMachine(other, count = 1)
        repeat(4) { round ->
            world.holdCommands(worker, 1500)
            val id = acceptSmallTasks(2 + round) { it.copy(estimateS = 1.0) }
            world.run(8000, busy = false)
            assertNotEquals(0, world.invariants.startCountOf(id), "tasks of $id started")
        }
        world.run(10_000, busy = false)
        assertTrue(world.network.delayedCommands > 0, "no start went without an answer")
        assertTrue(exitedCount(worker) <= REMEMBERED_ATTEMPTS, "the worker lists ${exitedCount(worker)} exited attempts")
    }

    /** Guards against both on random days: jobs of many small tasks are cancelled while requests are repeated and faults overlap. */
    @Test
    fun `requests repeated at any time break no rule on random days with many small tasks`() =
        forEachSeed(isNetworkReliable = false, seeds = daySeeds(10)) {
            world.run(20_000, busy = false)
            val ids = ArrayList<JobId>()
            repeat(8) { round ->
                ids += acceptSmallTasks(FIRST_JOB_NUMBER + round, tasks = world.random.nextInt(40, 120))
                world.run(world.random.nextLong(3000, 9000), busy = true)
                if (world.random.nextBoolean()) world.cancel(ids.random(world.random))
                world.injectRandomFault()
                repeat(6) {
                    world.run(world.random.nextLong(200, 2500), busy = true)
                    repeatExecutedRequests()
                }
            }
        }

    private companion object {
        /** More tasks than a worker remembers exited attempts. */
        const val MANY_TASKS = 100
        const val REMEMBERED_ATTEMPTS = 64

        /** Above the numbers of the randomly drawn jobs. */
        const val FIRST_JOB_NUMBER = 500_000
    }
}
