package mountmast.coordination.controller

import mountmast.standin.DayDigest
import mountmast.standin.SimulatedCluster
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotEquals
import org.junit.jupiter.api.Test
import java.io.File
import java.io.Writer

/** Simulated days are reproducible, so that a changed digest shows that a change of the sources changed behaviour. */
class DayDigestTest {
    private class DayResult(val digest: String, val events: Int)

    /** Simulates the day of [seed] for at least [ms] after its calm start: without failures for odd seeds, with failures for even ones. */
    private fun simulateDay(seed: Long, ms: Long, trace: Appendable? = null): DayResult {
        val isQuiet = seed % 2 == 1L
        val world = SimulatedCluster(seed, isQuiet)
        val digest = DayDigest(trace)
        world.time.digest = digest
        world.run(CALM_START_MS, busy = true)
        val until = world.time.now + ms
        while (world.time.now < until) {
            if (!isQuiet) world.injectRandomFault()
            world.run(world.random.nextLong(50, 3000), busy = true)
            if (!isQuiet) world.injectRandomFault()
            world.run(world.random.nextLong(2000, 15_000), busy = true)
        }
        world.run(CALM_END_MS, busy = false)
        return DayResult(digest.finish(), digest.events)
    }

    @Test
    fun `a seed gives the same day each time`() = listOf(1L, 2L).forEach { seed ->
        val first = simulateDay(seed, SHORT_DAY_MS)

        val second = simulateDay(seed, SHORT_DAY_MS)

        assertEquals(first.digest, second.digest, "seed $seed")
        assertEquals(first.events, second.events, "seed $seed")
    }

    @Test
    fun `two seeds give different days`() {
        assertNotEquals(simulateDay(1, SHORT_DAY_MS).digest, simulateDay(3, SHORT_DAY_MS).digest)
        assertNotEquals(simulateDay(2, SHORT_DAY_MS).digest, simulateDay(4, SHORT_DAY_MS).digest)
    }

    /**
     * Prints the digests of the seeds that `-Dmountmast.digests=FIRST-LAST` names; does nothing without that property.
     * `-Dmountmast.digestTrace=FILE` also writes every event to that file.
     */
    @Test
    fun `digests of the requested seeds are printed`() {
        val (first, last) = System.getProperty("mountmast.digests")?.split('-')?.map(String::toLong) ?: return
        val trace = System.getProperty("mountmast.digestTrace")?.let { File(it).bufferedWriter() } ?: Writer.nullWriter()
        trace.use {
            for (seed in first..last) {
                trace.append("seed $seed\n")
                val result = simulateDay(seed, DAY_MS, trace)
                println("digest $seed ${result.digest} events=${result.events}")
            }
        }
    }

    private companion object {
        const val CALM_START_MS = 15_000L
        const val SHORT_DAY_MS = 20_000L
        const val DAY_MS = 50_000L
        const val CALM_END_MS = 10_000L
    }
}
