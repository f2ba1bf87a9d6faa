package mountmast.standin

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.encodeToHexString
import kotlinx.serialization.encodeToString
import kotlinx.serialization.protobuf.ProtoBuf
import mountmast.coordination.controller.Controller
import mountmast.protocol.CommandRequest
import mountmast.protocol.CommandType
import mountmast.protocol.ForwardedRequest
import mountmast.protocol.ForwardedResponse
import mountmast.protocol.Heartbeat
import mountmast.protocol.Member
import mountmast.protocol.PeerHeartbeat
import mountmast.protocol.TaskId
import mountmast.protocol.WireJson
import mountmast.protocol.WorkerCommand
import mountmast.protocol.Zone
import mountmast.transport.CommandOutcome
import mountmast.transport.HeartbeatOutcome
import mountmast.transport.PeerClient
import mountmast.transport.WorkerClient

/** The simulated network of a [SimulatedCluster]: delivers heartbeats, commands and peer messages, with injected faults. */
@OptIn(ExperimentalSerializationApi::class)
class SimulatedNetwork(private val cluster: SimulatedCluster) {
    private val time get() = cluster.time
    private val random get() = cluster.random
    private var partitionedZone: Zone? = null
    private var partitionedUntil = 0L

    /** Whether a heartbeat that does not get through may be held up and arrive late. */
    var mayDelayHeartbeats = true

    /** How long, in milliseconds, a heartbeat waits at its node before it is processed; commands and their answers are not delayed. */
    var heartbeatQueueDelayMs = 0L

    /** Called with each direct command request that a worker executed. */
    var onCommandsExecuted: (SimulatedWorker, CommandRequest) -> Unit = { _, _ -> }

    /** Number of command requests sent to workers. */
    var commandsSent = 0
        private set

    /** Number of command requests that did not reach their worker at once; some of them arrive late. */
    var commandsLost = 0
        private set

    /** Number of command requests held up by [SimulatedCluster.holdCommands]. */
    var delayedCommands = 0
        private set

    /** For [ms], partitions [zone] from the other zones and the state service; connections inside the zone still work. */
    fun partitionZone(zone: Zone, ms: Long) {
        partitionedZone = zone
        partitionedUntil = time.now + ms
        cluster.hosts.filter { it.zone == zone }.forEach { it.faults.storeCutUntil = maxOf(it.faults.storeCutUntil, partitionedUntil) }
    }

    private fun isPartitioned(one: Zone, other: Zone) =
        time.now < partitionedUntil && (one == partitionedZone) != (other == partitionedZone)

    private fun isUnreachable(worker: SimulatedWorker, faults: ProcessFaults) = worker.isPartitioned ||
        faults.isCutFromWorkers() ||
        cluster.hosts.any { it.faults === faults && isPartitioned(it.zone, worker.zone) }

    /** Returns a client by which the process with [faults] reaches the workers. */
    fun workersOf(faults: ProcessFaults) = WorkerClient { address, message -> deliver(faults, address, message) }

    private fun deliver(faults: ProcessFaults, address: String, message: CommandRequest): CommandOutcome {
        time.record { "command ${faults.number} $address ${WireJson.encodeToString(message)}" }
        return send(faults, address, message).also { outcome ->
            time.record { "command ${faults.number} $address answered ${traceText(outcome)}" }
        }
    }

    private fun traceText(outcome: CommandOutcome) = when (outcome) {
        is CommandOutcome.Executed -> "executed ${WireJson.encodeToString(outcome.heartbeat)}"
        is CommandOutcome.Rejected -> "rejected ${WireJson.encodeToString(outcome.heartbeat)}"
        CommandOutcome.NotSent -> "not sent"
        CommandOutcome.Unknown -> "unknown"
    }

    private fun send(faults: ProcessFaults, address: String, message: CommandRequest): CommandOutcome {
        recordStartCommands(message.commands)
        faults.interruptIfDue(random)
        commandsSent++
        val worker = cluster.cloud.workers.firstOrNull { it.address == address && it.isAlive } ?: return CommandOutcome.Unknown
        if (time.now < worker.directCommandsCutUntil) return CommandOutcome.NotSent
        if (time.now < worker.commandsHeldUntil) {
            delayedCommands++
            time.schedule(worker.commandsHeldMs) { if (worker.isAlive) execute(worker, message) }
            return CommandOutcome.Unknown
        }
        val isLost = isUnreachable(worker, faults) ||
            worker.isInboundCut ||
            worker.isHanging ||
            faults.areSendsBlocked() ||
            random.nextDouble() < faults.lossRate
        if (isLost) return loseCommand(worker, message)
        faults.repeatLaterIfDue(random) { if (worker.isAlive) execute(worker, message) }
        return execute(worker, message).also { faults.interruptIfDue(random) }
    }

    private fun execute(worker: SimulatedWorker, message: CommandRequest): CommandOutcome {
        time.record { "worker ${worker.id.text} gets ${WireJson.encodeToString(message)}" }
        return if (worker.execute(message.token, message.incarnation, message.commands)) {
            onCommandsExecuted(worker, message)
            CommandOutcome.Executed(worker.heartbeat())
        } else {
            CommandOutcome.Rejected(worker.heartbeat())
        }
    }

    private fun loseCommand(worker: SimulatedWorker, message: CommandRequest): CommandOutcome {
        commandsLost++
        if (random.nextInt(4) == 0) return CommandOutcome.NotSent
        if (random.nextBoolean()) time.schedule(random.nextLong(100, 60_000)) { if (worker.isAlive) execute(worker, message) }
        return CommandOutcome.Unknown
    }

    /** Reports the start commands among [commands] to the [InvariantChecker]. */
    private fun recordStartCommands(commands: List<WorkerCommand>) {
        for (command in commands) {
            if (command.type == CommandType.START) {
                TaskId.parse(command.task)?.let { cluster.invariants.checkStartCommand(it.job, time.now) }
            }
        }
    }

    /** Returns a client by which the process of [host] with [faults] reaches the other controllers. */
    fun peersOf(host: ControllerHost, faults: ProcessFaults) = object : PeerClient {
        private fun reachablePeer(to: Member) = cluster.hosts.first { it.name == to.node }.takeIf {
            !isPartitioned(it.zone, host.zone) &&
                !faults.isStalled() &&
                !it.faults.isStalled() &&
                !faults.isCutFromPeers() &&
                !it.faults.isCutFromPeers()
        }

        override fun exchangeHeartbeats(to: Member, heartbeat: PeerHeartbeat): PeerHeartbeat? {
            val peer = reachablePeer(to) ?: return null
            time.record { "greeting ${host.number} ${peer.number} ${ProtoBuf.encodeToHexString(heartbeat)}" }
            val answer = peer.controller?.onPeerHeartbeat(asReceived(heartbeat, host, peer)) ?: return null
            time.record { "greeting ${host.number} ${peer.number} answered ${ProtoBuf.encodeToHexString(answer)}" }
            return asReceived(answer, peer, host)
        }

        /** Returns [heartbeat] as the version of [to] reads it, without the format version if the cluster does not negotiate formats. */
        private fun asReceived(heartbeat: PeerHeartbeat, from: ControllerHost, to: ControllerHost): PeerHeartbeat {
            val received = to.version.peerHeartbeat(from.version.peerHeartbeat(heartbeat))
            return if (cluster.negotiatesFormats) received else received.copy(formatVersion = 0)
        }

        override fun forward(to: Member, request: ForwardedRequest): ForwardedResponse? {
            val peer = reachablePeer(to) ?: return null
            val users = peer.controller?.users ?: return null
            val read = peer.version.forwardedRequest(host.version.forwardedRequest(request))
            time.record { "relay ${host.number} ${peer.number} ${read.method} ${read.path} ${read.body}" }
            val id = read.path.removePrefix("/v1/jobs/").removeSuffix("/cancel")
            val answer = when {
                read.path == "/v1/jobs" -> users.submit(read.body, isForwarded = true)
                read.method == "POST" -> users.cancel(id, isForwarded = true)
                else -> users.status(id, isForwarded = true)
            }
            time.record { "relay ${host.number} ${peer.number} answered ${answer.status} ${answer.retryAfterS} ${answer.body}" }
            val response = ForwardedResponse(answer.status, answer.body, answer.retryAfterS)
            return host.version.forwardedResponse(peer.version.forwardedResponse(response))
        }
    }

    /** Sends a heartbeat of [worker], if one is due. */
    fun onHeartbeat(worker: SimulatedWorker) {
        if (!worker.isAlive || worker.isHanging || time.now < worker.nextHeartbeatAt) return
        worker.nextHeartbeatAt = time.now + SimulatedCluster.HEARTBEAT_MS * random.nextLong(75, 125) / 100
        val heartbeat = worker.heartbeat()
        if (!cluster.isNetworkReliable && random.nextInt(15) == 0) deliverCopyLate(heartbeat)
        val host = cluster.hosts[worker.targetNodeIndex]
        val controller = host.controller?.takeUnless { isHeartbeatLost(worker, host.faults) } ?: return tryNextHost(worker, heartbeat)
        val sentAt = time.now
        if (heartbeatQueueDelayMs == 0L) {
            host.runInProcess { processOutcome(worker, host, heartbeat, sentAt, deliver(host, controller, heartbeat)) }
        } else {
            processLater(worker, host, heartbeat, sentAt)
        }
    }

    private fun isHeartbeatLost(worker: SimulatedWorker, faults: ProcessFaults) = worker.isOutboundCut ||
        faults.isStalled() ||
        isUnreachable(worker, faults) ||
        random.nextDouble() < faults.lossRate

    /** Processes [heartbeat] after [heartbeatQueueDelayMs], as if it waited for a thread of its node; [worker] sends no other meanwhile. */
    private fun processLater(worker: SimulatedWorker, host: ControllerHost, heartbeat: Heartbeat, sentAt: Long) {
        val process = host.faults
        worker.nextHeartbeatAt += heartbeatQueueDelayMs
        time.schedule(heartbeatQueueDelayMs) {
            val controller = host.controller?.takeIf { host.faults === process }
            if (controller != null) {
                host.runInProcess { processOutcome(worker, host, heartbeat, sentAt, deliver(host, controller, heartbeat)) }
            }
        }
    }

    /** Passes [heartbeat] to [controller], which runs at [host], and returns its answer. */
    private fun deliver(host: ControllerHost, controller: Controller, heartbeat: Heartbeat): HeartbeatOutcome {
        time.record { "heartbeat ${host.number} ${WireJson.encodeToString(heartbeat)}" }
        return controller.onHeartbeat(heartbeat).also { outcome ->
            time.record {
                val answer = when (outcome) {
                    is HeartbeatOutcome.Accepted -> WireJson.encodeToString(outcome.answer)
                    is HeartbeatOutcome.Redirected -> "elsewhere ${outcome.node?.text}"
                }
                "heartbeat ${host.number} ${heartbeat.machine.text} answered $answer"
            }
        }
    }

    /** Delivers a copy of [heartbeat] to a random node after 1 to 40 seconds, also if its machine no longer exists by then. */
    private fun deliverCopyLate(heartbeat: Heartbeat) {
        val host = cluster.hosts.random(random)
        time.schedule(random.nextLong(1000, 40_000)) {
            host.controller?.let { late -> host.runInProcess { deliver(host, late, heartbeat) } }
        }
    }

    private fun tryNextHost(worker: SimulatedWorker, heartbeat: Heartbeat) {
        // A network fault may hold up a heartbeat and deliver it long after the worker has stopped waiting for the answer.
        if (random.nextInt(3) == 0 && mayDelayHeartbeats) {
            time.schedule(random.nextLong(500, 40_000)) {
                val host = cluster.hosts[worker.targetNodeIndex]
                host.controller?.let { late -> host.runInProcess { deliver(host, late, heartbeat) } }
            }
        }
        worker.targetNodeIndex = (worker.targetNodeIndex + 1) % cluster.hosts.size
    }

    private fun processOutcome(
        worker: SimulatedWorker,
        host: ControllerHost,
        heartbeat: Heartbeat,
        sentAt: Long,
        outcome: HeartbeatOutcome,
    ) {
        val isAnswerLost = worker.isInboundCut || host.faults.areSendsBlocked()
        when (outcome) {
            is HeartbeatOutcome.Accepted -> {
                recordStartCommands(outcome.answer.commands)
                val delay = if (cluster.isNetworkReliable) 0L else random.nextLong(0, 60)
                if (isAnswerLost) {
                    worker.targetNodeIndex = (worker.targetNodeIndex + 1) % cluster.hosts.size
                } else if (random.nextDouble() >= host.faults.lossRate) {
                    time.schedule(delay) {
                        worker.onHeartbeatAnswer(outcome.answer.token, outcome.answer.commands, sentAt, heartbeat.incarnation)
                    }
                }
            }
            is HeartbeatOutcome.Redirected -> {
                val next = if (isAnswerLost) -1 else cluster.hosts.indexOfFirst { it.name == outcome.node }
                worker.targetNodeIndex =
                    if (next < 0 || next == worker.targetNodeIndex) (worker.targetNodeIndex + 1) % cluster.hosts.size else next
            }
        }
    }
}
