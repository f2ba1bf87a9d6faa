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
 * Nodes of the production version and of the current one run at the same time and on each other's data, in virtual time. A model of how
 * the production version reads and writes stands in for its nodes; it throws on data that the production version would misread.
 * The rules are checked after each step of the simulation.
 */
class UpgradeTest {
    private fun forEachWorld(
        seeds: LongRange,
        isQuiet: Boolean = true,
        limits: FallingLimits = FallingLimits(),
        test: SimulatedCluster.() -> Unit,
    ) = seeds.forEach { seed ->
        val world = SimulatedCluster(
            seed,
            isNetworkReliable = isQuiet,
            machinesPerOffering = 8,
            limits = limits,
            version = NodeVersion.PRODUCTION,
        )
        try {
            world.test()
        } catch (e: Throwable) {
            throw AssertionError("seed $seed at ${world.time.now} ms: ${e.message}", e)
        }
    }

    private fun SimulatedCluster.leaderHost(): ControllerHost? = hosts.filter { it.controller?.leaderTerm() != null }
        .maxByOrNull { checkNotNull(it.controller?.leaderTerm()).leaderLease.token.number }

    private fun ControllerHost.upgrade(downMs: Long = 2000) {
        version = NodeVersion.CURRENT
        crash(downMs)
    }

    private fun SimulatedCluster.areAllCurrent() = hosts.all { it.controller?.formats?.isCurrent == true }

    private fun SimulatedCluster.runUntil(timeoutMs: Long, what: String, condition: () -> Boolean) {
        val until = time.now + timeoutMs
        while (!condition()) {
            assertTrue(time.now < until, "$what: not within $timeoutMs ms")
            run(100, busy = false)
        }
    }

    /** Runs until all jobs in [ids] are done, or cancelled if [isBusy], since users cancel some of them on busy days. */
    private fun SimulatedCluster.runUntilFinal(ids: Collection<JobId>, timeoutMs: Long = 200_000, isBusy: Boolean = false) =
        runUntil(timeoutMs, "jobs final") {
            ids.all { id -> poll(id).let { it == JobStatus.DONE || (isBusy && it == JobStatus.CANCELLED) } }
        }

    /** Accepts jobs whose numbers are above those of the randomly drawn jobs. */
    private fun SimulatedCluster.longJobs(numbers: IntRange, runS: Double) = numbers.map { number ->
        accept(plainJob(FIRST_JOB_NUMBER + number) { it.copy(team = TeamId("free"), cpus = 1.0, memoryGb = 2.0, estimateS = runS) })
    }

    /** Limits so low that nodes would write the formats that only the current version reads, if all nodes had agreed on them. */
    private val smallValueLimits = FallingLimits(StateLimits(80.0, 30.0, 1.0, 8))

    @Test
    fun `nodes are upgraded one by one with the cluster full, and no task is lost or started again`() =
        forEachWorld(1L..8L, limits = smallValueLimits) {
            val jobs = longJobs(1..12, runS = 60.0)
            runUntil(60_000, "all tasks run") { jobs.sumOf { invariants.runningTaskCountOf(it) } == 48 }
            for (host in hosts) {
                host.upgrade()
                run(7000, busy = false)
                assertEquals(hosts.last().version == NodeVersion.CURRENT, host === hosts.last())
            }
            runUntil(15_000, "all nodes current") { areAllCurrent() }
            runUntilFinal(jobs)
            assertEquals(48, jobs.sumOf { invariants.startCountOf(it) }, "tasks were started again")
        }

    @Test
    fun `no new format is written and no prerequisites are accepted while a production node is left`() = forEachWorld(11L..14L) {
        val first = longJobs(1..1, runS = 30.0).single()
        hosts.take(2).forEach {
            it.upgrade()
            run(8000, busy = false)
        }
        run(20_000, busy = false)
        assertFalse(hosts.any { it.version == NodeVersion.CURRENT && checkNotNull(it.controller).formats.isCurrent })
        val dependent = plainJob(FIRST_JOB_NUMBER + 2) { it.copy(prerequisites = listOf(first)) }
        for (host in hosts.take(2)) {
            val body = WireJson.encodeToString(dependent)
            val refused = checkNotNull(host.controller).users.submit(body, isForwarded = false)
            assertEquals(503 to true, refused.status to (refused.retryAfterS > 0))
        }
        hosts.last().upgrade()
        runUntil(30_000, "all nodes current") { areAllCurrent() }
        accept(dependent)
        runUntilFinal(listOf(first, dependent.id))
    }

    @Test
    fun `leaders of both versions succeed one another on each other's data`() = forEachWorld(21L..28L, limits = smallValueLimits) {
        val jobs = longJobs(1..10, runS = 25.0)
        run(15_000, busy = false)
        hosts[(seed % 3).toInt()].upgrade()
        val leaderVersions = HashSet<NodeVersion>()
        repeat(8) { round ->
            // More starts at once than fit into one value; they would be compressed if all nodes had agreed on that format.
            submit(plainJob(FIRST_JOB_NUMBER + 100 + round) { it.copy(team = TeamId("free"), tasks = 40, cpus = 0.1, memoryGb = 0.1) })
            run(random.nextLong(3000, 9000), busy = true)
            val leader = leaderHost() ?: return@repeat
            leaderVersions += leader.version
            // All nodes of the leader's version crash, so that the next leader is of the other version.
            hosts.filter { it.version == leader.version }.forEach { it.crash(if (it === leader) 9000 else 4000) }
        }
        runUntil(30_000, "a leader") { leaderHost() != null }
        assertEquals(NodeVersion.entries.toSet(), leaderVersions, "versions of the leaders")
        runUntilFinal(jobs, isBusy = true)
        hosts.forEach {
            it.upgrade()
            run(6000, busy = true)
        }
        runUntil(30_000, "all nodes current") { areAllCurrent() }
        runUntilFinal(jobs, isBusy = true)
    }

    @Test
    fun `requests forwarded between versions and their responses arrive unchanged`() = forEachWorld(31L..33L) {
        val job = longJobs(1..1, runS = 60.0).single()
        hosts[0].upgrade()
        run(8000, busy = false)
        for (host in hosts) {
            host.faults.storeRefusedUntil = time.now + 6000
            run(4000, busy = false)
            assertEquals(200, checkNotNull(host.controller).users.status(job.text, isForwarded = false).status, "${host.name}")
            run(6000, busy = false)
        }
        runUntilFinal(listOf(job))
    }

    @Test
    fun `a node that crashes before its upgrade restarts with the production version and may lead`() = forEachWorld(41L..46L) {
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
        runUntil(40_000, "all nodes current") { areAllCurrent() }
        runUntilFinal(jobs, isBusy = true)
    }

    private fun SimulatedCluster.runUntilLeader(): ControllerHost {
        runUntil(30_000, "a leader") { leaderHost() != null }
        return checkNotNull(leaderHost())
    }

    @Test
    fun `cancellations, an outage, a partition, late writes and node crashes during the upgrade break no rule`() {
        forEachWorld(51L..70L, isQuiet = false) {
            run(20_000, busy = true)
            for (host in hosts.shuffled(random)) {
                injectFailure(host)
                run(random.nextLong(200, 4000), busy = true)
                host.upgrade(random.nextLong(200, 4000))
                run(random.nextLong(2000, 9000), busy = true)
                if (random.nextBoolean()) host.crash(random.nextLong(50, 3000))
                injectRandomFault()
                run(random.nextLong(2000, 9000), busy = true)
            }
            checkRecovery()
        }
    }

    private fun SimulatedCluster.injectFailure(host: ControllerHost) {
        when (random.nextInt(6)) {
            0 -> store.startOutage(random.nextLong(2000, 20_000))
            1 -> faultInjector.injectLeaderRefusalThenOutage(random.nextLong(500, 3000), random.nextLong(3000, SimulatedCluster.CANCEL_MS))
            2 -> partitionZone(zones.random(random), random.nextLong(3000, 20_000))
            3 -> hosts.forEach { it.faults.lateWritesUntil = time.now + 20_000 }
            4 -> host.faults.killAtNextRequest = true
            else -> cancelOnTaskCompletion(15_000)
        }
    }

    /** Checks that, after all failures, every node learns that all nodes are current and every job completes. */
    private fun SimulatedCluster.checkRecovery() {
        invariants.faultFreeSince = time.now + 2 * SimulatedCluster.CANCEL_MS + 5000
        cancelServices()
        run(100_000, busy = false)
        runUntil(60_000, "all nodes current") { areAllCurrent() }
        repeat(12) { if (unfinishedJobs().any { poll(it)?.isFinal != true }) run(50_000, busy = false) }
        assertTrue(invariants.startCount > 0, "no task was started")
        assertEquals(emptyList<JobId>(), unfinishedJobs().filter { poll(it)?.isFinal != true }, "jobs that never completed")
    }

    @Test
    fun `values that production wrote at its limits stay readable when the limits fall after the upgrade`() {
        val limits = FallingLimits(StateLimits(80.0, 40.0, 8.0, 16), StateLimits(80.0, 21.0, 2.0, 5), fallsAtMs = 60_000)
        forEachWorld(81L..86L, limits = limits) {
            val jobs = longJobs(1..14, runS = 70.0)
            run(25_000, busy = true)
            hosts.forEach {
                it.upgrade(500)
                run(5000, busy = true)
            }
            run(30_000, busy = true)
            runUntil(30_000, "all nodes current") { areAllCurrent() }
            leaderHost()?.crash(500)
            run(20_000, busy = true)
            assertEquals(0, store.oversizedTransactions, "transactions refused as too large")
            runUntilFinal(jobs, isBusy = true)
        }
    }

    @Test
    fun `two processes at a time restart while a pipeline runs that was accepted before`() = forEachWorld(91L..96L) {
        hosts.forEach {
            it.upgrade(300)
            run(4000, busy = false)
        }
        runUntil(30_000, "all nodes current") { areAllCurrent() }
        val first = longJobs(1..1, runS = 15.0).single()
        val second = accept(plainJob(FIRST_JOB_NUMBER + 2) { it.copy(prerequisites = listOf(first)) })
        val third = accept(plainJob(FIRST_JOB_NUMBER + 3) { it.copy(prerequisites = listOf(second)) })
        repeat(3) {
            hosts.shuffled(random).take(2).forEach { it.crash(random.nextLong(200, 3000)) }
            run(6000, busy = false)
        }
        runUntilFinal(listOf(first, second, third))
    }

    private companion object {
        const val FIRST_JOB_NUMBER = 5000
    }
}
