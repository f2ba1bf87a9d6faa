package mountmast.coordination.controller

import mountmast.protocol.ImageId
import mountmast.protocol.JobId
import mountmast.protocol.JobSpec
import mountmast.protocol.JobStatus
import mountmast.protocol.TeamId
import mountmast.standin.ControllerHost
import mountmast.standin.SimulatedCluster
import mountmast.standin.SimulatedWorker
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Two failures at a time, each pair as users met it. The rules are checked after each step. */
class CombinedFailuresTest {
    private val seeds = 1L..6L

    /** Runs [act] for each seed in a world where the tasks of [jobs] jobs run and will for long; a failing seed is named. */
    private fun withRunningJobs(jobs: Int = 3, change: (JobSpec) -> JobSpec = { it }, act: Scene.() -> Unit) = seeds.forEach { seed ->
        val world = SimulatedCluster(seed, isNetworkReliable = true)
        try {
            val ids = (1..jobs).map { number -> world.accept(world.longJob(number, change)) }
            world.run(20_000, busy = false)
            Scene(world, ids).act()
        } catch (e: Throwable) {
            throw AssertionError("seed $seed at ${world.time.now} ms: ${e.message}", e)
        }
    }

    private class Scene(val world: SimulatedCluster, val jobs: List<JobId>) {
        val leading = world.hosts.first { it.controller?.leaderTerm() != null }
        val others = world.hosts.filter { it !== leading }

        fun runningOf(id: JobId) = world.invariants.runningTaskCountOf(id)

        /** Cancels [id] through [host], which confirms it. */
        fun cancelAndConfirm(id: JobId, host: ControllerHost = others.first()) = assertEquals(200, world.cancel(id, host))
    }

    private fun SimulatedCluster.longJob(number: Int, change: (JobSpec) -> JobSpec) =
        plainJob(number) { change(it.copy(team = TeamId("free"), estimateS = 300.0)) }

    @Test
    fun `a leader refused alone stops what others cancelled, through an outage longer than a cancellation may take`() = withRunningJobs {
        // Its renewals fail and its watch of the jobs hangs, while the workers stay with it.
        leading.faults.storeRefusedUntil = world.time.now + 14_000
        world.run(1500, busy = false)
        jobs.forEach { cancelAndConfirm(it) }
        world.store.startOutage(40_000)
        world.run(60_000, busy = false)
        jobs.forEach { assertEquals(0, runningOf(it)) }
    }

    @Test
    fun `cancellations a leader cannot be told of end within their time, though a renewal gets through`() = withRunningJobs {
        // No broadcast arrives and the watch shows no change, but a lucky renewal makes the old grace begin anew.
        leading.faults.peersCutUntil = world.time.now + 90_000
        leading.faults.watchesBlockedUntil = world.time.now + 90_000
        world.run(500, busy = false)
        jobs.forEach { cancelAndConfirm(it) }
        world.run(8000, busy = false)
        world.store.startOutage(40_000)
        world.run(70_000, busy = false)
        jobs.forEach { assertEquals(0, runningOf(it)) }
    }

    @Test
    fun `a leader elected just before an outage keeps no task alive that was cancelled in between`() = withRunningJobs {
        leading.faults.storeCutUntil = world.time.now + 90_000
        leading.faults.workersCutUntil = world.time.now + 90_000
        leading.faults.peersCutUntil = world.time.now + 90_000
        world.run(200, busy = false)
        jobs.forEach { cancelAndConfirm(it) }
        // The confirming node ends before it has told anybody, and the successor cannot read the jobs.
        others.forEach { it.crash(200) }
        others.forEach { it.isStateLoadBlocked = true }
        world.run(8000, busy = false)
        world.store.startOutage(40_000)
        world.run(60_000, busy = false)
        jobs.forEach { assertEquals(0, runningOf(it)) }
    }

    @Test
    fun `a start held up until after its job was cancelled starts nothing once its worker has shown a higher token`() =
        withRunningJobs(jobs = 1) {
            // Direct commands are held up for nine seconds, while heartbeats and their responses go on.
            world.cloud.workers.filter { it.isAlive }.forEach { world.holdCommands(it, 9000) }
            val late = world.accept(world.longJob(90) { it.copy(tasks = 2, cpus = 1.0, memoryGb = 1.0, imageGb = 0.0) })
            repeat(100) { if (world.network.delayedCommands == 0) world.run(50, busy = false) }
            cancelAndConfirm(late)
            // Commands in responses to earlier heartbeats may be under way for a moment; nothing may begin after that.
            world.run(100, busy = false)
            val began = world.invariants.startCountOf(late)
            world.run(SimulatedCluster.CANCEL_MS, busy = false)
            assertEquals(began, world.invariants.startCountOf(late), "it began although it was cancelled")
            assertTrue(world.hosts.mapNotNull { it.controller?.leaderTerm() }.none { late in it.cluster.jobs }, "the job never finishes")
        }

    @Test
    fun `a team at its limit stays within it while its machines cannot be asked, jobs are cancelled and the leader changes`() =
        withRunningJobs(jobs = 4, { it.copy(team = TeamId("blue"), cpus = 4.0, tasks = 2, estimateS = 40.0) }) {
            val waiting = (20..24).map {
                world.accept(world.longJob(it) { spec -> spec.copy(team = TeamId("blue"), cpus = 4.0, tasks = 2, estimateS = 5.0) })
            }
            world.cloud.workers.filter { it.hasRunningTasks }.take(3).forEach { it.partitionedUntil = world.time.now + 15_000 }
            world.run(1000, busy = false)
            leading.crash(6000)
            jobs.take(2).forEach { cancelAndConfirm(it) }
            world.run(40_000, busy = false)
            world.expectDone(waiting + jobs.drop(2), 200_000)
        }

    @Test
    fun `all controllers away for longer than a lease`() = withRunningJobs(jobs = 3, { it.copy(estimateS = 15.0) }) {
        world.hosts.forEach { it.crash(3 * SimulatedCluster.LEASE_MS) }
        world.run(3 * SimulatedCluster.LEASE_MS, busy = false)
        world.expectDone(jobs, 120_000)
    }

    @Test
    fun `a heartbeat held back until a new leader has acted ends and revives nothing`() = withRunningJobs {
        val held = world.cloud.workers.filter { it.hasRunningTasks }.map { it.heartbeat() }
        leading.crash(20_000)
        world.cloud.workers.filter { it.hasRunningTasks }.take(1).forEach { it.reboot() }
        world.run(9000, busy = false)
        val successor = world.hosts.first { it.controller?.leaderTerm() != null }
        val started = world.invariants.startCount
        held.forEach { successor.controller!!.onHeartbeat(it) }
        world.run(10_000, busy = false)
        assertTrue(world.invariants.startCount - started <= 4, "${world.invariants.startCount - started} tasks were started again")
        jobs.forEach { assertEquals(4, runningOf(it)) }
    }

    @Test
    fun `tasks that end far apart across changes of leader are each counted once`() =
        withRunningJobs(jobs = 2, { it.copy(tasks = 3, estimateS = 5.0) }) {
            val apart = world.accept(world.longJob(30) { it.copy(tasks = 3, cpus = 4.0, estimateS = 12.0) })
            val ended = world.cloud.workers.filter { it.isAlive }.onEachIndexed { i, worker -> worker.slowdownFactor = 1L + i }
            assertTrue(ended.isNotEmpty())
            repeat(3) {
                world.hosts.firstOrNull { it.controller?.leaderTerm() != null }?.crash(3000)
                world.run(9000, busy = false)
            }
            world.expectDone(jobs + apart, 240_000)
        }

    @Test
    fun `transactions carried out late, after newer ones, change nothing`() = withRunningJobs(jobs = 3, { it.copy(estimateS = 20.0) }) {
        world.hosts.forEach { it.faults.lateWritesUntil = world.time.now + 60_000 }
        val more = (40..46).map { world.accept(world.longJob(it) { spec -> spec.copy(estimateS = 4.0) }) }
        more.take(2).forEach { id -> repeat(60) { if (world.cancel(id) != 200) world.run(1000, busy = false) } }
        world.run(30_000, busy = false)
        world.hosts.first { it.controller?.leaderTerm() != null }.crash(300)
        world.run(30_000, busy = false)
        world.expectDone(jobs + more.drop(2), 120_000)
    }

    @Test
    fun `a job bound to the zone of its first tasks gets machines there when it loses some`() =
        withRunningJobs(jobs = 1, { it.copy(singleZone = true, tasks = 6, cpus = 4.0, estimateS = 40.0) }) {
            val home = world.invariants.runningTasksByZone(jobs.first()).keys.single()
            world.cloud.workers.filter { it.hasRunningTasks }.drop(1).forEach { world.cloud.terminateMachine(it.id) }
            world.run(15_000, busy = false)
            assertTrue(world.cloud.workers.none { it.zone != home && it.isAlive }, "machines were rented where the job may not run")
            world.expectDone(jobs, 200_000)
        }

    @Test
    fun `a cancellation, a question and a repeated submission meet the end of the last task`() {
        for (seed in 1L..25L) {
            val world = SimulatedCluster(seed, isNetworkReliable = true)
            val ids = (1..6).map { world.accept(world.longJob(it) { spec -> spec.copy(tasks = 1, estimateS = 0.5) }) }
            world.cancelOnTaskCompletion(60_000)
            world.run(60_000, busy = false)
            for (id in ids) {
                val final = world.poll(id)
                assertTrue(final?.isFinal == true, "seed $seed: $id is $final")
                world.hosts.forEach { assertEquals(200, world.cancel(id, it)) }
                assertEquals(final, world.poll(id), "seed $seed")
            }
        }
    }

    @Test
    fun `a job that fails on every machine is not started whole again by each new leader`() = withRunningJobs(jobs = 1) {
        val doomed = world.longJob(70) { it.copy(tasks = 12, cpus = 1.0, memoryGb = 1.0) }
        world.failingJobs += doomed.id
        world.accept(doomed)
        world.run(40_000, busy = false)
        assertTrue(world.invariants.startCountOf(doomed.id) >= 3, "it was not tried on three machines")
        val starts = world.invariants.startCountOf(doomed.id)
        repeat(3) {
            world.hosts.first { it.controller?.leaderTerm() != null }.crash(15_000)
            world.run(20_000, busy = false)
        }
        val again = world.invariants.startCountOf(doomed.id) - starts
        assertTrue(again <= 6, "$again starts within a minute and three leaders")
        cancelAndConfirm(doomed.id, world.hosts.first { it.controller != null })
    }

    @Test
    fun `ten leaders in two minutes, inside an outage too`() = withRunningJobs(jobs = 3, { it.copy(estimateS = 30.0) }) {
        repeat(10) { number ->
            if (number == 4) world.store.startOutage(25_000)
            (world.hosts.firstOrNull { it.controller?.leaderTerm() != null } ?: world.hosts.random(world.random)).crash(
                if (number % 2 ==
                    0
                ) {
                    200
                } else {
                    4000
                },
            )
            world.run(12_000, busy = false)
        }
        world.expectDone(jobs, 150_000)
    }

    @Test
    fun `a leader ends while machines with long tasks cannot be reached, or do not hear the new one`() =
        withRunningJobs(jobs = 3, { it.copy(estimateS = 60.0) }) {
            val busy = world.cloud.workers.filter { it.hasRunningTasks }
            busy.forEachIndexed { i, worker ->
                if (i % 2 == 0) worker.partitionedUntil = world.time.now + 20_000 else worker.inboundCutUntil = world.time.now + 20_000
            }
            leading.crash(30_000)
            world.run(2000, busy = false)
            cancelAndConfirm(jobs.first())
            world.expectDone(jobs.drop(1), 250_000)
        }

    @Test
    fun `jobs are cancelled through the new leader while the old one still reaches workers and users`() = withRunningJobs {
        leading.faults.storeCutUntil = world.time.now + 60_000
        leading.faults.peersCutUntil = world.time.now + 60_000
        repeat(2) {
            world.cloud.workers.filter { it.hasRunningTasks }.random(world.random)
                .let { it.directCommandsCutUntil = world.time.now + 60_000 }
        }
        world.run(6000, busy = false)
        jobs.forEach { cancelAndConfirm(it) }
        world.run(SimulatedCluster.CANCEL_MS + 5000, busy = false)
        jobs.forEach { assertEquals(0, runningOf(it)) }
    }

    @Test
    fun `tasks that a cut-off leader keeps alive are not started again while it may still answer their workers`() =
        withRunningJobs(change = { it.copy(tasks = 3, cpus = 1.0, memoryGb = 1.0, imageGb = 0.0, estimateS = 90.0) }) {
            leading.faults.storeCutUntil = world.time.now + 60_000
            leading.faults.peersCutUntil = world.time.now + 60_000
            // The successor cannot reach one worker, which stays with the old leader for all of its grace; other machines have capacity.
            world.cloud.workers.first { it.hasRunningTasks }.directCommandsCutUntil = world.time.now + 60_000
            world.run(60_000, busy = false)
            world.expectDone(jobs, 200_000)
        }

    @Test
    fun `workers that reach no controller get no more work, though direct commands reach them`() = withRunningJobs(jobs = 2) {
        val mute = world.cloud.workers.filter { it.hasRunningTasks }.onEach { it.outboundCutUntil = world.time.now + 60_000 }
        cancelAndConfirm(jobs.first())
        world.run(3 * SimulatedCluster.LEASE_MS, busy = false)
        assertEquals(0, runningOf(jobs.first()))
        val before = mute.sumOf { it.heartbeat().tasks.size }
        val more = world.accept(world.longJob(50) { it.copy(estimateS = 3.0) })
        world.run(12_000, busy = false)
        assertTrue(mute.sumOf { it.heartbeat().tasks.size } <= before, "a machine that loses all with its lease gets work")
        world.run(40_000, busy = false)
        world.expectDone(listOf(more), 60_000)
    }

    @Test
    fun `a machine that has missed two heartbeats gets no work while its lease still runs`() = withRunningJobs(jobs = 2) {
        fun tiny(number: Int) =
            world.longJob(number) { it.copy(tasks = 1, cpus = 0.05, memoryGb = 0.05, image = ImageId("probe"), imageGb = 0.1) }
        fun SimulatedWorker.has(id: JobId) = heartbeat().tasks.any { it.task.startsWith(id.text) }
        val probe = world.accept(tiny(60))
        repeat(400) { if (world.invariants.startCountOf(probe) == 0) world.run(100, busy = false) }
        // It holds the image, so another of the same goes there as well.
        val chosen = world.cloud.workers.single { it.isAlive && it.has(probe) }
        val again = world.accept(tiny(61))
        repeat(400) { if (world.invariants.startCountOf(again) == 0) world.run(100, busy = false) }
        assertTrue(chosen.has(again), "the scheduler prefers another machine")
        chosen.outboundCutUntil = world.time.now + 60_000
        world.run(4800, busy = false)
        val late = world.accept(tiny(62))
        world.run(1000, busy = false)
        val cluster = checkNotNull(leading.controller?.leaderTerm()).cluster
        val assigned = checkNotNull(cluster.machines[chosen.id]).live.values.map { it.job.id }
        assertTrue(probe in assigned, "its lease has expired already")
        assertTrue(late !in assigned, "a machine that loses all with its lease gets work")
    }

    @Test
    fun `machines that never come up are replaced, elsewhere where many are late, and scale-out does not run away`() =
        (1L..3L).forEach { seed ->
            val world = SimulatedCluster(seed, isNetworkReliable = true, machinesPerOffering = 30)
            world.cloud.neverBoots = { it.zone == world.zones[0] }
            val job = world.accept(world.longJob(1) { it.copy(tasks = 12, cpus = 4.0, imageGb = 0.0) })
            // A small machine is said to take 4 s: late after 13 s, given up after 31 s; others boot within 12 s.
            world.run(30_000, busy = false)
            assertTrue(world.invariants.runningTaskCountOf(job) > 8, "seed $seed: ${world.invariants.runningTaskCountOf(job)} of 12 run")
            world.cloud.neverBoots = { true }
            val rented = world.cloud.rentedCount
            world.accept(world.longJob(2) { it.copy(tasks = 8, cpus = 4.0) })
            world.run(150_000, busy = false)
            assertTrue(world.cloud.rentedCount - rented <= 6 * 8, "seed $seed: ${world.cloud.rentedCount - rented} machines for 8 tasks")
        }

    @Test
    fun `controllers hand over and back, all end, and one returns within a second`() = withRunningJobs(jobs = 3, {
        it.copy(estimateS = 25.0)
    }) {
        repeat(3) {
            world.hosts.firstOrNull { it.controller?.leaderTerm() != null }?.crash(world.random.nextLong(50, 900))
            world.run(world.random.nextLong(500, 3000), busy = false)
        }
        world.hosts.forEachIndexed { i, host -> host.crash(if (i == 0) 500 else 25_000) }
        world.run(10_000, busy = false)
        world.expectDone(jobs, 120_000)
    }

    private fun SimulatedCluster.expectDone(ids: Collection<JobId>, withinMs: Long) {
        repeat((withinMs / 5000).toInt()) { if (ids.any { poll(it) != JobStatus.DONE }) run(5000, busy = false) }
        assertEquals(emptyList<JobId>(), ids.filter { poll(it) != JobStatus.DONE })
    }
}
