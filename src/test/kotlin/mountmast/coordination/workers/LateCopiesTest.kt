package mountmast.coordination.workers

import mountmast.protocol.CommandRequest
import mountmast.protocol.CommandType
import mountmast.protocol.JobId
import mountmast.protocol.TeamId
import mountmast.protocol.TypeId
import mountmast.standin.SimulatedCluster
import mountmast.standin.SimulatedWorker
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.Arguments
import org.junit.jupiter.params.provider.MethodSource
import java.util.stream.Stream

/**
 * A late copy of a start command that was carried out and answered reaches its machine again after a controller or the machine came back
 * (docs/design.md, "Late copies of start commands"). [SimulatedCluster] checks the rules after each step.
 */
class LateCopiesTest {
    /** What became of the tasks that the copied command had started. */
    enum class Earlier { MOVED, CANCELLED, FAILED }

    /** What came back before the copy arrives. */
    enum class Returned { CONTROLLER, MACHINE_WITH_MEMORY, MACHINE_AFTER_ITS_LEASE, WORKER_WITHOUT_MEMORY }

    /** Whether the copy arrives before or after the first heartbeat of the machine that is answered afterwards. */
    enum class Arrival { BEFORE_ANSWER, AFTER_ANSWER }

    /** A cluster that keeps the start requests that each worker executed. */
    private class Scenario(val world: SimulatedCluster) {
        private val executed = ArrayList<Pair<SimulatedWorker, CommandRequest>>()

        init {
            world.network.onCommandsExecuted = { worker, request ->
                if (request.commands.any { it.type == CommandType.START }) executed += worker to request
            }
        }

        fun accept(number: Int, tasks: Int, cpus: Double = 0.05): JobId = world.accept(
            world.plainJob(number) {
                it.copy(
                    team = TeamId("free"),
                    types = listOf(TypeId("l")),
                    tasks = tasks,
                    cpus = cpus,
                    memoryGb = 0.1,
                    imageGb = 0.0,
                    estimateS = 600.0,
                )
            },
        )

        fun runUntil(what: String, condition: () -> Boolean) {
            repeat(1200) { if (!condition()) world.run(50, busy = false) }
            assertTrue(condition(), what)
        }

        fun awaitRunning(id: JobId, count: Int) = runUntil("$count tasks of $id run") { world.invariants.runningTaskCountOf(id) == count }

        fun workerOf(id: JobId) = world.cloud.workers.single { worker -> worker.heartbeat().tasks.any { id.text in it.task } }

        /** The requests by which [worker] was told to start tasks of [id]. */
        fun startsOf(id: JobId, worker: SimulatedWorker): List<CommandRequest> =
            executed.filter { it.first === worker }.map { it.second }.filter { request -> request.commands.any { id.text in it.task } }

        /** Has the tasks of a new job started on a machine and then [earlier] end there; returns the job and the machine's worker. */
        fun startAndEnd(earlier: Earlier): Pair<JobId, SimulatedWorker> {
            val id = JobId("j-000002")
            // The first job leaves too little room on its machine for the second, until it is cancelled.
            val first = accept(1, tasks = 1, cpus = if (earlier == Earlier.MOVED) 15.97 else 0.05)
            awaitRunning(first, 1)
            val firstWorker = workerOf(first)
            if (earlier == Earlier.FAILED) firstWorker.failsAllTasks = true
            accept(2, TASKS)
            if (earlier == Earlier.FAILED) runUntil("a task failed") { startsOf(id, firstWorker).isNotEmpty() }
            awaitRunning(id, TASKS)
            // The machines stay.
            world.cloud.startOutage(600_000)
            when (earlier) {
                Earlier.CANCELLED -> {
                    assertEquals(200, world.cancel(id))
                    awaitRunning(id, 0)
                    return id to firstWorker
                }
                Earlier.FAILED -> {
                    firstWorker.failsAllTasks = false
                    return id to firstWorker
                }
                Earlier.MOVED -> {
                    val worker = workerOf(id)
                    worker.noticeEndsAt = world.time.now + 60_000
                    assertEquals(200, world.cancel(first))
                    runUntil("the tasks moved") { !worker.hasRunningTasks && world.invariants.runningTaskCountOf(id) == TASKS }
                    return id to worker
                }
            }
        }

        fun comeBack(returned: Returned, worker: SimulatedWorker) {
            when (returned) {
                Returned.CONTROLLER -> world.hosts.first { it.controller?.leaderTerm() != null }.crash(300)
                Returned.MACHINE_WITH_MEMORY -> {
                    worker.hangUntil = world.time.now + 1000
                    world.run(1000, busy = false)
                }
                Returned.MACHINE_AFTER_ITS_LEASE -> worker.reboot()
                Returned.WORKER_WITHOUT_MEMORY -> restartWithoutMemory(worker)
            }
        }

        /** Restarts [worker], which is then told its first token by the answer to a heartbeat, not by a command of its leader. */
        fun restartWithoutMemory(worker: SimulatedWorker) {
            worker.restartWithoutMemory()
            worker.directCommandsCutUntil = world.time.now + 3000
        }
    }

    private fun forEachSeed(test: Scenario.() -> Unit) = (1L..3L).forEach { seed ->
        val world = SimulatedCluster(seed, isNetworkReliable = true)
        try {
            Scenario(world).test()
        } catch (e: Throwable) {
            throw AssertionError("seed $seed at ${world.time.now} ms: ${e.message}", e)
        }
    }

    /** Guards against ran_twice and ran_cancelled by a copy, in each meeting but the one that the protocol leaves to no one. */
    @ParameterizedTest(name = "{1} came back, tasks {0}, copy {2}")
    @MethodSource("meetings")
    fun `a late copy of a start starts nothing`(earlier: Earlier, returned: Returned, arrival: Arrival) = forEachSeed {
        val (id, worker) = startAndEnd(earlier)
        val copies = startsOf(id, worker)
        assertTrue(copies.isNotEmpty(), "no start was sent directly")
        comeBack(returned, worker)
        if (arrival == Arrival.AFTER_ANSWER) {
            world.run(3000, busy = false)
            runUntil("the worker saw a token") { worker.hasSeenToken }
            runUntil("a leader") { world.hosts.any { it.controller?.leaderTerm() != null } }
        }
        val startsBefore = world.invariants.startCountOf(id)
        repeat(3) {
            for (copy in copies) worker.execute(copy.token, copy.incarnation, copy.commands)
            world.run(200, busy = false)
        }
        assertEquals(startsBefore, world.invariants.startCountOf(id), "starts by copies")
        world.run(30_000, busy = false)
        assertEquals(if (earlier == Earlier.CANCELLED) 0 else TASKS, world.invariants.runningTaskCountOf(id), "running at the end")
    }

    /** Guards against: tasks that nobody starts again, as the heartbeats of a worker that lost its memory look older than those before. */
    @Test
    fun `the tasks of a worker that restarted without its memory run again`() = forEachSeed {
        val id = accept(1, TASKS)
        awaitRunning(id, TASKS)
        val worker = workerOf(id)
        worker.restartWithoutMemory()
        assertEquals(0, world.invariants.runningTaskCountOf(id))
        awaitRunning(id, TASKS)
    }

    /** The gap that the protocol leaves to no one: such a worker has no memory, and no controller can have told it a token yet. */
    @Test
    fun `a worker that restarted without its memory accepts a late copy until its first heartbeat is answered`() = forEachSeed {
        val (id, worker) = startAndEnd(Earlier.CANCELLED)
        val copy = startsOf(id, worker).first()
        restartWithoutMemory(worker)
        assertTrue(worker.execute(copy.token, copy.incarnation, emptyList()), "the copy without its commands")
        restartWithoutMemory(worker)
        runUntil("the worker saw a token") { worker.hasSeenToken }
        assertFalse(worker.execute(copy.token, copy.incarnation, emptyList()))
    }

    companion object {
        private const val TASKS = 3

        @JvmStatic
        fun meetings(): Stream<Arguments> = Earlier.entries.flatMap { earlier ->
            Returned.entries.flatMap { returned -> Arrival.entries.map { Triple(earlier, returned, it) } }
        }.filterNot { (_, returned, arrival) -> returned == Returned.WORKER_WITHOUT_MEMORY && arrival == Arrival.BEFORE_ANSWER }
            .map { (earlier, returned, arrival) -> Arguments.of(earlier, returned, arrival) }.stream()
    }
}
