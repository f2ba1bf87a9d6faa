package mountmast.coordination.persistence

import mountmast.protocol.StateLimits
import mountmast.protocol.TeamId
import mountmast.standin.FallingLimits
import mountmast.standin.SimulatedCluster
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** The store's limits fall while leaders commit, with and without an announcement of the lower limits in the settings. */
class FallingLimitsTest {
    private fun createWorld(
        seed: Long,
        fallsAtMs: Long,
        isAnnounced: Boolean,
        compact: Boolean = false,
        quiet: Boolean = true,
        perOffer: Int = 4,
    ) = SimulatedCluster(
        seed,
        isNetworkReliable = quiet,
        machinesPerOffering = perOffer,
        limits = FallingLimits(BEFORE, AFTER, fallsAtMs, isAnnounced),
        negotiatesFormats = compact,
    )

    private fun runUntilAllJobsFinish(world: SimulatedCluster) {
        world.cancelServices()
        world.run(100_000, busy = false)
        repeat(12) { if (world.unfinishedJobs().any { world.poll(it)?.isFinal != true }) world.run(50_000, busy = false) }
        world.jobs.keys.forEach { world.poll(it) }
        assertTrue(world.invariants.startCount > 0, "no task was started")
        assertEquals(emptyList<Any>(), world.unfinishedJobs().filter { world.poll(it)?.isFinal != true }, "jobs that never finished")
    }

    private fun findLeaderHosts(world: SimulatedCluster) = world.hosts.filter { it.controller?.leaderTerm() != null }

    @Test
    fun `no transaction is rejected where the lower limits are announced`() {
        for (compact in listOf(false, true)) {
            val world = createWorld(171, fallsAtMs = 30_000, isAnnounced = true, compact = compact)
            world.run(70_000, busy = true)
            runUntilAllJobsFinish(world)
            assertEquals(0, world.store.oversizedTransactions)
            assertTrue(world.store.maxTransactionOps <= AFTER.transactionOps)
        }
    }

    @Test
    fun `a leader that meets lower limits by surprise writes less at a time and goes on`() {
        for (seed in 172L..176L) {
            val world = createWorld(seed, fallsAtMs = 30_000, isAnnounced = false, perOffer = 30)
            world.run(20_000, busy = true)
            repeat(30) { number -> world.accept(world.plainJob(5000 + number) { it.copy(team = TeamId("free"), tasks = 40) }) }
            world.run(40_000, busy = true)
            runUntilAllJobsFinish(world)
            assertTrue(world.store.oversizedTransactions in 1..20, "seed $seed: ${world.store.oversizedTransactions} rejected")
        }
    }

    @Test
    fun `limits fall during a failover`() {
        for (seed in 181L..188L) {
            val world = createWorld(seed, fallsAtMs = 30_000, isAnnounced = seed % 2 == 0L, compact = seed % 3 == 0L, quiet = false)
            world.run(28_500, busy = true)
            findLeaderHosts(world).forEach { it.faults.lateWritesUntil = world.time.now + 20_000 }
            world.run(1000, busy = true)
            findLeaderHosts(world).forEach { it.crash(1000) }
            world.run(40_000, busy = true)
            findLeaderHosts(world).forEach { it.crash(200) }
            world.run(20_000, busy = true)
            runUntilAllJobsFinish(world)
            assertTrue(world.store.oversizedTransactions <= 60, "seed $seed: ${world.store.oversizedTransactions} rejected")
        }
    }

    @Test
    fun `the smallest transactions and values suffice`() {
        val minimumLimits = FallingLimits(StateLimits(80.0, 16.0, 1.0, 2), enforcesRates = true)
        for (compact in listOf(false, true)) {
            val world = SimulatedCluster(190, isNetworkReliable = true, limits = minimumLimits, negotiatesFormats = compact)
            world.run(40_000, busy = true)
            runUntilAllJobsFinish(world)
            assertEquals(0, world.store.oversizedTransactions)
            assertTrue(world.store.maxTransactionOps <= 2)
        }
    }

    @Test
    fun `failures of every kind meet falling limits`() {
        for (seed in 1L..24L) {
            val world = createWorld(seed + 17_000, 40_000, isAnnounced = seed % 2 == 0L, compact = seed % 3 != 0L, quiet = false)
            try {
                world.run(20_000, busy = true)
                repeat(6) {
                    world.injectRandomFault()
                    world.run(world.random.nextLong(50, 3000), busy = true)
                    world.injectRandomFault()
                    world.run(world.random.nextLong(2000, 20_000), busy = true)
                }
                world.invariants.faultFreeSince = world.time.now + 2 * SimulatedCluster.CANCEL_MS + 5000
                world.cancelServices()
                world.run(100_000, busy = false)
                runUntilAllJobsFinish(world)
            } catch (e: Throwable) {
                throw AssertionError("seed $seed at ${world.time.now} ms: ${e.message}", e)
            }
        }
    }

    private companion object {
        val BEFORE = StateLimits(80.0, 40.0, 8.0, 16)
        val AFTER = StateLimits(80.0, 21.0, 1.5, 5)
    }
}
