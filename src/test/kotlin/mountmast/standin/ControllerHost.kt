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

/** One of the controllers of a [World], with the process that runs on it at the moment. */
class ControllerHost(private val world: World, val number: Int, var version: NodeVersion) {
    val name = NodeId("node-$number")
    val zone = world.zones[number % world.zones.size]
    var faults = ProcessFaults(world.time, number)
    var controller: Controller? = null
    private var metrics = Metrics()

    /** How often the present process found one of its invariants violated. */
    val violations: Long get() = metrics.counter(MetricNames.INVARIANT_VIOLATIONS).value
    var downUntil = 0L

    /** This node is elected, but gets no further. */
    var loadsNothing = false
    private var due = LongArray(STEPS)
    private var starts = 0

    /** Starts a new process. */
    fun start() {
        faults.lossRate = if (world.quietNetwork) 0.0 else LOSS_RATE
        faults.repeats = !world.quietNetwork
        val started = faults
        started.standStill = { ms -> standStill(started, ms) }
        val drift = if (number == 0) DRIFT else 0.0
        val store = world.store.View(world.random, faults, Random(world.seed))
        metrics = Metrics()
        val systems = ExternalSystems(
            version.store(store),
            world.cloud.View(faults),
            world.network.workersOf(faults),
            world.network.peersOf(this, faults),
        )
        controller = Controller(
            settings(),
            OperatorSettings(autoscaling = AutoscalingPolicy(idleTimeoutMs = IDLE_RETURN_MS)),
            systems,
            world.time.clock(drift, world.random.nextLong(-CLOCK_OFF_MS, CLOCK_OFF_MS)),
            "${world.seed}-$number-${starts++}",
            metrics,
        )
        due = LongArray(STEPS)
    }

    private fun settings() = Settings(
        name, zone, local(1), local(2),
        (0 until World.NODES).filter { it != number }.map { Member(NodeId("node-$it"), world.zones[it % world.zones.size], local(2)) },
        local(3), local(4), world.teams, 20.0, World.HEARTBEAT_MS / 1000.0, World.LEASE_MS / 1000.0, World.CANCEL_MS / 1000.0,
        version.limits(world.limits), 5.0, 3.0, 100,
    )

    private fun local(port: Int) = InetSocketAddress("127.0.0.1", port)

    /** Runs the steps that are due by now. */
    fun step() {
        val running = controller
        if (running == null) {
            if (world.time.now >= downUntil) start()
            return
        }
        if (faults.isStalled()) return
        val steps = steps(running)
        for (i in steps.indices.shuffled(world.random)) {
            if (world.time.now < due[i]) continue
            due[i] = world.time.now + steps[i].everyMs
            if (!guarded { steps[i].act() }) return
        }
    }

    private class Step(val everyMs: Long, val act: () -> Unit)

    private fun steps(running: Controller): List<Step> = listOf(
        Step(1000L) { running.electionStep() },
        Step(1000L) { running.refreshSharedData() },
        Step(100L) { if (!loadsNothing) running.leaderWork.load() },
        Step(2000L) { running.exchangePeerHeartbeats() },
        Step(300L) { running.leaderWork.runSchedulingCycle() },
        Step(100L) { running.leaderWork.commitPendingChanges() },
        Step(150L) { if (running.leaderWork.watchJobs(0) == DID_WORK) running.leaderWork.resolvePrerequisites() },
        Step(1000L) { running.leaderWork.autoscale() },
        Step(300L) { running.prefetchJobs(0) },
        Step(100L) { while (running.leaderWork.deliverCommands(0) == DID_WORK || running.leaderWork.announceLeader() == DID_WORK) Unit },
    )

    /** Runs part of this node; false where the process died in it. */
    fun guarded(act: () -> Unit): Boolean {
        val running = faults
        return try {
            act()
            true
        } catch (e: NodeDied) {
            // One that died while it stood still has been replaced by now.
            if (faults === running) crash(if (world.random.nextInt(3) == 0) 200L else RESTART_MS)
            false
        }
    }

    /** Everybody else goes on, while this process is in the middle of what it does; its clocks run on too. */
    private fun standStill(process: ProcessFaults, ms: Long) {
        process.stalledUntil = world.time.now + ms
        world.run(ms, busy = false)
        if (faults !== process) throw NodeDied()
    }

    /** Ends the process; another one starts after [downMs]. */
    fun crash(downMs: Long) {
        controller = null
        downUntil = world.time.now + downMs
        faults = ProcessFaults(world.time, number)
    }

    private companion object {
        /** As many as [steps] lists. */
        const val STEPS = 10
        const val LOSS_RATE = 0.01
        const val DRIFT = 0.0005
        const val CLOCK_OFF_MS = 20L
        const val IDLE_RETURN_MS = 8000L
        const val RESTART_MS = 4000L
    }
}
