package mountmast.coordination.controller

import kotlinx.serialization.encodeToString
import mountmast.protocol.JobId
import mountmast.protocol.JobStatus
import mountmast.protocol.StateLimits
import mountmast.protocol.TeamId
import mountmast.protocol.WireJson
import mountmast.standin.ControllerHost
import mountmast.standin.FallingLimits
import mountmast.standin.NodeVersion
import mountmast.standin.SimulatedCluster
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/**
 * Nodes of the version in production and of this one work side by side and on each other's data, in virtual time. A model of
 * production's reading and writing stands for its nodes; it fails where it meets what production would misread. The rules are
 * checked after each step.
 */
class UpgradeTest {
    private fun worlds(seeds: LongRange, quiet: Boolean = true, limits: FallingLimits = FallingLimits(), act: SimulatedCluster.() -> Unit) =
        seeds.forEach { seed ->
            val world = SimulatedCluster(
                seed,
                isNetworkReliable = quiet,
                machinesPerOffering = 8,
                limits = limits,
                version = NodeVersion.PRODUCTION,
            )
            try {
                world.act()
            } catch (e: Throwable) {
                throw AssertionError("seed $seed at ${world.time.now} ms: ${e.message}", e)
            }
        }

    private fun SimulatedCluster.leading(): ControllerHost? = hosts.filter { it.controller?.leaderTerm() != null }
        .maxByOrNull { checkNotNull(it.controller?.leaderTerm()).leaderLease.token.number }

    private fun ControllerHost.upgrade(downMs: Long = 2000) {
        version = NodeVersion.CURRENT
        crash(downMs)
    }

    private fun SimulatedCluster.areAllCurrent() = hosts.all { it.controller?.formats?.isCurrent == true }

    private fun SimulatedCluster.runUntil(mostMs: Long, what: String, reached: () -> Boolean) {
        val until = time.now + mostMs
        while (!reached()) {
            assertTrue(time.now < until, "$what: not within $mostMs ms")
            run(100, busy = false)
        }
    }

    /** All of [ids] end; on busy days users cancel some of them. */
    private fun SimulatedCluster.finish(ids: Collection<JobId>, mostMs: Long = 200_000, isBusy: Boolean = false) =
        runUntil(mostMs, "all over") { ids.all { id -> poll(id).let { it == JobStatus.DONE || (isBusy && it == JobStatus.CANCELLED) } } }

    /** Jobs whose numbers random ones never take. */
    private fun SimulatedCluster.longJobs(numbers: IntRange, runS: Double) = numbers.map { number ->
        accept(plainJob(FIRST_NUMBER + number) { it.copy(team = TeamId("free"), cpus = 1.0, memoryGb = 2.0, estimateS = runS) })
    }

    /** So small that the forms which only this version reads would be used, if they were agreed on. */
    private val smallValues = FallingLimits(StateLimits(80.0, 30.0, 1.0, 8))

    @Test
    fun `nodes are exchanged one by one with the cluster full, and no task is lost or started again`() =
        worlds(1L..8L, limits = smallValues) {
            val jobs = longJobs(1..12, runS = 60.0)
            runUntil(60_000, "all tasks run") { jobs.sumOf { invariants.runningTaskCountOf(it) } == 48 }
            for (host in hosts) {
                host.upgrade()
                run(7000, busy = false)
                assertEquals(hosts.last().version == NodeVersion.CURRENT, host === hosts.last())
            }
            runUntil(15_000, "agreement") { areAllCurrent() }
            finish(jobs)
            assertEquals(48, jobs.sumOf { invariants.startCountOf(it) }, "tasks were started again")
        }

    @Test
    fun `no new form is written, and nothing new accepted, while a node of production is left`() = worlds(11L..14L) {
        val first = longJobs(1..1, runS = 30.0).single()
        hosts.take(2).forEach {
            it.upgrade()
            run(8000, busy = false)
        }
        run(20_000, busy = false)
        assertFalse(hosts.any { it.version == NodeVersion.CURRENT && checkNotNull(it.controller).formats.isCurrent })
        val dependent = plainJob(FIRST_NUMBER + 2) { it.copy(prerequisites = listOf(first)) }
        for (host in hosts.take(2)) {
            val body = WireJson.encodeToString(dependent)
            val refused = checkNotNull(host.controller).users.submit(body, isForwarded = false)
            assertEquals(503 to true, refused.status to (refused.retryAfterS > 0))
        }
        hosts.last().upgrade()
        runUntil(30_000, "agreement") { areAllCurrent() }
        accept(dependent)
        finish(listOf(first, dependent.id))
    }

    @Test
    fun `leaders of either version succeed one another, in mid-term and back, on each other's data`() =
        worlds(21L..28L, limits = smallValues) {
            val jobs = longJobs(1..10, runS = 25.0)
            run(15_000, busy = false)
            hosts[(seed % 3).toInt()].upgrade()
            val led = HashSet<NodeVersion>()
            repeat(8) { round ->
                // More starts at once than a value holds, which would be compressed if that were agreed on.
                submit(plainJob(FIRST_NUMBER + 100 + round) { it.copy(team = TeamId("free"), tasks = 40, cpus = 0.1, memoryGb = 0.1) })
                run(random.nextLong(3000, 9000), busy = true)
                val leader = leading() ?: return@repeat
                led += leader.version
                // One of the other version shall follow.
                hosts.filter { it.version == leader.version }.forEach { it.crash(if (it === leader) 9000 else 4000) }
            }
            runUntil(30_000, "a leader") { leading() != null }
            assertEquals(NodeVersion.entries.toSet(), led, "versions that led")
            finish(jobs, isBusy = true)
            hosts.forEach {
                it.upgrade()
                run(6000, busy = true)
            }
            runUntil(30_000, "agreement") { areAllCurrent() }
            finish(jobs, isBusy = true)
        }

    @Test
    fun `requests forwarded between versions arrive and are answered whole`() = worlds(31L..33L) {
        val job = longJobs(1..1, runS = 60.0).single()
        hosts[0].upgrade()
        run(8000, busy = false)
        for (cut in hosts) {
            cut.faults.storeRefusedUntil = time.now + 6000
            run(4000, busy = false)
            assertEquals(200, checkNotNull(cut.controller).users.status(job.text, isForwarded = false).status, "${cut.name}")
            run(6000, busy = false)
        }
        finish(listOf(job))
    }

    @Test
    fun `a process that ends before its turn comes back old, leads, and is exchanged later`() = worlds(41L..46L) {
        val jobs = longJobs(1..8, runS = 20.0)
        run(12_000, busy = false)
        hosts[0].upgrade()
        run(6000, busy = false)
        hosts[1].crash(300)
        hosts[0].crash(8000)
        run(8000, busy = true)
        assertEquals(NodeVersion.PRODUCTION, runUntilLeader().version)
        run(5000, busy = true)
        hosts.drop(1).forEach {
            it.upgrade()
            run(5000, busy = true)
        }
        runUntil(40_000, "agreement") { areAllCurrent() }
        finish(jobs, isBusy = true)
    }

    private fun SimulatedCluster.runUntilLeader(): ControllerHost {
        runUntil(30_000, "a leader") { leading() != null }
        return checkNotNull(leading())
    }

    @Test
    fun `cancellations, an outage, a cut, late writes and a crash of the node being exchanged meet the upgrade`() {
        worlds(51L..70L, quiet = false) {
            run(20_000, busy = true)
            for (host in hosts.shuffled(random)) {
                disturb(host)
                run(random.nextLong(200, 4000), busy = true)
                host.upgrade(random.nextLong(200, 4000))
                run(random.nextLong(2000, 9000), busy = true)
                if (random.nextBoolean()) host.crash(random.nextLong(50, 3000))
                injectRandomFault()
                run(random.nextLong(2000, 9000), busy = true)
            }
            settle()
        }
    }

    private fun SimulatedCluster.disturb(host: ControllerHost) {
        when (random.nextInt(6)) {
            0 -> store.startOutage(random.nextLong(2000, 20_000))
            1 -> faultInjector.injectLeaderRefusalThenOutage(random.nextLong(500, 3000), random.nextLong(3000, SimulatedCluster.CANCEL_MS))
            2 -> partitionZone(zones.random(random), random.nextLong(3000, 20_000))
            3 -> hosts.forEach { it.faults.lateWritesUntil = time.now + 20_000 }
            4 -> host.faults.killAtNextRequest = true
            else -> cancelOnTaskCompletion(15_000)
        }
    }

    /** After all troubles every job gets done, and every node learns that all are current. */
    private fun SimulatedCluster.settle() {
        invariants.faultFreeSince = time.now + 2 * SimulatedCluster.CANCEL_MS + 5000
        cancelServices()
        run(100_000, busy = false)
        runUntil(60_000, "agreement") { areAllCurrent() }
        repeat(12) { if (unfinishedJobs().any { poll(it)?.isFinal != true }) run(50_000, busy = false) }
        assertTrue(invariants.startCount > 0, "nothing_ran")
        assertEquals(emptyList<JobId>(), unfinishedJobs().filter { poll(it)?.isFinal != true }, "jobs that never got done")
    }

    @Test
    fun `what production wrote at its limits stays readable when they fall after the exchange`() {
        val limits = FallingLimits(StateLimits(80.0, 40.0, 8.0, 16), StateLimits(80.0, 21.0, 2.0, 5), fallsAtMs = 60_000)
        worlds(81L..86L, limits = limits) {
            val jobs = longJobs(1..14, runS = 70.0)
            run(25_000, busy = true)
            hosts.forEach {
                it.upgrade(500)
                run(5000, busy = true)
            }
            run(30_000, busy = true)
            runUntil(30_000, "agreement") { areAllCurrent() }
            leading()?.crash(500)
            run(20_000, busy = true)
            assertEquals(0, store.oversizedTransactions, "transactions refused as too large")
            finish(jobs, isBusy = true)
        }
    }

    @Test
    fun `two processes at a time are exchanged in the middle of a pipeline that was accepted before`() = worlds(91L..96L) {
        hosts.forEach {
            it.upgrade(300)
            run(4000, busy = false)
        }
        runUntil(30_000, "agreement") { areAllCurrent() }
        val first = longJobs(1..1, runS = 15.0).single()
        val second = accept(plainJob(FIRST_NUMBER + 2) { it.copy(prerequisites = listOf(first)) })
        val third = accept(plainJob(FIRST_NUMBER + 3) { it.copy(prerequisites = listOf(second)) })
        repeat(3) {
            hosts.shuffled(random).take(2).forEach { it.crash(random.nextLong(200, 3000)) }
            run(6000, busy = false)
        }
        finish(listOf(first, second, third))
    }

    private companion object {
        const val FIRST_NUMBER = 5000
    }
}
