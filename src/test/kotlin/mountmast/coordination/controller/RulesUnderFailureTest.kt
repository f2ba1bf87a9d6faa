package mountmast.coordination.controller

import mountmast.standin.SimulatedCluster
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Random days in virtual time. A failing seed is printed; run it again with `-Dmountmast.seed=N`. */
class RulesUnderFailureTest {
    /** `-Dmountmast.days=N` plays more days than the build does. */
    private fun seeds(count: Int): LongRange = System.getProperty("mountmast.seed")?.toLong()?.let { it..it }
        ?: 1L..(System.getProperty("mountmast.days")?.toLong() ?: count.toLong())

    private fun day(seed: Long, quiet: Boolean, failures: Int) {
        val world = SimulatedCluster(seed, quiet)
        try {
            world.run(20_000, busy = true)
            repeat(failures) {
                // Most rules that were seen broken broke when two failures met.
                world.injectRandomFault()
                world.run(world.random.nextLong(50, 3000), busy = true)
                world.injectRandomFault()
                world.run(world.random.nextLong(2000, 20_000), busy = true)
            }
            // No failure that was drawn lasts longer; after it every job has its answer soon.
            world.invariants.faultFreeSince = world.time.now + LONGEST_FAILURE_MS
            // Replicas never end, and may hold all that their team is allowed to borrow.
            world.cancelServices()
            world.run(200_000, busy = false)
            // A slow machine that only ever ran one job's tasks is not noticed, and takes several times as long.
            repeat(8) { if (world.unfinishedJobs().any { world.poll(it)?.isFinal != true }) world.run(50_000, busy = false) }
            world.jobs.keys.forEach { world.poll(it) }
            assertTrue(world.invariants.startCount > 0, "nothing_ran")
            assertEquals(emptyList<Any>(), world.unfinishedJobs().filter { world.poll(it)?.isFinal != true }, "jobs that never got done")
            assertTrue(world.store.largestValueLength < 2 * 1024, "a value of ${world.store.largestValueLength} bytes")
        } catch (e: Throwable) {
            throw AssertionError("seed $seed at ${world.time.now} ms: ${e.message}", e)
        }
    }

    @Test
    fun `a quiet day keeps the rules and gets all work done`() = seeds(10).forEach { day(it, quiet = true, failures = 0) }

    @Test
    fun `failures of every kind, alone and together, break no rule`() = seeds(60).forEach { day(it, quiet = false, failures = 8) }

    private companion object {
        const val LONGEST_FAILURE_MS = 2 * SimulatedCluster.CANCEL_MS + 5000
    }
}
