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

/** Combinations of two failures, each as users encountered it. The rules are checked after each step of the simulation. */
class CombinedFailuresTest {
    private val seeds = 1L..6L

    /** Runs [test] for each seed, 20 s after [jobs] jobs with long tasks were accepted; a failure names its seed and virtual time. */
    private fun withRunningJobs(jobs: Int = 3, change: (JobSpec) -> JobSpec = { it }, test: Scenario.() -> Unit) = seeds.forEach { seed ->
        val world = SimulatedCluster(seed, isNetworkReliable = true)
        try {
            val ids = (1..jobs).map { number -> world.accept(world.longJob(number, change)) }
            world.run(20_000, busy = false)
            Scenario(world, ids).test()
        } catch (e: Throwable) {
            throw AssertionError("seed $seed at ${world.time.now} ms: ${e.message}", e)
        }
    }

    private class Scenario(val world: SimulatedCluster, val jobs: List<JobId>) {
        val leaderHost = world.hosts.first { it.controller?.leaderTerm() != null }
        val otherHosts = world.hosts.filter { it !== leaderHost }

        fun runningOf(id: JobId) = world.invariants.runningTaskCountOf(id)

        /** Cancels [id] on [host] and checks that the host confirms the cancellation. */
        fun cancelAndConfirm(id: JobId, host: ControllerHost = otherHosts.first()) = assertEquals(200, world.cancel(id, host))
    }

    private fun SimulatedCluster.longJob(number: Int, change: (JobSpec) -> JobSpec) =
        plainJob(number) { change(it.copy(team = TeamId("free"), estimateS = 300.0)) }

    @Test
    fun `a leader whose store requests are refused stops jobs cancelled on other nodes, through a long outage`() = withRunningJobs {
        // The state service refuses the leader's lease renewals and its watch of the jobs, while its workers still reach it. Other nodes
        // confirm cancellations; then an outage begins that is longer than the time within which cancelled tasks must stop.
        leaderHost.faults.storeRefusedUntil = world.time.now + 14_000
        world.run(1500, busy = false)
        jobs.forEach { cancelAndConfirm(it) }
        world.store.startOutage(40_000)
        world.run(60_000, busy = false)
        jobs.forEach { assertEquals(0, runningOf(it)) }
    }

    @Test
    fun `jobs whose cancellation does not reach the leader stop in time, even if the leader renews its lease`() = withRunningJobs {
        // Neither a broadcast nor the watch tells the leader of the cancellations, but a renewal of its lease succeeds and restarts its
        // grace period, in which it goes on renewing the leases of workers.
        leaderHost.faults.peersCutUntil = world.time.now + 90_000
        leaderHost.faults.watchesBlockedUntil = world.time.now + 90_000
        world.run(500, busy = false)
        jobs.forEach { cancelAndConfirm(it) }
        world.run(8000, busy = false)
        world.store.startOutage(40_000)
        world.run(70_000, busy = false)
        jobs.forEach { assertEquals(0, runningOf(it)) }
    }

    @Test
    fun `a leader elected just before an outage keeps no task alive that was cancelled in between`() = withRunningJobs {
        leaderHost.faults.storeCutUntil = world.time.now + 90_000
        leaderHost.faults.workersCutUntil = world.time.now + 90_000
        leaderHost.faults.peersCutUntil = world.time.now + 90_000
        world.run(200, busy = false)
        jobs.forEach { cancelAndConfirm(it) }
        // The node that confirmed the cancellations crashes before it has told any other node, and the next leader cannot load the jobs.
        otherHosts.forEach { it.crash(200) }
        otherHosts.forEach { it.isStateLoadBlocked = true }
        world.run(8000, busy = false)
        world.store.startOutage(40_000)
        world.run(60_000, busy = false)
        jobs.forEach { assertEquals(0, runningOf(it)) }
    }

    @Test
    fun `a start held up until after its job was cancelled starts nothing once its worker has shown a higher token`() =
        withRunningJobs(jobs = 1) {
            // A start command that is sent directly arrives nine seconds late, after its job was cancelled. Heartbeats and their
            // responses are not delayed.
            world.cloud.workers.filter { it.isAlive }.forEach { world.holdCommands(it, 9000) }
            val lateJob = world.accept(world.longJob(90) { it.copy(tasks = 2, cpus = 1.0, memoryGb = 1.0, imageGb = 0.0) })
            repeat(100) { if (world.network.delayedCommands == 0) world.run(50, busy = false) }
            cancelAndConfirm(lateJob)
            // Commands in responses to earlier heartbeats may take up to 100 ms to arrive; no task of the job may start after that.
            world.run(100, busy = false)
            val startsBefore = world.invariants.startCountOf(lateJob)
            world.run(SimulatedCluster.CANCEL_MS, busy = false)
            assertEquals(startsBefore, world.invariants.startCountOf(lateJob), "a task of a cancelled job started")
            assertTrue(world.hosts.mapNotNull { it.controller?.leaderTerm() }.none { lateJob in it.cluster.jobs }, "the job never finishes")
        }

    @Test
    fun `a team stays within its limit while some of its machines are unreachable, jobs are cancelled and the leader changes`() =
        withRunningJobs(jobs = 4, { it.copy(team = TeamId("blue"), cpus = 4.0, tasks = 2, estimateS = 40.0) }) {
            // The new leader must count the tasks on machines that it cannot reach, and cancelled tasks until they have stopped.
            val waiting = (20..24).map {
                world.accept(world.longJob(it) { spec -> spec.copy(team = TeamId("blue"), cpus = 4.0, tasks = 2, estimateS = 5.0) })
            }
            world.cloud.workers.filter { it.hasRunningTasks }.take(3).forEach { it.partitionedUntil = world.time.now + 15_000 }
            world.run(1000, busy = false)
            leaderHost.crash(6000)
            jobs.take(2).forEach { cancelAndConfirm(it) }
            world.run(40_000, busy = false)
            world.expectDone(waiting + jobs.drop(2), 200_000)
        }

    @Test
    fun `jobs complete after all controllers were down for longer than a lease`() = withRunningJobs(jobs = 3, {
        it.copy(estimateS = 15.0)
    }) {
        world.hosts.forEach { it.crash(3 * SimulatedCluster.LEASE_MS) }
        world.run(3 * SimulatedCluster.LEASE_MS, busy = false)
        world.expectDone(jobs, 120_000)
    }

    @Test
    fun `a delayed heartbeat that arrives at the next leader neither ends nor restarts tasks`() = withRunningJobs {
        // The heartbeats date from before the leader crashed and a machine rebooted, so they list tasks that have ended since then.
        val delayedHeartbeats = world.cloud.workers.filter { it.hasRunningTasks }.map { it.heartbeat() }
        leaderHost.crash(20_000)
        world.cloud.workers.filter { it.hasRunningTasks }.take(1).forEach { it.reboot() }
        world.run(9000, busy = false)
        val successor = world.hosts.first { it.controller?.leaderTerm() != null }
        val started = world.invariants.startCount
        delayedHeartbeats.forEach { successor.controller!!.onHeartbeat(it) }
        world.run(10_000, busy = false)
        assertTrue(
            world.invariants.startCount - started <= 4,
            "${world.invariants.startCount - started} tasks started after the delayed heartbeats",
        )
        jobs.forEach { assertEquals(4, runningOf(it)) }
    }

    @Test
    fun `tasks that end at different times, across changes of leader, are each counted once`() =
        withRunningJobs(jobs = 2, { it.copy(tasks = 3, estimateS = 5.0) }) {
            val longerJob = world.accept(world.longJob(30) { it.copy(tasks = 3, cpus = 4.0, estimateS = 12.0) })
            val slowedWorkers = world.cloud.workers.filter { it.isAlive }.onEachIndexed { i, worker -> worker.slowdownFactor = 1L + i }
            assertTrue(slowedWorkers.isNotEmpty())
            repeat(3) {
                world.hosts.firstOrNull { it.controller?.leaderTerm() != null }?.crash(3000)
                world.run(9000, busy = false)
            }
            world.expectDone(jobs + longerJob, 240_000)
        }

    @Test
    fun `transactions executed late, after newer ones, change nothing`() = withRunningJobs(jobs = 3, { it.copy(estimateS = 20.0) }) {
        // A share of all transactions times out, and the state service executes them seconds later.
        world.hosts.forEach { it.faults.lateWritesUntil = world.time.now + 60_000 }
        val laterJobs = (40..46).map { world.accept(world.longJob(it) { spec -> spec.copy(estimateS = 4.0) }) }
        laterJobs.take(2).forEach { id -> repeat(60) { if (world.cancel(id) != 200) world.run(1000, busy = false) } }
        world.run(30_000, busy = false)
        world.hosts.first { it.controller?.leaderTerm() != null }.crash(300)
        world.run(30_000, busy = false)
        world.expectDone(jobs + laterJobs.drop(2), 120_000)
    }

    @Test
    fun `a job bound to the zone of its first tasks gets machines there when it loses some`() =
        withRunningJobs(jobs = 1, { it.copy(singleZone = true, tasks = 6, cpus = 4.0, estimateS = 40.0) }) {
            val boundZone = world.invariants.runningTasksByZone(jobs.first()).keys.single()
            world.cloud.workers.filter { it.hasRunningTasks }.drop(1).forEach { world.cloud.terminateMachine(it.id) }
            world.run(15_000, busy = false)
            assertTrue(world.cloud.workers.none { it.zone != boundZone && it.isAlive }, "machines were rented where the job may not run")
            world.expectDone(jobs, 200_000)
        }

    @Test
    fun `a cancellation, a status request and a repeated submission coincide with the end of the last task`() {
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
        // Without a stored hint that the job fails, each new leader would start all twelve tasks again.
        val failingJob = world.longJob(70) { it.copy(tasks = 12, cpus = 1.0, memoryGb = 1.0) }
        world.failingJobs += failingJob.id
        world.accept(failingJob)
        world.run(40_000, busy = false)
        assertTrue(world.invariants.startCountOf(failingJob.id) >= 3, "fewer than three attempts were started")
        val starts = world.invariants.startCountOf(failingJob.id)
        repeat(3) {
            world.hosts.first { it.controller?.leaderTerm() != null }.crash(15_000)
            world.run(20_000, busy = false)
        }
        val laterStarts = world.invariants.startCountOf(failingJob.id) - starts
        assertTrue(laterStarts <= 6, "$laterStarts starts within a minute under three leaders")
        cancelAndConfirm(failingJob.id, world.hosts.first { it.controller != null })
    }

    @Test
    fun `jobs complete although the leader crashes ten times in two minutes, also during an outage`() = withRunningJobs(jobs = 3, {
        it.copy(estimateS = 30.0)
    }) {
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
    fun `the leader crashes while machines with long tasks are unreachable or receive nothing`() =
        withRunningJobs(jobs = 3, { it.copy(estimateS = 60.0) }) {
            // The next leader cannot reach half of the busy machines, and gets heartbeats from the others without being able to answer.
            val busy = world.cloud.workers.filter { it.hasRunningTasks }
            busy.forEachIndexed { i, worker ->
                if (i % 2 == 0) worker.partitionedUntil = world.time.now + 20_000 else worker.inboundCutUntil = world.time.now + 20_000
            }
            leaderHost.crash(30_000)
            world.run(2000, busy = false)
            cancelAndConfirm(jobs.first())
            world.expectDone(jobs.drop(1), 250_000)
        }

    @Test
    fun `jobs are cancelled through the new leader while the old one still reaches workers and users`() = withRunningJobs {
        // The old leader does not learn of its successor and goes on renewing its workers' leases until its grace period ends. Commands of
        // the successor do not arrive at up to two busy workers.
        leaderHost.faults.storeCutUntil = world.time.now + 60_000
        leaderHost.faults.peersCutUntil = world.time.now + 60_000
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
            leaderHost.faults.storeCutUntil = world.time.now + 60_000
            leaderHost.faults.peersCutUntil = world.time.now + 60_000
            // The new leader's commands do not arrive at one worker, which sends its heartbeats to the old leader until the end of that
            // leader's grace period. Other machines have capacity for its tasks, so the new leader could start them a second time.
            world.cloud.workers.first { it.hasRunningTasks }.directCommandsCutUntil = world.time.now + 60_000
            world.run(60_000, busy = false)
            world.expectDone(jobs, 200_000)
        }

    @Test
    fun `workers that reach no controller get no more work, though direct commands reach them`() = withRunningJobs(jobs = 2) {
        // A worker whose heartbeats reach no controller loses all of its tasks when its lease expires.
        val isolatedWorkers = world.cloud.workers.filter { it.hasRunningTasks }.onEach { it.outboundCutUntil = world.time.now + 60_000 }
        cancelAndConfirm(jobs.first())
        world.run(3 * SimulatedCluster.LEASE_MS, busy = false)
        assertEquals(0, runningOf(jobs.first()))
        val taskCountBefore = isolatedWorkers.sumOf { it.heartbeat().tasks.size }
        val laterJob = world.accept(world.longJob(50) { it.copy(estimateS = 3.0) })
        world.run(12_000, busy = false)
        assertTrue(isolatedWorkers.sumOf { it.heartbeat().tasks.size } <= taskCountBefore, "a machine whose lease will expire got work")
        world.run(40_000, busy = false)
        world.expectDone(listOf(laterJob), 60_000)
    }

    @Test
    fun `a machine that has missed two heartbeats gets no work while its lease still runs`() = withRunningJobs(jobs = 2) {
        fun smallJob(number: Int) =
            world.longJob(number) { it.copy(tasks = 1, cpus = 0.05, memoryGb = 0.05, image = ImageId("probe"), imageGb = 0.1) }
        fun SimulatedWorker.hasTaskOf(id: JobId) = heartbeat().tasks.any { it.task.startsWith(id.text) }
        val firstJob = world.accept(smallJob(60))
        repeat(400) { if (world.invariants.startCountOf(firstJob) == 0) world.run(100, busy = false) }
        // This machine has fetched the image, so the scheduler places another job with the same image there as well.
        val chosenWorker = world.cloud.workers.single { it.isAlive && it.hasTaskOf(firstJob) }
        val secondJob = world.accept(smallJob(61))
        repeat(400) { if (world.invariants.startCountOf(secondJob) == 0) world.run(100, busy = false) }
        assertTrue(chosenWorker.hasTaskOf(secondJob), "the scheduler prefers another machine")
        chosenWorker.outboundCutUntil = world.time.now + 60_000
        world.run(4800, busy = false)
        val thirdJob = world.accept(smallJob(62))
        world.run(1000, busy = false)
        val cluster = checkNotNull(leaderHost.controller?.leaderTerm()).cluster
        val assigned = checkNotNull(cluster.machines[chosenWorker.id]).unreleasedAssignments.values.map { it.job.id }
        assertTrue(firstJob in assigned, "the lease of the machine has expired already")
        assertTrue(thirdJob !in assigned, "a machine whose lease will expire got work")
    }

    @Test
    fun `machines that never boot are replaced, in another zone if many are overdue, and scale-out stays bounded`() =
        (1L..3L).forEach { seed ->
            val world = SimulatedCluster(seed, isNetworkReliable = true, machinesPerOffering = 30)
            world.cloud.neverBoots = { it.zone == world.zones[0] }
            val job = world.accept(world.longJob(1) { it.copy(tasks = 12, cpus = 4.0, imageGb = 0.0) })
            // The expected boot time of a small machine is 4 s: it is overdue after 13 s and given up after 31 s. Other machines boot
            // within 12 s.
            world.run(30_000, busy = false)
            assertTrue(world.invariants.runningTaskCountOf(job) > 8, "seed $seed: ${world.invariants.runningTaskCountOf(job)} of 12 run")
            world.cloud.neverBoots = { true }
            val rented = world.cloud.rentedCount
            world.accept(world.longJob(2) { it.copy(tasks = 8, cpus = 4.0) })
            world.run(150_000, busy = false)
            assertTrue(world.cloud.rentedCount - rented <= 6 * 8, "seed $seed: ${world.cloud.rentedCount - rented} machines for 8 tasks")
        }

    @Test
    fun `the leader crashes three times, then all controllers crash, and one restarts within a second`() = withRunningJobs(jobs = 3, {
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

    /** Runs until all jobs in [ids] are done, for at most about [withinMs], and checks that they are. */
    private fun SimulatedCluster.expectDone(ids: Collection<JobId>, withinMs: Long) {
        repeat((withinMs / 5000).toInt()) { if (ids.any { poll(it) != JobStatus.DONE }) run(5000, busy = false) }
        assertEquals(emptyList<JobId>(), ids.filter { poll(it) != JobStatus.DONE })
    }
}
