package mountmast.coordination.controller

import mountmast.protocol.JobId
import mountmast.protocol.JobSpec
import mountmast.protocol.JobStatus
import mountmast.protocol.Shape
import mountmast.standin.SimulatedCluster
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Jobs that depend on others, in a whole deployment in virtual time. The rules are checked after each step. */
class PipelinesTest {
    private val seeds = 1L..6L

    private fun worlds(act: SimulatedCluster.() -> Unit) = seeds.forEach { seed ->
        val world = SimulatedCluster(seed, isNetworkReliable = true)
        try {
            world.act()
        } catch (e: Throwable) {
            throw AssertionError("seed $seed at ${world.time.now} ms: ${e.message}", e)
        }
    }

    private fun SimulatedCluster.stage(number: Int, needs: List<JobId> = emptyList(), change: (JobSpec) -> JobSpec = { it }): JobId =
        accept(plainJob(number) { change(it.copy(estimateS = 2.0, tasks = 2, prerequisites = needs)) })

    private fun SimulatedCluster.leader() = hosts.first { it.controller?.leaderTerm() != null }

    private fun SimulatedCluster.runUntil(mostMs: Long, reached: () -> Boolean) {
        val until = time.now + mostMs
        while (!reached()) {
            assertTrue(time.now < until, "not reached within $mostMs ms")
            run(100, busy = false)
        }
    }

    private fun SimulatedCluster.finish(jobs: Collection<JobId>, mostMs: Long = 120_000) =
        runUntil(mostMs) { jobs.all { poll(it)?.isFinal == true } }

    @Test
    fun `a diamond runs stage by stage, each right after the one before`() = worlds {
        val first = stage(1)
        val middle = listOf(stage(2, listOf(first)), stage(3, listOf(first)))
        val last = stage(4, middle)
        finish(listOf(first, last) + middle)
        (middle + first + last).forEach { assertEquals(JobStatus.DONE, poll(it)) }
        // Four stages of some seconds each; waiting for a timer after each would show.
        assertTrue(
            checkNotNull(invariants.firstStartDelayMs(last)) < 45_000,
            "the last began after ${invariants.firstStartDelayMs(last)} ms",
        )
    }

    @Test
    fun `dependents of a cancelled job are cancelled with it, on every node`() = worlds {
        val first = stage(1) { it.copy(estimateS = 300.0) }
        val second = stage(2, listOf(first))
        val third = stage(3, listOf(second))
        run(5000, busy = false)
        assertEquals(200, cancel(first))
        for (host in hosts) for (id in listOf(second, third)) assertEquals(JobStatus.CANCELLED, poll(id, host))
        val late = stage(4, listOf(second))
        for (host in hosts) assertEquals(JobStatus.CANCELLED, poll(late, host))
        run(30_000, busy = false)
        for (id in listOf(second, third, late)) {
            assertEquals(JobStatus.CANCELLED, poll(id))
            assertEquals(0, invariants.startCountOf(id))
        }
    }

    @Test
    fun `cancelling a dependent leaves the jobs before it alone`() = worlds {
        val first = stage(1) { it.copy(estimateS = 10.0) }
        val second = stage(2, listOf(first))
        val third = stage(3, listOf(second))
        assertEquals(200, cancel(second))
        finish(listOf(first, second, third))
        assertEquals(listOf(JobStatus.DONE, JobStatus.CANCELLED, JobStatus.CANCELLED), listOf(first, second, third).map { poll(it) })
    }

    @Test
    fun `cancelled or done, the jobs after it follow, also when both come at the same moment`() = worlds {
        val stages = (1..5).map { number ->
            stage(2 * number) to
                stage(2 * number + 1, listOf(JobId("j-" + "${2 * number}".padStart(6, '0'))))
        }
        cancelOnTaskCompletion(60_000)
        run(60_000, busy = false)
        finish(stages.flatMap { listOf(it.first, it.second) })
        for ((first, second) in stages) {
            if (poll(first) == JobStatus.CANCELLED) assertEquals(JobStatus.CANCELLED, poll(second), "$second after $first")
        }
        assertTrue(stages.any { poll(it.first) == JobStatus.DONE } || stages.any { poll(it.first) == JobStatus.CANCELLED })
    }

    @Test
    fun `a dependent submitted on another node just as its prerequisite ends runs soon`() = worlds {
        val first = stage(1)
        runUntil(60_000) { invariants.startCountOf(first) == 2 }
        runUntil(60_000) { invariants.runningTaskCountOf(first) == 0 }
        val second = stage(2, listOf(first))
        runUntil(15_000) { invariants.startCountOf(second) > 0 }
    }

    @Test
    fun `a new leader that has not read what became of a prerequisite lets its dependents wait`() = worlds {
        val first = stage(1)
        finish(listOf(first))
        val running = stage(2) { it.copy(estimateS = 40.0) }
        val second = stage(3, listOf(first, running))
        val third = stage(4, listOf(second))
        repeat(4) {
            run(random.nextLong(1000, 6000), busy = false)
            leader().crash(random.nextLong(50, 3000))
            runUntil(30_000) { hosts.any { it.controller?.leaderTerm() != null } }
        }
        finish(listOf(running, second, third), mostMs = 240_000)
        assertEquals(JobStatus.DONE, poll(third))
    }

    @Test
    fun `the first answers after a long outage already tell what was cancelled with another`() = worlds {
        val first = stage(1) { it.copy(estimateS = 300.0) }
        val second = stage(2, listOf(first))
        val third = stage(3, listOf(second))
        run(5000, busy = false)
        // The leader learns nothing of the cancellation, so nobody writes what follows from it.
        leader().faults.storeRefusedUntil = time.now + 3000
        leader().faults.peersCutUntil = time.now + 60_000
        assertEquals(200, cancel(first, hosts.first { it !== leader() }))
        store.startOutage(SimulatedCluster.CANCEL_MS + 10_000)
        run(SimulatedCluster.CANCEL_MS + 10_000, busy = false)
        for (host in hosts) for (id in listOf(third, second)) poll(id, host)?.let { assertEquals(JobStatus.CANCELLED, it) }
        run(10_000, busy = false)
        for (id in listOf(second, third)) assertEquals(JobStatus.CANCELLED, poll(id))
    }

    @Test
    fun `jobs that can never run are refused at once, and a known one is known whatever it names`() = worlds {
        val first = stage(1)
        val service = accept(plainJob(2) { it.copy(shape = Shape.SERVICE, tasks = 1) })
        // A node that does not know the machine types, or who reads what, answers 503 until it does.
        runUntil(20_000) { hosts.all { host -> host.controller?.let { it.formats.isCurrent && it.users.isReady() } == true } }
        fun status(number: Int, needs: List<JobId>) = submit(plainJob(number) { it.copy(prerequisites = needs) })
        assertEquals(422, status(3, listOf(JobId("j-777777"))))
        assertEquals(422, status(4, listOf(first, JobId("j-000004"))))
        assertEquals(422, status(5, listOf(first, service)))
        assertEquals(200, status(1, listOf(JobId("j-777777"))))
        assertEquals(201, status(6, listOf(first, first)))
        assertNull(invariants.firstStartDelayMs(JobId("j-000003")))
    }

    @Test
    fun `a list of thousands of names is kept in parts and counts as a whole`() = worlds {
        val named = (1..150).map { number -> accept(plainJob(number) { it.copy(tasks = 1, cpus = 0.1, estimateS = 1.0) }) }
        val last = stage(900, named)
        assertTrue(store.largestValueLength < 2 * 1024, "a value of ${store.largestValueLength} bytes")
        assertEquals(JobStatus.PENDING, poll(last))
        leader().crash(100)
        finish(named + last, mostMs = 400_000)
        assertEquals(JobStatus.DONE, poll(last))
    }
}
