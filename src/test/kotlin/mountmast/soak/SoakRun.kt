package mountmast.soak

import mountmast.protocol.JobStatus
import mountmast.standin.FallingLimits
import mountmast.standin.InvariantChecker
import mountmast.standin.ProcessFaults
import mountmast.standin.SimulatedCloud
import mountmast.standin.SimulatedStateStore
import mountmast.standin.SimulatedWorker
import mountmast.transport.HttpCaller
import mountmast.transport.NoAnswerException
import java.io.File
import java.net.InetAddress
import java.net.InetSocketAddress
import java.nio.file.Files
import java.util.concurrent.Executors
import kotlin.concurrent.thread
import kotlin.random.Random

/** Three controllers as real processes among stand-ins on real sockets, with the faults of one [seed]. */
class SoakRun(
    val seed: Long,
    val size: SoakSize,
    val breakage: Breakage = Breakage.NONE,
    private val schedule: List<Fault> = FaultSchedule.draw(seed),
) : AutoCloseable {
    val clock = SoakClock()
    val rules = InvariantChecker(SoakSite.teams, SoakSite.CANCEL_MS)
    private val random = Random(seed)
    private val executor = Executors.newCachedThreadPool { task -> Thread(null, task, "soak", STACK_BYTES).apply { isDaemon = true } }
    private val store = SimulatedStateStore(clock.time, retainedChanges = 10_000, FallingLimits(SoakSite.limits), pageSize = PAGE)
    private val users = SoakUsers(this, Random(seed + 1))
    val cloud: SimulatedCloud = SimulatedCloud(clock.time, random, SoakSite.types, size.machinesPerOffer) { id, request ->
        SimulatedWorker(
            id, SoakSite.types.first { it.id == request.type }, request.zone, request.spot, clock.time, rules, leaseMs(),
            { users.jobs[it] }, { false }, {},
        )
    }
    private val fleet = WorkerFleet(this, random, executor)
    private val ports = LoopbackPorts.take(2 * SoakSite.NODES)

    /** Where users and workers reach the controllers. */
    val publicPorts: List<Int> get() = ports.take(SoakSite.NODES)
    private val directory: File = Files.createTempDirectory("mountmast-soak").toFile()
    private val troubles = List(SoakSite.NODES) { ProcessFaults(clock.time).apply { lossRate = LOSS_RATE } }
    private val storeServers = troubles.map {
        StoreServer(clock, store.Connection(random, it), executor, breakage == Breakage.SUBMISSIONS_LOST)
    }
    private val cloudServer = CloudServer(clock, cloud.Connection(ProcessFaults(clock.time)), fleet::addressOf, executor)
    private val stateLinks = storeServers.map { LinkProxy(it.port).start() }

    /** From each node to each other one. */
    private val peerLinks = List(SoakSite.NODES) { from ->
        (0 until SoakSite.NODES).filter { it != from }.associateWith { to -> LinkProxy(ports[SoakSite.NODES + to]).start() }
    }
    private val controllers = List(SoakSite.NODES) { node ->
        val settings = File(directory, "node-$node.toml")
        val members = peerLinks[node].mapValues { it.value.port }
        settings.writeText(
            SoakSite.settings(
                node,
                SoakSite.Ports(ports[node], ports[SoakSite.NODES + node], stateLinks[node].port, cloudServer.port, members),
            ),
        )
        ControllerProcess(settings, File(directory, "node-$node.log"))
    }

    /** Leaves nothing behind when the run is interrupted. */
    private val hook = thread(start = false) {
        controllers.forEach { it.close() }
        directory.deleteRecursively()
    }

    /** Plays the run; returns null where all invariants held, or else what was seen, with the schedule and the logs' ends. */
    fun play(): String? {
        Runtime.getRuntime().addShutdownHook(hook)
        clock.eachTick {
            cloud.step()
            fleet.step()
            rules.checkCancelledJobs(clock.time.now)
        }
        controllers.forEach { it.start() }
        clock.start()
        val asking = List(USERS) { thread(isDaemon = true) { clock.noting { use() } } }
        clock.noting(::awaitFirstTask)
        val troublesEndAt = playFaults()
        asking.forEach { it.join() }
        if (clock.failure == null) clock.noting { recover(troublesEndAt) }
        return clock.failure?.let(::describe)
    }

    private fun leaseMs() = if (breakage == Breakage.LEASES_NEVER_END) Long.MAX_VALUE else SoakSite.LEASE_MS

    /** What the run did, in one line. */
    fun summary(): String = clock.locked {
        val alive = cloud.workers.count { it.isAlive }
        val accepted = users.accepted.distinct().size
        "${schedule.size} faults, $accepted jobs accepted, ${rules.startCount} starts, $alive of ${cloud.rentedCount} machines left"
    }

    private fun now() = clock.locked { clock.time.now }

    /** When the schedule's time began: not before the service runs, however long a busy machine takes to start it. */
    @Volatile
    private var scheduleBeganAt = Long.MAX_VALUE / 2

    @Volatile
    private var isSubmitting = true

    private fun awaitFirstTask() {
        while (clock.locked { rules.startCount } == 0) {
            clock.failure?.let { throw it }
            check(now() < STARTED_WITHIN_MS) { "nothing ran" }
            Thread.sleep(STEP_MS)
        }
        scheduleBeganAt = now()
    }

    private fun use() {
        while (isSubmitting && clock.failure == null) {
            users.act()
            Thread.sleep(USER_PAUSE_MS)
        }
    }

    private fun playFaults(): Long {
        for (fault in schedule) {
            awaitScheduled(fault.atMs)
            if (clock.failure == null) begin(fault)
        }
        awaitScheduled(FAULTS_END_MS)
        isSubmitting = false
        awaitScheduled(schedule.maxOfOrNull { it.atMs + it.forMs } ?: 0)
        return now()
    }

    private fun awaitScheduled(atMs: Long) {
        while (now() - scheduleBeganAt < atMs && clock.failure == null) Thread.sleep(STEP_MS)
    }

    private fun begin(fault: Fault) {
        val node = fault.node
        val trouble = troubles[node]
        val until = now() + fault.forMs
        when (fault.kind) {
            FaultKind.KILL -> stopped(fault.forMs, listOf(controllers[node]))
            FaultKind.KILL_ALL -> stopped(fault.forMs / 2, controllers)
            FaultKind.KILL_FOR_A_MOMENT -> stopped(random.nextLong(50, 500), listOf(controllers[node]))
            FaultKind.PAUSE -> {
                controllers[node].pause()
                after(fault.forMs) { controllers[node].resume() }
            }
            FaultKind.STATE_HELD -> cut(listOf(stateLinks[node]), Cut.BOTH, fault.forMs)
            FaultKind.STATE_ANSWERS_HELD -> cut(listOf(stateLinks[node]), Cut.ANSWERS, fault.forMs)
            FaultKind.STATE_REFUSED -> clock.locked { trouble.storeRefusedUntil = until }
            FaultKind.STATE_SLOW -> {
                stateLinks.forEach { it.delayMs = SLOW_MS }
                after(fault.forMs) { stateLinks.forEach { it.delayMs = 0 } }
            }
            FaultKind.STATE_OUT -> clock.locked { store.startOutage(fault.forMs) }
            FaultKind.LATE_WRITES -> clock.locked { trouble.lateWritesUntil = until }
            FaultKind.PEERS_HELD -> cut(linksOf(node), Cut.BOTH, fault.forMs)
            FaultKind.PEERS_REFUSED -> cut(linksOf(node), Cut.REFUSED, fault.forMs)
            FaultKind.HEARTBEATS_LOST -> {
                fleet.links[node].heartbeatsLost = true
                after(fault.forMs) { fleet.links[node].heartbeatsLost = false }
            }
            FaultKind.HEARTBEAT_ANSWERS_LOST -> {
                fleet.links[node].answersLost = true
                after(fault.forMs) { fleet.links[node].answersLost = false }
            }
            FaultKind.HEARTBEAT_COPIES -> {
                fleet.copiesHeartbeats = true
                after(fault.forMs) { fleet.copiesHeartbeats = false }
            }
            FaultKind.CLOUD_OUT -> clock.locked { cloud.startOutage(fault.forMs) }
            else -> clock.locked { machinesFail(fault.kind, fault.forMs) }
        }
    }

    private fun machinesFail(kind: FaultKind, forMs: Long) {
        val until = clock.time.now + forMs
        for (worker in cloud.workers.filter { it.isAlive && random.nextInt(3) == 0 }) {
            when (kind) {
                FaultKind.MACHINES_CUT -> worker.partitionedUntil = until
                FaultKind.MACHINES_DEAF -> worker.inboundCutUntil = until
                FaultKind.MACHINES_MUTE -> worker.outboundCutUntil = until
                FaultKind.MACHINES_HANG -> worker.hangUntil = clock.time.now + forMs / 2
                FaultKind.COMMANDS_HELD -> {
                    worker.commandsHeldMs = forMs
                    worker.commandsHeldUntil = until
                }
                else -> cloud.terminateMachine(worker.id)
            }
        }
    }

    private fun linksOf(node: Int) = peerLinks[node].values + peerLinks.filterIndexed { i, _ -> i != node }.mapNotNull { it[node] }

    private fun cut(links: Collection<LinkProxy>, cut: Cut, forMs: Long) {
        links.forEach { it.cut = cut }
        after(forMs) { links.forEach { it.cut = Cut.NONE } }
    }

    private fun stopped(forMs: Long, processes: List<ControllerProcess>) {
        processes.forEach { it.kill() }
        after(forMs) { processes.forEach { it.start() } }
    }

    private fun after(ms: Long, act: () -> Unit) {
        thread(isDaemon = true) {
            Thread.sleep(ms)
            clock.noting(act)
        }
    }

    /** After the last fault all accepted work is done, and every controller serves. */
    private fun recover(troublesEndAt: Long) {
        clock.locked {
            troubles.forEach { it.lossRate = 0.0 }
            rules.faultFreeSince = clock.time.now
        }
        var open = users.expected()
        while (open.isNotEmpty()) {
            clock.failure?.let { throw it }
            open = open.filter { users.poll(it) != JobStatus.DONE }
            check(now() < troublesEndAt + SoakSite.RECOVERY_MS) { "not done after the faults: $open" }
            Thread.sleep(STEP_MS)
        }
        while (publicPorts.any { !isReady(it) }) {
            check(now() < troublesEndAt + SoakSite.RECOVERY_MS) { "a controller is not ready after the faults" }
            Thread.sleep(STEP_MS)
        }
        val violations = publicPorts.sumOf(::violationsAt)
        check(violations == 0L) { "$violations violations counted by the controllers" }
        check(controllers.all { it.ownEnds == 0 && it.isRunning }) { "a controller ended by itself" }
    }

    private fun isReady(port: Int) = get(port, "/ready") != null

    private fun violationsAt(port: Int): Long = get(port, "/metrics").orEmpty().lines()
        .firstOrNull { it.startsWith("mountmast_invariant_violations_total") }?.substringAfter(' ')?.toLong() ?: 0

    private fun get(port: Int, path: String): String? = try {
        HttpCaller().call(InetSocketAddress(InetAddress.getLoopbackAddress(), port), "GET", path, null, ASK_MS).takeIf { it.ok }?.text
    } catch (e: NoAnswerException) {
        null
    }

    private fun describe(failure: Throwable): String {
        val logs = controllers.indices.joinToString("\n") { node ->
            "--- node-$node\n" +
                File(directory, "node-$node.log").takeIf { it.exists() }?.readLines()?.takeLast(LOG_LINES)?.joinToString("\n")
        }
        return "seed $seed ($size): $failure\n${schedule.joinToString("\n")}\n$logs"
    }

    override fun close() {
        clock.close()
        controllers.forEach { it.close() }
        Runtime.getRuntime().removeShutdownHook(hook)
        (stateLinks + peerLinks.flatMap { it.values }).forEach { it.close() }
        fleet.close()
        storeServers.forEach { it.close() }
        cloudServer.close()
        executor.shutdownNow()
        directory.deleteRecursively()
    }

    private companion object {
        const val FAULTS_END_MS = 18_000L
        const val STARTED_WITHIN_MS = 90_000L
        const val USERS = 3
        const val USER_PAUSE_MS = 120L
        const val STEP_MS = 50L
        const val SLOW_MS = 300L
        const val ASK_MS = 2000
        const val LOSS_RATE = 0.005
        const val PAGE = 500
        const val LOG_LINES = 60
        const val STACK_BYTES = 256L * 1024
    }
}
