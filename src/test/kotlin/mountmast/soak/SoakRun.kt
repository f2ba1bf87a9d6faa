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

/** Runs three controllers as real processes with stand-ins on real sockets, and injects the faults drawn from [seed]. */
class SoakRun(
    val seed: Long,
    val size: SoakSize,
    val breakage: Breakage = Breakage.NONE,
    private val schedule: List<Fault> = FaultSchedule.draw(seed),
) : AutoCloseable {
    val clock = SoakClock()
    val rules = InvariantChecker(SoakDeployment.teams, SoakDeployment.CANCELLATION_MS)
    private val random = Random(seed)
    private val executor = Executors.newCachedThreadPool { task -> Thread(null, task, "soak", STACK_BYTES).apply { isDaemon = true } }
    private val store =
        SimulatedStateStore(clock.time, retainedChanges = 10_000, FallingLimits(SoakDeployment.limits), pageSize = STORE_PAGE_SIZE)
    private val users = SoakUsers(this, Random(seed + 1))
    val cloud: SimulatedCloud = SimulatedCloud(clock.time, random, SoakDeployment.types, size.machinesPerOffering) { id, request ->
        SimulatedWorker(
            id, SoakDeployment.types.first { it.id == request.type }, request.zone, request.spot, clock.time, rules, leaseMs(),
            { users.jobs[it] }, { false }, {},
        )
    }
    private val fleet = WorkerFleet(this, random, executor)
    private val ports = LoopbackPorts.allocate(2 * SoakDeployment.NODE_COUNT)

    /** The ports where the controllers serve users and workers, by node index. */
    val publicPorts: List<Int> get() = ports.take(SoakDeployment.NODE_COUNT)
    private val directory: File = Files.createTempDirectory("mountmast-soak").toFile()
    private val processFaults = List(SoakDeployment.NODE_COUNT) { ProcessFaults(clock.time).apply { lossRate = LOSS_RATE } }
    private val storeServers = processFaults.map {
        StoreServer(clock, store.Connection(random, it), executor, breakage == Breakage.SUBMISSIONS_LOST)
    }
    private val cloudServer = CloudServer(clock, cloud.Connection(ProcessFaults(clock.time)), fleet::addressOf, executor)
    private val stateLinks = storeServers.map { LinkProxy(it.port).start() }

    /** The links from each node to each other node. */
    private val peerLinks = List(SoakDeployment.NODE_COUNT) { from ->
        (0 until SoakDeployment.NODE_COUNT).filter { it != from }
            .associateWith { to -> LinkProxy(ports[SoakDeployment.NODE_COUNT + to]).start() }
    }
    private val controllers = List(SoakDeployment.NODE_COUNT) { node ->
        val settings = File(directory, "node-$node.toml")
        val members = peerLinks[node].mapValues { it.value.port }
        settings.writeText(
            SoakDeployment.settings(
                node,
                SoakDeployment.Ports(
                    ports[node],
                    ports[SoakDeployment.NODE_COUNT + node],
                    stateLinks[node].port,
                    cloudServer.port,
                    members,
                ),
            ),
        )
        ControllerProcess(settings, File(directory, "node-$node.log"))
    }

    /** Kills the controllers and deletes their files if the JVM exits during the run. */
    private val shutdownHook = thread(start = false) {
        controllers.forEach { it.close() }
        directory.deleteRecursively()
    }

    /** Executes the run. Returns null if all invariants held, else the failure, the fault schedule and the last lines of the logs. */
    fun execute(): String? {
        Runtime.getRuntime().addShutdownHook(shutdownHook)
        clock.addTickAction {
            cloud.step()
            fleet.step()
            rules.checkCancelledJobs(clock.time.now)
        }
        controllers.forEach { it.start() }
        clock.start()
        val userThreads = List(USER_COUNT) { thread(isDaemon = true) { clock.runRecordingFailure { runUser() } } }
        clock.runRecordingFailure(::awaitFirstTask)
        val faultsEndedAt = injectFaults()
        userThreads.forEach { it.join() }
        if (clock.failure == null) clock.runRecordingFailure { checkRecovery(faultsEndedAt) }
        return clock.failure?.let(::describeFailure)
    }

    private fun leaseMs() = if (breakage == Breakage.LEASES_NEVER_END) Long.MAX_VALUE else SoakDeployment.LEASE_MS

    /** Returns a one-line summary of the run. */
    fun summary(): String = clock.runLocked {
        val alive = cloud.workers.count { it.isAlive }
        val accepted = users.accepted.distinct().size
        "${schedule.size} faults, $accepted jobs accepted, ${rules.startCount} task starts, " +
            "$alive of ${cloud.rentedCount} rented machines alive"
    }

    private fun now() = clock.runLocked { clock.time.now }

    /** The time when the fault schedule started: once the first task has started, since a busy machine may be slow to start the service. */
    @Volatile
    private var scheduleStartedAt = Long.MAX_VALUE / 2

    @Volatile
    private var isSubmitting = true

    private fun awaitFirstTask() {
        while (clock.runLocked { rules.startCount } == 0) {
            clock.failure?.let { throw it }
            check(now() < STARTUP_TIMEOUT_MS) { "no task started within the time limit" }
            Thread.sleep(POLL_INTERVAL_MS)
        }
        scheduleStartedAt = now()
    }

    private fun runUser() {
        while (isSubmitting && clock.failure == null) {
            users.performRandomAction()
            Thread.sleep(USER_PAUSE_MS)
        }
    }

    private fun injectFaults(): Long {
        for (fault in schedule) {
            awaitScheduled(fault.startMs)
            if (clock.failure == null) inject(fault)
        }
        awaitScheduled(SUBMISSIONS_END_MS)
        isSubmitting = false
        awaitScheduled(schedule.maxOfOrNull { it.startMs + it.durationMs } ?: 0)
        return now()
    }

    private fun awaitScheduled(scheduleMs: Long) {
        while (now() - scheduleStartedAt < scheduleMs && clock.failure == null) Thread.sleep(POLL_INTERVAL_MS)
    }

    private fun inject(fault: Fault) {
        val node = fault.node
        val faultsOfNode = processFaults[node]
        val until = now() + fault.durationMs
        when (fault.kind) {
            FaultKind.KILL -> killAndRestart(fault.durationMs, listOf(controllers[node]))
            FaultKind.KILL_ALL -> killAndRestart(fault.durationMs / 2, controllers)
            FaultKind.KILL_FOR_A_MOMENT -> killAndRestart(random.nextLong(50, 500), listOf(controllers[node]))
            FaultKind.PAUSE -> {
                controllers[node].pause()
                runAfter(fault.durationMs) { controllers[node].resume() }
            }
            FaultKind.STATE_HELD -> failLinks(listOf(stateLinks[node]), LinkFault.BOTH_HELD, fault.durationMs)
            FaultKind.STATE_ANSWERS_HELD -> failLinks(listOf(stateLinks[node]), LinkFault.RESPONSES_HELD, fault.durationMs)
            FaultKind.STATE_REFUSED -> clock.runLocked { faultsOfNode.storeRefusedUntil = until }
            FaultKind.STATE_SLOW -> {
                stateLinks.forEach { it.delayMs = SLOW_LINK_DELAY_MS }
                runAfter(fault.durationMs) { stateLinks.forEach { it.delayMs = 0 } }
            }
            FaultKind.STATE_OUT -> clock.runLocked { store.startOutage(fault.durationMs) }
            FaultKind.LATE_WRITES -> clock.runLocked { faultsOfNode.lateWritesUntil = until }
            FaultKind.PEERS_HELD -> failLinks(peerLinksOf(node), LinkFault.BOTH_HELD, fault.durationMs)
            FaultKind.PEERS_REFUSED -> failLinks(peerLinksOf(node), LinkFault.CONNECTIONS_REFUSED, fault.durationMs)
            FaultKind.HEARTBEATS_LOST -> {
                fleet.links[node].heartbeatsLost = true
                runAfter(fault.durationMs) { fleet.links[node].heartbeatsLost = false }
            }
            FaultKind.HEARTBEAT_ANSWERS_LOST -> {
                fleet.links[node].responsesLost = true
                runAfter(fault.durationMs) { fleet.links[node].responsesLost = false }
            }
            FaultKind.HEARTBEAT_COPIES -> {
                fleet.resendsHeartbeats = true
                runAfter(fault.durationMs) { fleet.resendsHeartbeats = false }
            }
            FaultKind.CLOUD_OUT -> clock.runLocked { cloud.startOutage(fault.durationMs) }
            else -> clock.runLocked { failMachines(fault.kind, fault.durationMs) }
        }
    }

    private fun failMachines(kind: FaultKind, durationMs: Long) {
        val until = clock.time.now + durationMs
        for (worker in cloud.workers.filter { it.isAlive && random.nextInt(3) == 0 }) {
            when (kind) {
                FaultKind.MACHINES_CUT -> worker.partitionedUntil = until
                FaultKind.MACHINES_DEAF -> worker.inboundCutUntil = until
                FaultKind.MACHINES_MUTE -> worker.outboundCutUntil = until
                FaultKind.MACHINES_HANG -> worker.hangUntil = clock.time.now + durationMs / 2
                FaultKind.COMMANDS_HELD -> {
                    worker.commandsHeldMs = durationMs
                    worker.commandsHeldUntil = until
                }
                else -> cloud.terminateMachine(worker.id)
            }
        }
    }

    private fun peerLinksOf(node: Int) = peerLinks[node].values + peerLinks.filterIndexed { i, _ -> i != node }.mapNotNull { it[node] }

    private fun failLinks(links: Collection<LinkProxy>, fault: LinkFault, durationMs: Long) {
        links.forEach { it.fault = fault }
        runAfter(durationMs) { links.forEach { it.fault = LinkFault.NONE } }
    }

    private fun killAndRestart(durationMs: Long, processes: List<ControllerProcess>) {
        processes.forEach { it.kill() }
        runAfter(durationMs) { processes.forEach { it.start() } }
    }

    private fun runAfter(waitMs: Long, action: () -> Unit) {
        thread(isDaemon = true) {
            Thread.sleep(waitMs)
            clock.runRecordingFailure(action)
        }
    }

    /** Checks that after the last fault all accepted jobs get done and all controllers are ready, without violations or process exits. */
    private fun checkRecovery(faultsEndedAt: Long) {
        clock.runLocked {
            processFaults.forEach { it.lossRate = 0.0 }
            rules.faultFreeSince = clock.time.now
        }
        var unfinished = users.expectedJobs()
        while (unfinished.isNotEmpty()) {
            clock.failure?.let { throw it }
            unfinished = unfinished.filter { users.poll(it) != JobStatus.DONE }
            check(now() < faultsEndedAt + SoakDeployment.RECOVERY_TIMEOUT_MS) { "jobs not done in time after the faults: $unfinished" }
            Thread.sleep(POLL_INTERVAL_MS)
        }
        while (publicPorts.any { !isReady(it) }) {
            check(now() < faultsEndedAt + SoakDeployment.RECOVERY_TIMEOUT_MS) { "a controller is not ready in time after the faults" }
            Thread.sleep(POLL_INTERVAL_MS)
        }
        val violations = publicPorts.sumOf(::countViolations)
        check(violations == 0L) { "the controllers counted $violations invariant violations" }
        check(controllers.all { it.unexpectedExits == 0 && it.isRunning }) { "a controller process exited without being killed" }
    }

    private fun isReady(port: Int) = get(port, "/ready") != null

    private fun countViolations(port: Int): Long = get(port, "/metrics").orEmpty().lines()
        .firstOrNull { it.startsWith("mountmast_invariant_violations_total") }?.substringAfter(' ')?.toLong() ?: 0

    private fun get(port: Int, path: String): String? = try {
        HttpCaller().call(InetSocketAddress(InetAddress.getLoopbackAddress(), port), "GET", path, null, REQUEST_TIMEOUT_MS)
            .takeIf { it.isOk }?.text
    } catch (e: NoAnswerException) {
        null
    }

    private fun describeFailure(failure: Throwable): String {
        val logs = controllers.indices.joinToString("\n") { node ->
            "--- node-$node\n" +
                File(directory, "node-$node.log").takeIf { it.exists() }?.readLines()?.takeLast(REPORTED_LOG_LINES)?.joinToString("\n")
        }
        return "seed $seed ($size): $failure\n${schedule.joinToString("\n")}\n$logs"
    }

    override fun close() {
        clock.close()
        controllers.forEach { it.close() }
        Runtime.getRuntime().removeShutdownHook(shutdownHook)
        (stateLinks + peerLinks.flatMap { it.values }).forEach { it.close() }
        fleet.close()
        storeServers.forEach { it.close() }
        cloudServer.close()
        executor.shutdownNow()
        directory.deleteRecursively()
    }

    private companion object {
        const val SUBMISSIONS_END_MS = 18_000L
        const val STARTUP_TIMEOUT_MS = 90_000L
        const val USER_COUNT = 3
        const val USER_PAUSE_MS = 120L
        const val POLL_INTERVAL_MS = 50L
        const val SLOW_LINK_DELAY_MS = 300L
        const val REQUEST_TIMEOUT_MS = 2000
        const val LOSS_RATE = 0.005
        const val STORE_PAGE_SIZE = 500
        const val REPORTED_LOG_LINES = 60
        const val STACK_BYTES = 256L * 1024
    }
}
