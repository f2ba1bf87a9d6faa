package mountmast.coordination.controller

import mountmast.standin.SimulatedCluster
import mountmast.standin.daySeeds
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Simulates random days in virtual time. A failure names its seed; `-Dmountmast.seed=N` runs that seed alone. */
class RulesUnderFailureTest {
    private fun simulateDay(seed: Long, isQuiet: Boolean, failures: Int) {
        val world = SimulatedCluster(seed, isQuiet)
        try {
            world.run(20_000, busy = true)
            repeat(failures) {
                // Most violations of rules that were found needed two overlapping failures.
                world.injectRandomFault()
                world.run(world.random.nextLong(50, 3000), busy = true)
                world.injectRandomFault()
                world.run(world.random.nextLong(2000, 20_000), busy = true)
            }
            // No injected failure lasts longer than this; from then on every job must be answered within the time that the rules allow.
            world.invariants.faultFreeSince = world.time.now + LONGEST_FAILURE_MS
            // Tasks of services never end and may use all resources that their team may borrow, so that its other jobs would never start.
            world.cancelServices()
            world.run(200_000, busy = false)
            // A slow machine that has run tasks of only one job is not detected, and its tasks take several times as long.
            repeat(8) { if (world.unfinishedJobs().any { world.poll(it)?.isFinal != true }) world.run(50_000, busy = false) }
            world.jobs.keys.forEach { world.poll(it) }
            assertTrue(world.invariants.startCount > 0, "no task was started")
            assertEquals(emptyList<Any>(), world.unfinishedJobs().filter { world.poll(it)?.isFinal != true }, "jobs that never completed")
            assertTrue(world.store.largestValueLength < 2 * 1024, "a value of ${world.store.largestValueLength} bytes")
        } catch (e: Throwable) {
            throw AssertionError("seed $seed at ${world.time.now} ms: ${e.message}", e)
        }
    }

    @Test
    fun `a quiet day keeps the rules and gets all work done`() = daySeeds(10).forEach { simulateDay(it, isQuiet = true, failures = 0) }

    @Test
    fun `failures of every kind, alone and together, break no rule`() = daySeeds(60).forEach {
        simulateDay(it, isQuiet = false, failures = 8)
    }

    private companion object {
        const val LONGEST_FAILURE_MS = 2 * SimulatedCluster.CANCEL_MS + 5000
    }
}
