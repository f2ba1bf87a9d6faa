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

/** Jobs with prerequisites, in a simulated deployment in virtual time. The rules are checked after each step of the simulation. */
class PipelinesTest {
    private val seeds = 1L..6L

    private fun forEachWorld(test: SimulatedCluster.() -> Unit) = seeds.forEach { seed ->
        val world = SimulatedCluster(seed, isNetworkReliable = true)
        try {
            world.test()
        } catch (e: Throwable) {
            throw AssertionError("seed $seed at ${world.time.now} ms: ${e.message}", e)
        }
    }

    private fun SimulatedCluster.stage(
        number: Int,
        prerequisites: List<JobId> = emptyList(),
        change: (JobSpec) -> JobSpec = { it },
    ): JobId = accept(plainJob(number) { change(it.copy(estimateS = 2.0, tasks = 2, prerequisites = prerequisites)) })

    private fun SimulatedCluster.leaderHost() = hosts.first { it.controller?.leaderTerm() != null }

    private fun SimulatedCluster.runUntil(timeoutMs: Long, condition: () -> Boolean) {
        val until = time.now + timeoutMs
        while (!condition()) {
            assertTrue(time.now < until, "the condition did not hold within $timeoutMs ms")
            run(100, busy = false)
        }
    }

    private fun SimulatedCluster.runUntilFinal(jobs: Collection<JobId>, timeoutMs: Long = 120_000) =
        runUntil(timeoutMs) { jobs.all { poll(it)?.isFinal == true } }

    @Test
    fun `jobs that form a diamond run one after the other without delay`() = forEachWorld {
        val first = stage(1)
        val middle = listOf(stage(2, listOf(first)), stage(3, listOf(first)))
        val last = stage(4, middle)
        runUntilFinal(listOf(first, last) + middle)
        (middle + first + last).forEach { assertEquals(JobStatus.DONE, poll(it)) }
        // Each of the four jobs takes a few seconds. If each waited for a periodic timer, the last one would start after the limit of 45 s.
        assertTrue(
            checkNotNull(invariants.firstStartDelayMs(last)) < 45_000,
            "the last job started after ${invariants.firstStartDelayMs(last)} ms",
        )
    }

    @Test
    fun `dependents of a cancelled job are cancelled with it, on every node`() = forEachWorld {
        val first = stage(1) { it.copy(estimateS = 300.0) }
        val second = stage(2, listOf(first))
        val third = stage(3, listOf(second))
        run(5000, busy = false)
        assertEquals(200, cancel(first))
        for (host in hosts) for (id in listOf(second, third)) assertEquals(JobStatus.CANCELLED, poll(id, host))
        val lateDependent = stage(4, listOf(second))
        for (host in hosts) assertEquals(JobStatus.CANCELLED, poll(lateDependent, host))
        run(30_000, busy = false)
        for (id in listOf(second, third, lateDependent)) {
            assertEquals(JobStatus.CANCELLED, poll(id))
            assertEquals(0, invariants.startCountOf(id))
        }
    }

    @Test
    fun `cancelling a dependent does not cancel its prerequisites`() = forEachWorld {
        val first = stage(1) { it.copy(estimateS = 10.0) }
        val second = stage(2, listOf(first))
        val third = stage(3, listOf(second))
        assertEquals(200, cancel(second))
        runUntilFinal(listOf(first, second, third))
        assertEquals(listOf(JobStatus.DONE, JobStatus.CANCELLED, JobStatus.CANCELLED), listOf(first, second, third).map { poll(it) })
    }

    @Test
    fun `dependents end as their prerequisite does, also if it is cancelled as it completes`() = forEachWorld {
        val stages = (1..5).map { number ->
            stage(2 * number) to
                stage(2 * number + 1, listOf(JobId("j-" + "${2 * number}".padStart(6, '0'))))
        }
        cancelOnTaskCompletion(60_000)
        run(60_000, busy = false)
        runUntilFinal(stages.flatMap { listOf(it.first, it.second) })
        for ((first, second) in stages) {
            if (poll(first) == JobStatus.CANCELLED) assertEquals(JobStatus.CANCELLED, poll(second), "$second after $first")
        }
        assertTrue(stages.any { poll(it.first) == JobStatus.DONE } || stages.any { poll(it.first) == JobStatus.CANCELLED })
    }

    @Test
    fun `a dependent submitted on another node just as its prerequisite ends runs soon`() = forEachWorld {
        val first = stage(1)
        runUntil(60_000) { invariants.startCountOf(first) == 2 }
        runUntil(60_000) { invariants.runningTaskCountOf(first) == 0 }
        val second = stage(2, listOf(first))
        runUntil(15_000) { invariants.startCountOf(second) > 0 }
    }

    @Test
    fun `a new leader lets dependents wait until it has read the outcome of their prerequisites`() = forEachWorld {
        val first = stage(1)
        runUntilFinal(listOf(first))
        val running = stage(2) { it.copy(estimateS = 40.0) }
        val second = stage(3, listOf(first, running))
        val third = stage(4, listOf(second))
        repeat(4) {
            run(random.nextLong(1000, 6000), busy = false)
            leaderHost().crash(random.nextLong(50, 3000))
            runUntil(30_000) { hosts.any { it.controller?.leaderTerm() != null } }
        }
        runUntilFinal(listOf(running, second, third), timeoutMs = 240_000)
        assertEquals(JobStatus.DONE, poll(third))
    }

    @Test
    fun `the first answers after a long outage report the dependents of a cancelled job as cancelled`() = forEachWorld {
        val first = stage(1) { it.copy(estimateS = 300.0) }
        val second = stage(2, listOf(first))
        val third = stage(3, listOf(second))
        run(5000, busy = false)
        // The leader does not learn of the cancellation, so no node writes that the dependents are cancelled as well.
        leaderHost().faults.storeRefusedUntil = time.now + 3000
        leaderHost().faults.peersCutUntil = time.now + 60_000
        assertEquals(200, cancel(first, hosts.first { it !== leaderHost() }))
        store.startOutage(SimulatedCluster.CANCEL_MS + 10_000)
        run(SimulatedCluster.CANCEL_MS + 10_000, busy = false)
        for (host in hosts) for (id in listOf(third, second)) poll(id, host)?.let { assertEquals(JobStatus.CANCELLED, it) }
        run(10_000, busy = false)
        for (id in listOf(second, third)) assertEquals(JobStatus.CANCELLED, poll(id))
    }

    @Test
    fun `jobs that can never run are rejected, and a resubmitted job is accepted whatever prerequisites it names`() = forEachWorld {
        val first = stage(1)
        val service = accept(plainJob(2) { it.copy(shape = Shape.SERVICE, tasks = 1) })
        // A node answers 503 until it knows the machine types and which formats the other nodes read.
        runUntil(20_000) { hosts.all { host -> host.controller?.let { it.formats.isCurrent && it.users.isReady() } == true } }
        fun submitWith(number: Int, prerequisites: List<JobId>) = submit(plainJob(number) { it.copy(prerequisites = prerequisites) })
        assertEquals(422, submitWith(3, listOf(JobId("j-777777"))))
        assertEquals(422, submitWith(4, listOf(first, JobId("j-000004"))))
        assertEquals(422, submitWith(5, listOf(first, service)))
        assertEquals(200, submitWith(1, listOf(JobId("j-777777"))))
        assertEquals(201, submitWith(6, listOf(first, first)))
        assertNull(invariants.firstStartDelayMs(JobId("j-000003")))
    }

    @Test
    fun `a long list of prerequisites is stored in parts and counts as a whole`() = forEachWorld {
        val prerequisites = (1..150).map { number -> accept(plainJob(number) { it.copy(tasks = 1, cpus = 0.1, estimateS = 1.0) }) }
        val last = stage(900, prerequisites)
        assertTrue(store.largestValueLength < 2 * 1024, "a value of ${store.largestValueLength} bytes")
        assertEquals(JobStatus.PENDING, poll(last))
        leaderHost().crash(100)
        runUntilFinal(prerequisites + last, timeoutMs = 400_000)
        assertEquals(JobStatus.DONE, poll(last))
    }
}
