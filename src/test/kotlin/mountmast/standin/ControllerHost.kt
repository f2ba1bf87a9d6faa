package mountmast.standin

import mountmast.coordination.autoscaling.AutoscalingPolicy
import mountmast.coordination.controller.Controller
import mountmast.coordination.controller.ExternalSystems
import mountmast.coordination.controller.OperatorSettings
import mountmast.coordination.controller.StepResult.DID_WORK
import mountmast.protocol.Member
import mountmast.protocol.NodeId
import mountmast.protocol.Settings
import mountmast.transport.MetricNames
import mountmast.transport.Metrics
import java.net.InetSocketAddress
import kotlin.random.Random

/** One controller node of a [SimulatedCluster], and the process that it runs at present; [controller] is null while none runs. */
class ControllerHost(private val cluster: SimulatedCluster, val number: Int, var version: NodeVersion) {
    val name = NodeId("node-$number")
    val zone = cluster.zones[number % cluster.zones.size]
    var faults = ProcessFaults(cluster.time, number)
    var controller: Controller? = null
    private var metrics = Metrics()

    /** How many violations of its own invariants the running controller process has counted. */
    val violations: Long get() = metrics.counter(MetricNames.INVARIANT_VIOLATIONS).value

    /** Virtual time, in milliseconds, from which a new process is started if none runs. */
    var downUntil = 0L

    /** Injected fault: this node can be elected leader, but never loads the cluster state. */
    var isStateLoadBlocked = false
    private var nextRunAt = LongArray(STEP_COUNT)
    private var processCount = 0

    /** Starts a new controller process. */
    fun start() {
        faults.lossRate = if (cluster.isNetworkReliable) 0.0 else LOSS_RATE
        faults.repeatsRequests = !cluster.isNetworkReliable
        val startedProcess = faults
        startedProcess.pauseProcess = { ms -> pauseMidStep(startedProcess, ms) }
        val drift = if (number == 0) CLOCK_DRIFT else 0.0
        val store = cluster.store.Connection(cluster.random, faults, Random(cluster.seed))
        metrics = Metrics()
        val systems = ExternalSystems(
            version.store(store),
            cluster.cloud.Connection(faults),
            cluster.network.workersOf(faults),
            cluster.network.peersOf(this, faults),
        )
        controller = Controller(
            settings(),
            OperatorSettings(autoscaling = AutoscalingPolicy(idleTimeoutMs = IDLE_TIMEOUT_MS)),
            systems,
            cluster.time.clock(drift, cluster.random.nextLong(-MAX_CLOCK_OFFSET_MS, MAX_CLOCK_OFFSET_MS)),
            "${cluster.seed}-$number-${processCount++}",
            metrics,
        )
        nextRunAt = LongArray(STEP_COUNT)
    }

    private fun settings() = Settings(
        name, zone, localAddress(1), localAddress(2),
        (0 until SimulatedCluster.NODES).filter { it != number }.map {
            Member(NodeId("node-$it"), cluster.zones[it % cluster.zones.size], localAddress(2))
        },
        localAddress(3), localAddress(4), cluster.teams, 20.0,
        SimulatedCluster.HEARTBEAT_MS / 1000.0, SimulatedCluster.LEASE_MS / 1000.0, SimulatedCluster.CANCEL_MS / 1000.0,
        version.limits(cluster.limits), 5.0, 3.0, 100,
    )

    private fun localAddress(port: Int) = InetSocketAddress("127.0.0.1", port)

    /** Runs the due steps of the controller process in random order, or starts a process if none runs and [downUntil] has passed. */
    fun step() {
        val running = controller
        if (running == null) {
            if (cluster.time.now >= downUntil) start()
            return
        }
        if (faults.isStalled()) return
        val steps = steps(running)
        for (i in steps.indices.shuffled(cluster.random)) {
            if (cluster.time.now < nextRunAt[i]) continue
            nextRunAt[i] = cluster.time.now + steps[i].intervalMs
            if (!runInProcess { steps[i].action() }) return
        }
    }

    private class Step(val intervalMs: Long, val action: () -> Unit)

    private fun steps(running: Controller): List<Step> = listOf(
        Step(1000L) { running.electionStep() },
        Step(1000L) { running.refreshSharedData() },
        Step(100L) { if (!isStateLoadBlocked) running.leaderWork.load() },
        Step(2000L) { running.exchangePeerHeartbeats() },
        Step(300L) { running.leaderWork.runSchedulingCycle() },
        Step(100L) { running.leaderWork.commitPendingChanges() },
        Step(150L) { if (running.leaderWork.watchJobs(0) == DID_WORK) running.leaderWork.resolvePrerequisites() },
        Step(1000L) { running.leaderWork.autoscale() },
        Step(300L) { running.prefetchJobs(0) },
        Step(100L) { while (running.leaderWork.deliverCommands(0) == DID_WORK || running.leaderWork.announceLeader() == DID_WORK) Unit },
    )

    /** Runs [action] as part of the controller process. Returns false if an injected fault killed the process in it. */
    fun runInProcess(action: () -> Unit): Boolean {
        val process = faults
        return try {
            action()
            true
        } catch (e: NodeDied) {
            // A process killed during an injected pause has already been replaced.
            if (faults === process) crash(if (cluster.random.nextInt(3) == 0) 200L else RESTART_DELAY_MS)
            false
        }
    }

    /** Pauses [process] in the middle of a step for [ms]; everything else in the simulation, and the clocks of this node, go on. */
    private fun pauseMidStep(process: ProcessFaults, ms: Long) {
        process.stalledUntil = cluster.time.now + ms
        cluster.run(ms, busy = false)
        if (faults !== process) throw NodeDied()
    }

    /** Kills the controller process; a new one starts after [downMs]. */
    fun crash(downMs: Long) {
        controller = null
        downUntil = cluster.time.now + downMs
        faults = ProcessFaults(cluster.time, number)
    }

    private companion object {
        /** Number of entries that [steps] returns. */
        const val STEP_COUNT = 10
        const val LOSS_RATE = 0.01

        /** Relative error of the monotonic clock of node 0. */
        const val CLOCK_DRIFT = 0.0005
        const val MAX_CLOCK_OFFSET_MS = 20L
        const val IDLE_TIMEOUT_MS = 8000L
        const val RESTART_DELAY_MS = 4000L
    }
}
