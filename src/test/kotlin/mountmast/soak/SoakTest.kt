package mountmast.soak

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.concurrent.Callable
import java.util.concurrent.Executors

/**
 * Runs real controller processes under randomized faults. To run more seeds by hand, four at a time:
 *
 *     mvn -B verify -DskipUnitTests -Dsoak.seeds=1-50 -Dsoak.parallel=4
 *
 * `-Dsoak.breakage=DONE_TOO_EARLY`, or another [Breakage], makes a stand-in violate its protocol; the run must then fail.
 */
class SoakTest {
    private val breakage = Breakage.valueOf(System.getProperty("soak.breakage", Breakage.NONE.name))

    @Test
    fun `no invariant breaks while controllers, links, machines and the state service fail`() {
        assertTrue(ControllerProcess.isJarBuilt, "target/mountmast.jar is missing: run this by mvn verify")
        val (first, last) = System.getProperty("soak.seeds", "1-2").split('-').map { it.toLong() }
        val pool = Executors.newFixedThreadPool(System.getProperty("soak.parallel", "2").toInt())
        val outcomes = (first..last).map { seed -> pool.submit(Callable { execute(seed) }) }.map { it.get() }
        pool.shutdown()
        val failed = outcomes.filterNotNull()
        println("soak: ${outcomes.size - failed.size} seeds passed, ${failed.size} failed")
        assertEquals(emptyList<String>(), failed)
    }

    private fun execute(seed: Long): String? {
        val size = if (seed % LARGE_SEED_INTERVAL == 0L) SoakSize.LARGE else SoakSize.SMALL
        SoakRun(seed, size, breakage).use { run ->
            val outcome = run.execute()
            println("soak seed $seed ($size): ${if (outcome == null) "passed" else "FAILED"}; ${run.summary()}")
            if (outcome != null) println(outcome)
            return outcome
        }
    }

    private companion object {
        /** Seeds that are multiples of this run with [SoakSize.LARGE]. */
        const val LARGE_SEED_INTERVAL = 5L
    }
}
