package mountmast.coordination.controller

import mountmast.coordination.state.MachineState
import mountmast.coordination.state.Phase
import mountmast.protocol.CommandType
import mountmast.protocol.JobId
import mountmast.protocol.JobStatus
import mountmast.protocol.TeamId
import mountmast.protocol.TypeId
import mountmast.protocol.Urgency
import mountmast.protocol.WorkerCommand
import mountmast.standin.SimulatedCluster
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** One kind of failure at a time: the jobs must complete. The rules are checked after each step of the simulation. */
class RecoveryTest {
    private fun SimulatedCluster.expectDone(ids: Collection<JobId>, withinMs: Long) {
        run(withinMs, busy = false)
        assertEquals(emptyList<JobId>(), ids.filter { poll(it) != JobStatus.DONE })
    }

    private fun SimulatedCluster.leaderTerm() = hosts.mapNotNull { it.controller?.leaderTerm() }.maxBy { it.leaderLease.token }

    @Test
    fun `a job that fails on every machine is backed off and preempts nothing, and other jobs complete`() {
        val world = SimulatedCluster(21, isNetworkReliable = true)
        val failingJob = world.plainJob(1) { it.copy(tasks = 8, urgency = Urgency.PRODUCTION) }
        world.failingJobs += failingJob.id
        world.accept(failingJob)
        world.run(40_000, busy = false)
        val starts = world.invariants.startCount
        val otherJobs = (2..5).map { world.accept(world.plainJob(it)) }
        world.expectDone(otherJobs, 40_000)
        assertTrue(
            world.invariants.startCount - starts < 16 + 12,
            "${world.invariants.startCount - starts} starts: the failing job is not backed off",
        )
        assertEquals(
            JobStatus.CANCELLED,
            world.run {
                cancel(failingJob.id)
                poll(failingJob.id)
            },
        )
    }

    @Test
    fun `a failing machine is quarantined and scaled in`() {
        val world = SimulatedCluster(22, isNetworkReliable = true)
        val first = (1..2).map { world.accept(world.plainJob(it)) }
        world.expectDone(first, 30_000)
        val failingWorker = world.cloud.workers.first { it.isAlive }.apply { failsAllTasks = true }
        world.expectDone((3..12).map { world.accept(world.plainJob(it)) }, 90_000)
        assertTrue(!failingWorker.isAlive, "the failing machine is still rented")
    }

    @Test
    fun `a slow machine is quarantined and scaled in, and its tasks get done elsewhere`() {
        val world = SimulatedCluster(32, isNetworkReliable = true)
        world.expectDone((1..3).map { world.accept(world.plainJob(it)) }, 30_000)
        val slowWorker = world.cloud.workers.first { it.isAlive }.apply { slowdownFactor = 20 }
        // Each of these jobs has enough tasks that their run time on other machines is known.
        val jobs = (4..9).map { world.accept(world.plainJob(it) { spec -> spec.copy(tasks = 8) }) }
        world.expectDone(jobs, 90_000)
        assertTrue(!slowWorker.isAlive, "the slow machine is still rented")
    }

    @Test
    fun `jobs complete although all spot machines are lost at once without notice`() {
        val world = SimulatedCluster(23)
        val jobs = (1..6).map { world.accept(world.plainJob(it) { spec -> spec.copy(estimateS = 8.0) }) }
        world.run(12_000, busy = false)
        world.cloud.workers.filter { it.isAlive && it.spot }.forEach { world.cloud.terminateMachine(it.id) }
        world.expectDone(jobs, 120_000)
    }

    @Test
    fun `a burst of jobs beyond all limits completes`() {
        val world = SimulatedCluster(24)
        val jobs = (1..40).map { world.accept(world.plainJob(it) { spec -> spec.copy(team = world.teams.keys.random(world.random)) }) }
        world.expectDone(jobs, 200_000)
    }

    @Test
    fun `a rolling restart loses nothing`() {
        val world = SimulatedCluster(25)
        val jobs = (1..6).map { world.accept(world.plainJob(it) { spec -> spec.copy(estimateS = 20.0) }) }
        for (host in world.hosts) {
            world.run(6000, busy = false)
            host.crash(4000)
        }
        world.expectDone(jobs, 90_000)
    }

    @Test
    fun `an outage of the state service shorter than the grace period kills no task`() {
        val world = SimulatedCluster(26, isNetworkReliable = true)
        val job = world.accept(world.plainJob(1) { it.copy(estimateS = 90.0) })
        // One machine in twenty never boots and is replaced only after its boot timeout, so the start of all four tasks may take long.
        repeat(60) { if (world.invariants.startCount < 4) world.run(1000, busy = false) }
        val started = world.invariants.startCount
        assertEquals(4, started)
        world.store.startOutage(11_000)
        world.run(30_000, busy = false)
        assertEquals(started, world.invariants.startCount, "tasks were started again")
        world.expectDone(listOf(job), 120_000)
    }

    @Test
    fun `a cut-off leader scales nothing in when it comes back`() {
        // In the cluster state of a leader that was partitioned, every worker is silent. Such a leader once deleted all machines before
        // it learned that it was no longer the leader.
        val world = SimulatedCluster(27, isNetworkReliable = true)
        val job = world.accept(world.plainJob(1) { it.copy(estimateS = 90.0) })
        world.run(20_000, busy = false)
        val busy = world.cloud.workers.count { it.hasRunningTasks }
        val leaderHost = world.hosts.first { it.controller?.leaderTerm() != null }
        leaderHost.faults.storeCutUntil = world.time.now + 30_000
        leaderHost.faults.workersCutUntil = world.time.now + 30_000
        world.run(45_000, busy = false)
        assertEquals(busy, world.cloud.workers.count { it.hasRunningTasks })
        assertEquals(4, world.invariants.startCount)
        world.expectDone(listOf(job), 90_000)
    }

    @Test
    fun `a leader that no worker reaches resigns`() {
        // The leader still holds its lease in the store, but no heartbeat reaches it, so that the leases of all workers would expire.
        val world = SimulatedCluster(28, isNetworkReliable = true)
        world.accept(world.plainJob(1) { it.copy(estimateS = 90.0, tasks = 4, cpus = 4.0, types = listOf(TypeId("s"))) })
        world.run(20_000, busy = false)
        val leaderHost = world.hosts.first { it.controller?.leaderTerm() != null }
        leaderHost.faults.workersCutUntil = world.time.now + 60_000
        world.run(25_000, busy = false)
        assertEquals(null, leaderHost.controller?.leaderTerm())
        assertNotNull(world.hosts.firstNotNullOfOrNull { it.controller?.leaderTerm() })
    }

    @Test
    fun `a leader that reaches the state service alone, neither workers nor peers, resigns`() {
        // It heard of no other node that could lead and went on leading, while no worker's lease was renewed and nothing started.
        val world = SimulatedCluster(28, isNetworkReliable = true)
        world.run(20_000, busy = false)
        val running = world.accept(world.plainJob(1) { it.copy(estimateS = 90.0, tasks = 4, cpus = 4.0, types = listOf(TypeId("s"))) })
        world.run(15_000, busy = false)
        val leaderHost = world.hosts.first { it.controller?.leaderTerm() != null }
        leaderHost.faults.peersCutUntil = world.time.now + 300_000
        world.run(8000, busy = false)
        leaderHost.faults.workersCutUntil = world.time.now + 290_000
        world.run(25_000, busy = false)
        assertEquals(null, leaderHost.controller?.leaderTerm())
        assertNotNull(world.hosts.firstNotNullOfOrNull { it.controller?.leaderTerm() })
        world.expectDone(listOf(running, world.accept(world.plainJob(2))), 200_000)
    }

    @Test
    fun `a leader that no worker reaches leads on once it was elected again for want of any other node`() {
        val world = SimulatedCluster(28, isNetworkReliable = true)
        world.accept(world.plainJob(1) { it.copy(estimateS = 90.0, tasks = 4, cpus = 4.0, types = listOf(TypeId("s"))) })
        world.run(20_000, busy = false)
        val leaderHost = world.hosts.first { it.controller?.leaderTerm() != null }
        (world.hosts - leaderHost).forEach { it.crash(300_000) }
        leaderHost.faults.workersCutUntil = world.time.now + 200_000
        world.run(30_000, busy = false)
        val term = checkNotNull(leaderHost.controller?.leaderTerm()) { "nobody leads" }
        world.run(60_000, busy = false)
        assertTrue(term === leaderHost.controller?.leaderTerm(), "resigned again, though no other node can lead")
    }

    @Test
    fun `a job cancelled before its assignments are in the store is removed from the cluster state`() {
        // An assignment that is not yet in the journal when its job is cancelled is never written. Such assignments once stayed in the
        // cluster state forever and counted against the limit of their team.
        val world = SimulatedCluster(29, isNetworkReliable = true)
        world.expectDone(listOf(world.accept(world.plainJob(1))), 30_000)
        val id = world.accept(world.plainJob(2))
        val leaderController = world.hosts.first { it.controller?.leaderTerm() != null }.controller!!
        leaderController.leaderWork.watchJobs(0)
        leaderController.leaderWork.runSchedulingCycle()
        assertTrue(world.leaderTerm().cluster.jobs.getValue(id).unreleasedAssignments.values.all { it.phase == Phase.INTENDED })
        assertEquals(200, world.cancel(id))
        world.run(5000, busy = false)
        assertEquals(null, world.leaderTerm().cluster.jobs[id])
        assertEquals(0.0, world.leaderTerm().cluster.assignments.usageOf(TeamId("red")).cpus, 1e-9)
    }

    @Test
    fun `a job of very many tasks stays within the limits on values and transactions`() {
        val world = SimulatedCluster(30, isNetworkReliable = true)
        val job = world.plainJob(1) {
            it.copy(tasks = 3000, team = TeamId("free"), cpus = 0.1, memoryGb = 0.2, estimateS = 0.5, image = it.image, imageGb = 0.0)
        }
        world.expectDone(listOf(world.accept(job)), 150_000)
        assertTrue(world.store.largestValueLength < 2048, "${world.store.largestValueLength} bytes")
    }

    @Test
    fun `a node is unready only while another can serve what it cannot`() {
        val world = SimulatedCluster(31, isNetworkReliable = true)
        world.accept(world.plainJob(1))
        val users = world.hosts.map { it.controller!!.users }
        assertTrue(users.all { it.isReady() })
        world.hosts[0].faults.storeRefusedUntil = world.time.now + 8000
        world.run(5000, busy = false)
        assertEquals(listOf(false, true, true), users.map { it.isReady() })
        assertEquals(200, world.hosts[0].controller!!.users.status("j-000001", isForwarded = false).status, "forwarded to a peer")
        world.run(10_000, busy = false)
        world.store.startOutage(10_000)
        world.run(7000, busy = false)
        assertTrue(users.all { it.isReady() })
        val refused = users[0].submit("""{"nameId":"j-7"}""", isForwarded = false)
        assertEquals(503 to true, refused.status to (refused.retryAfterS > 0))
    }

    @Test
    fun `a leader that falls behind leaves users to the others while both serve`() {
        // In a larger cluster, an overloaded leader answered submissions too late while the other nodes were idle.
        val world = SimulatedCluster(33, isNetworkReliable = true)
        world.run(15_000, busy = false)
        val leaderHost = world.hosts.first { it.controller?.leaderTerm() != null }
        fun isReady() = world.hosts.map { it.controller?.users?.isReady() ?: false }
        assertEquals(listOf(true, true, true), isReady())
        repeat(200) { leaderHost.controller!!.recordWakeLag(200) }
        world.run(3000, busy = false)
        assertEquals(world.hosts.map { it !== leaderHost }, isReady())
        world.hosts.first { it !== leaderHost }.crash(10_000)
        world.run(8000, busy = false)
        assertTrue(leaderHost.controller!!.users.isReady(), "a leader that falls behind left one node alone to serve all users")
    }

    @Test
    fun `a job of normal urgency starts although urgent jobs keep arriving`() {
        val world = SimulatedCluster(34, isNetworkReliable = true)
        val free = TeamId("free")
        val largeJob = world.plainJob(1) {
            it.copy(team = free, tasks = 3, cpus = 16.0, memoryGb = 32.0, types = listOf(TypeId("l")), estimateS = 5.0)
        }
        val jobs = ArrayList<JobId>()
        var number = 10
        fun submitUrgentJobs() = repeat(12) {
            val small = world.plainJob(number++) {
                it.copy(team = free, urgency = Urgency.HIGH, tasks = 30, cpus = 1.0, memoryGb = 2.0, estimateS = 8.0)
            }
            jobs += world.accept(small)
        }
        submitUrgentJobs()
        world.run(20_000, busy = false)
        world.accept(largeJob)
        repeat(24) {
            submitUrgentJobs()
            world.run(10_000, busy = false)
        }
        val startedAfterMs = world.invariants.firstStartDelayMs(largeJob.id)
        assertTrue(startedAfterMs != null && startedAfterMs < 240_000, "started after $startedAfterMs ms")
    }

    @Test
    fun `an unreachable machine gets no more work and is scaled in, and its tasks run elsewhere`() {
        // The machine's heartbeats arrive at the leader, but responses and commands do not arrive at the machine.
        val world = SimulatedCluster(35, isNetworkReliable = true)
        world.accept(world.plainJob(1) { it.copy(estimateS = 60.0) })
        world.run(15_000, busy = false)
        val unreachedWorker = world.cloud.workers.first { it.hasRunningTasks }.apply { inboundCutUntil = world.time.now + 120_000 }
        world.run(12_000, busy = false)
        val since = world.time.now
        val jobs = (2..9).map { world.accept(world.plainJob(it)) }
        world.run(40_000, busy = false)
        assertTrue(!unreachedWorker.isAlive, "still rented ${world.time.now - since} ms later")
        world.expectDone(jobs, 60_000)
    }

    @Test
    fun `a machine unreached for a moment keeps its tasks`() {
        val world = SimulatedCluster(36, isNetworkReliable = true)
        world.accept(world.plainJob(1) { it.copy(estimateS = 90.0) })
        world.run(30_000, busy = false)
        val started = world.invariants.startCount
        assertEquals(4, started)
        val unreachedWorker = world.cloud.workers.first { it.hasRunningTasks }.apply { inboundCutUntil = world.time.now + 2500 }
        world.run(20_000, busy = false)
        assertTrue(
            unreachedWorker.isAlive && unreachedWorker.hasRunningTasks,
            "scaled in or drained although it was unreached for 2.5 s only",
        )
        assertEquals(started, world.invariants.startCount, "its tasks were started again")
    }

    @Test
    fun `a node that cannot send to any worker resigns and scales nothing in`() {
        // Heartbeats arrive, but no response or command reaches any worker. A leader that took this for a fault of the machines would scale
        // all of them in.
        val world = SimulatedCluster(37, isNetworkReliable = true)
        world.accept(world.plainJob(1) { it.copy(tasks = 16, cpus = 2.0, estimateS = 90.0, team = TeamId("free")) })
        world.run(20_000, busy = false)
        val leaderHost = world.hosts.first { it.controller?.leaderTerm() != null }
        val machines = world.cloud.workers.filter { it.isAlive }
        assertTrue(machines.size >= 3)
        leaderHost.faults.sendsBlockedUntil = world.time.now + 40_000
        world.run(14_000, busy = false)
        assertEquals(null, leaderHost.controller?.leaderTerm(), "still leads")
        assertTrue(machines.all { it.isAlive }, "machines were scaled in although the fault is the node's")
    }

    @Test
    fun `a leader partitioned together with its workers loses them to its successor within its grace period`() {
        val world = SimulatedCluster(38, isNetworkReliable = true)
        val job = world.accept(world.plainJob(1) { it.copy(estimateS = 60.0) })
        world.run(20_000, busy = false)
        val started = world.invariants.startCount
        val leaderHost = world.hosts.first { it.controller?.leaderTerm() != null }
        leaderHost.faults.storeCutUntil = world.time.now + 40_000
        leaderHost.faults.peersCutUntil = world.time.now + 40_000
        // Within 9 s the leader's lease expires and the successor announces itself to the workers, well before the end of the old leader's
        // grace period of 13 s.
        world.run(9000, busy = false)
        val successor = world.hosts.mapNotNull { it.controller?.leaderTerm() }.maxBy { it.leaderLease.token }
        assertTrue(successor !== leaderHost.controller?.leaderTerm())
        assertTrue(
            successor.cluster.machines.values.filter {
                it.unreleasedAssignments.isNotEmpty()
            }.all { it.hasShownCurrentTerm },
            "workers are still with the old leader",
        )
        world.expectDone(listOf(job), 80_000)
        assertEquals(started, world.invariants.startCount, "tasks were started again")
    }

    @Test
    fun `nodes that all restart within a fraction of a second, several times in a row, start no task twice`() {
        for (seed in 40L..44L) {
            val world = SimulatedCluster(seed, isNetworkReliable = true)
            val job = world.accept(world.plainJob(1) { it.copy(estimateS = 30.0) })
            world.run(12_000, busy = false)
            repeat(4) {
                world.hosts.forEach { it.crash(world.random.nextLong(20, 300)) }
                world.run(world.random.nextLong(100, 2200), busy = false)
            }
            world.expectDone(listOf(job), 60_000)
            assertEquals(4, world.invariants.startCount, "seed $seed")
        }
    }

    @Test
    fun `jobs are served by the other nodes while one is partitioned from the state service and all peers`() {
        val world = SimulatedCluster(39, isNetworkReliable = true)
        val job = world.accept(world.plainJob(1) { it.copy(estimateS = 90.0) })
        world.run(10_000, busy = false)
        val follower = world.hosts.first { it.controller?.leaderTerm() == null }
        follower.faults.storeCutUntil = world.time.now + 60_000
        follower.faults.peersCutUntil = world.time.now + 60_000
        world.run(8000, busy = false)
        val users = follower.controller!!.users
        val refused = users.status(job.text, isForwarded = false)
        assertEquals(503 to true, refused.status to (refused.retryAfterS > 0), "answered at once")
        world.invariants.faultFreeSince = world.time.now - 76_000
        world.run(70_000, busy = false)
    }

    @Test
    fun `a leader just elected does not take its own slow responses for unreachable workers`() {
        // After a crash of all nodes, a leader that had just started responded to heartbeats only after the workers' timeout. It took the
        // workers for unreached and resigned, so that recovery started again with another leader.
        val world = SimulatedCluster(45, isNetworkReliable = true)
        world.accept(world.plainJob(1) { it.copy(tasks = 16, cpus = 2.0, estimateS = 90.0, team = TeamId("free")) })
        world.run(20_000, busy = false)
        val former = world.hosts.first { it.controller?.leaderTerm() != null }
        former.crash(60_000)
        while (world.hosts.none { it.controller?.leaderTerm() != null }) world.run(200, busy = false)
        val leaderHost = world.hosts.first { it.controller?.leaderTerm() != null }
        val leaderTerm = leaderHost.controller!!.leaderTerm()
        leaderHost.faults.sendsBlockedUntil = world.time.now + 8000
        world.run(13_000, busy = false)
        assertTrue(leaderTerm === leaderHost.controller!!.leaderTerm(), "resigned")
    }

    @Test
    fun `a machine that hung beyond its lease is used again and not scaled in`() = (1L..20L).forEach { seed ->
        // When hung machines were scaled in as soon as their leases had expired, a hundred of them were replaced at once. Each
        // replacement takes a boot, a fetch of images and the price of one minute.
        val world = SimulatedCluster(seed, isNetworkReliable = true)
        world.accept(world.plainJob(1) { it.copy(tasks = 8, estimateS = 90.0, team = TeamId("free")) })
        world.run(20_000, busy = false)
        val hungWorker = world.cloud.workers.first { it.hasRunningTasks }.apply {
            hangUntil = world.time.now + SimulatedCluster.LEASE_MS + 3000
        }
        world.run(SimulatedCluster.LEASE_MS + 2500, busy = false)
        assertEquals(MachineState.EXPIRED, world.leaderTerm().cluster.machines.getValue(hungWorker.id).state, "seed $seed")
        // The lost tasks may run on other machines by now, so this job has enough tasks to occupy every machine.
        world.accept(world.plainJob(2) { it.copy(tasks = 400, estimateS = 90.0, team = TeamId("free")) })
        world.run(6000, busy = false)
        assertTrue(hungWorker.isAlive && hungWorker.hasRunningTasks, "seed $seed: scaled in, or left idle")
        hungWorker.hangUntil = world.time.now + 60_000
        world.run(3 * SimulatedCluster.LEASE_MS, busy = false)
        assertTrue(!hungWorker.isAlive, "seed $seed: kept for good")
    }

    @Test
    fun `commands are not sent to machines that are silent`() = (45L..50L).forEach { seed ->
        // A request to a partitioned machine occupied a delivery thread until it timed out. With a fifth of the machines partitioned, the
        // commands to all other machines were delayed.
        val world = SimulatedCluster(seed, isNetworkReliable = true, machinesPerOffering = 30)
        // If a heartbeat from before the partition arrived during it, its machine would not count as silent.
        world.network.mayDelayHeartbeats = false
        world.accept(world.plainJob(1) { it.copy(tasks = 120, estimateS = 30.0, team = TeamId("free"), spotAllowed = false) })
        world.run(30_000, busy = false)
        val partitionedWorkers = world.cloud.workers.filter { it.isAlive }.take(20).onEach { it.partitionedUntil = world.time.now + 60_000 }
        world.run(6500, busy = false)
        val before = world.network.commandsLost
        val id = world.accept(world.plainJob(2) { it.copy(tasks = 40, team = TeamId("free")) })
        world.run(4000, busy = false)
        world.cancel(id)
        world.run(2000, busy = false)
        assertTrue(partitionedWorkers.all { it.isAlive })
        assertEquals(before, world.network.commandsLost)
    }

    @Test
    fun `a process that pauses for up to four lease durations in the middle of a step loses no job`() {
        // After the pause the process continues with its state from before it, although another node may have become leader.
        for (seed in 50L..61L) {
            val world = SimulatedCluster(seed)
            val jobs = (1..4).map { world.accept(world.plainJob(it) { spec -> spec.copy(estimateS = 12.0) }) }
            repeat(5) {
                val leaderHost = world.hosts.firstOrNull { it.controller?.leaderTerm() != null }
                (leaderHost ?: world.hosts.first()).faults.pauseAtNextRequestMs = world.random.nextLong(200, 4 * SimulatedCluster.LEASE_MS)
                world.run(world.random.nextLong(1000, 12_000), busy = false)
            }
            world.invariants.faultFreeSince = world.time.now + 4 * SimulatedCluster.LEASE_MS
            world.expectDone(jobs, 150_000)
        }
    }

    @Test
    fun `a partitioned zone loses no job, with controllers and tasks on either side`() {
        for (seed in 70L..75L) {
            val world = SimulatedCluster(seed, isNetworkReliable = true)
            val jobs = (1..6).map { number ->
                world.accept(world.plainJob(number) { it.copy(estimateS = 10.0, zone = world.zones[number % 2]) })
            }
            world.run(12_000, busy = false)
            world.partitionZone(world.zones[(seed % 2).toInt()], 4 * SimulatedCluster.LEASE_MS)
            world.run(4 * SimulatedCluster.LEASE_MS, busy = false)
            world.expectDone(jobs, 90_000)
        }
    }

    @Test
    fun `an attempt that was stopped is not forgotten, since its start may come once more`() {
        // A duplicate of a start command runs an attempt again if the worker has forgotten it, even long after the job was cancelled.
        val world = SimulatedCluster(48, isNetworkReliable = true)
        val id = world.accept(world.plainJob(1) { it.copy(estimateS = 60.0) })
        world.run(15_000, busy = false)
        val worker = world.cloud.workers.first { it.hasRunningTasks }
        val started = worker.heartbeat()
        val again = started.tasks.map { WorkerCommand(CommandType.START, it.task, it.attempt) }
        assertEquals(200, world.cancel(id))
        world.run(SimulatedCluster.CANCEL_MS + 5000, busy = false)
        worker.execute(started.token, started.incarnation, again)
        world.run(2000, busy = false)
        assertTrue(!worker.hasRunningTasks, "a cancelled task runs")
    }

    @Test
    fun `scale-out chooses small machines where they cost no more`() {
        val world = SimulatedCluster(49, isNetworkReliable = true)
        world.accept(world.plainJob(1) { it.copy(tasks = 16, cpus = 1.0, memoryGb = 2.0) })
        world.run(15_000, busy = false)
        assertEquals(setOf(TypeId("s")), world.cloud.workers.map { it.type.id }.toSet())
    }
}
