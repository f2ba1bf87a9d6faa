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

/** What connects the controllers of a [World] with its workers and with one another. */
@OptIn(ExperimentalSerializationApi::class)
class Network(private val world: World) {
    private val time get() = world.time
    private val random get() = world.random
    private var cutZone: Zone? = null
    private var cutZoneUntil = 0L

    /** Whether a report that does not get through may be held up and arrive late. */
    var delaysHeartbeats = true

    /** How long a report waits at its node before it is looked at, while commands and their answers go on. */
    var heartbeatsWaitMs = 0L

    /** Commands sent to workers so far, how many of them to workers that nobody reaches, and how many were held up. */
    var commandsSent = 0
        private set
    var commandsLost = 0
        private set
    var heldCommands = 0
        private set

    /** Cuts [zone] off from all else; it goes on inside. */
    fun cutOff(zone: Zone, ms: Long) {
        cutZone = zone
        cutZoneUntil = time.now + ms
        world.hosts.filter { it.zone == zone }.forEach { it.faults.storeCutUntil = maxOf(it.faults.storeCutUntil, cutZoneUntil) }
    }

    private fun areApart(one: Zone, other: Zone) = time.now < cutZoneUntil && (one == cutZone) != (other == cutZone)

    private fun isUnreachable(worker: StandInWorker, faults: ProcessFaults) = worker.cut ||
        faults.isCutFromWorkers() ||
        world.hosts.any { it.faults === faults && areApart(it.zone, worker.zone) }

    /** The workers as the process that [faults] ails reaches them. */
    fun workersOf(faults: ProcessFaults) = WorkerClient { address, message -> deliver(faults, address, message) }

    private fun deliver(faults: ProcessFaults, address: String, message: CommandRequest): CommandOutcome {
        time.record { "command ${faults.number} $address ${WireJson.encodeToString(message)}" }
        return send(faults, address, message).also { outcome ->
            time.record { "command ${faults.number} $address answered ${text(outcome)}" }
        }
    }

    private fun text(outcome: CommandOutcome) = when (outcome) {
        is CommandOutcome.Executed -> "executed ${WireJson.encodeToString(outcome.heartbeat)}"
        is CommandOutcome.Rejected -> "rejected ${WireJson.encodeToString(outcome.heartbeat)}"
        CommandOutcome.NotSent -> "not sent"
        CommandOutcome.Unknown -> "unknown"
    }

    private fun send(faults: ProcessFaults, address: String, message: CommandRequest): CommandOutcome {
        noteStarts(message.commands)
        faults.interruptIfDue(random)
        commandsSent++
        val worker = world.cloud.workers.firstOrNull { it.address == address && it.alive } ?: return CommandOutcome.Unknown
        if (time.now < worker.calledByNobodyUntil) return CommandOutcome.NotSent
        if (time.now < worker.commandsHeldUntil) {
            heldCommands++
            time.later(worker.commandsHeldMs) { if (worker.alive) execute(worker, message) }
            return CommandOutcome.Unknown
        }
        val isLost = isUnreachable(worker, faults) ||
            worker.deaf ||
            worker.hanging ||
            faults.sendsNothing() ||
            random.nextDouble() < faults.lossRate
        if (isLost) return lose(worker, message)
        faults.repeatLaterIfDue(random) { if (worker.alive) execute(worker, message) }
        return execute(worker, message).also { faults.interruptIfDue(random) }
    }

    private fun execute(worker: StandInWorker, message: CommandRequest): CommandOutcome {
        time.record { "worker ${worker.id.text} gets ${WireJson.encodeToString(message)}" }
        return if (worker.execute(message.token, message.incarnation, message.commands)) {
            CommandOutcome.Executed(worker.heartbeat())
        } else {
            CommandOutcome.Rejected(worker.heartbeat())
        }
    }

    private fun lose(worker: StandInWorker, message: CommandRequest): CommandOutcome {
        commandsLost++
        if (random.nextInt(4) == 0) return CommandOutcome.NotSent
        if (random.nextBoolean()) time.later(random.nextLong(100, 60_000)) { if (worker.alive) execute(worker, message) }
        return CommandOutcome.Unknown
    }

    private fun noteStarts(commands: List<WorkerCommand>) {
        for (command in commands) {
            if (command.type == CommandType.START) TaskId.parse(command.task)?.let { world.rules.startCommanded(it.job, time.now) }
        }
    }

    /** The other controllers as the process that [faults] ails reaches them. */
    fun peersOf(host: ControllerHost, faults: ProcessFaults) = object : PeerClient {
        private fun reach(to: Member) = world.hosts.first { it.name == to.node }.takeIf {
            !areApart(it.zone, host.zone) &&
                !faults.isStalled() &&
                !it.faults.isStalled() &&
                !faults.isCutFromPeers() &&
                !it.faults.isCutFromPeers()
        }

        override fun exchangeHeartbeats(to: Member, heartbeat: PeerHeartbeat): PeerHeartbeat? {
            val peer = reach(to) ?: return null
            time.record { "greeting ${host.number} ${peer.number} ${ProtoBuf.encodeToHexString(heartbeat)}" }
            val answer = peer.controller?.onPeerHeartbeat(asTold(heartbeat, host, peer)) ?: return null
            time.record { "greeting ${host.number} ${peer.number} answered ${ProtoBuf.encodeToHexString(answer)}" }
            return asTold(answer, peer, host)
        }

        private fun asTold(heartbeat: PeerHeartbeat, from: ControllerHost, to: ControllerHost): PeerHeartbeat {
            val told = to.version.peerHeartbeat(from.version.peerHeartbeat(heartbeat))
            return if (world.agreesOnForms) told else told.copy(formatVersion = 0)
        }

        override fun forward(to: Member, request: ForwardedRequest): ForwardedResponse? {
            val peer = reach(to) ?: return null
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

    /** Has [worker] report, if that is due. */
    fun onHeartbeat(worker: StandInWorker) {
        if (!worker.alive || worker.hanging || time.now < worker.nextHeartbeatAt) return
        worker.nextHeartbeatAt = time.now + World.HEARTBEAT_MS * random.nextLong(75, 125) / 100
        val heartbeat = worker.heartbeat()
        if (!world.quietNetwork && random.nextInt(15) == 0) copyLate(heartbeat)
        val host = world.hosts[worker.target]
        val controller = host.controller?.takeUnless { isHeartbeatLost(worker, host.faults) } ?: return tryNext(worker, heartbeat)
        val sentAt = time.now
        if (heartbeatsWaitMs == 0L) {
            host.guarded { answered(worker, host, heartbeat, sentAt, deliver(host, controller, heartbeat)) }
        } else {
            answerLater(worker, host, heartbeat, sentAt)
        }
    }

    private fun isHeartbeatLost(worker: StandInWorker, faults: ProcessFaults) = worker.mute ||
        faults.isStalled() ||
        isUnreachable(worker, faults) ||
        random.nextDouble() < faults.lossRate

    /** The heartbeat waits for a thread of its node; the worker sends no other meanwhile. */
    private fun answerLater(worker: StandInWorker, host: ControllerHost, heartbeat: Heartbeat, sentAt: Long) {
        val process = host.faults
        worker.nextHeartbeatAt += heartbeatsWaitMs
        time.later(heartbeatsWaitMs) {
            val controller = host.controller?.takeIf { host.faults === process }
            if (controller != null) host.guarded { answered(worker, host, heartbeat, sentAt, deliver(host, controller, heartbeat)) }
        }
    }

    /** Has [controller], which runs at [host], take [heartbeat]. */
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

    /** A copy comes late, from seconds to well over a lease, at any node, whatever became of the machine. */
    private fun copyLate(heartbeat: Heartbeat) {
        val host = world.hosts.random(random)
        time.later(random.nextLong(1000, 40_000)) { host.controller?.let { late -> host.guarded { deliver(host, late, heartbeat) } } }
    }

    private fun tryNext(worker: StandInWorker, heartbeat: Heartbeat) {
        // A cut may hold a report and deliver it long after its worker has given up on it.
        if (random.nextInt(3) == 0 && delaysHeartbeats) {
            time.later(random.nextLong(500, 40_000)) {
                val host = world.hosts[worker.target]
                host.controller?.let { late -> host.guarded { deliver(host, late, heartbeat) } }
            }
        }
        worker.target = (worker.target + 1) % world.hosts.size
    }

    private fun answered(worker: StandInWorker, host: ControllerHost, heartbeat: Heartbeat, sentAt: Long, outcome: HeartbeatOutcome) {
        val isAnswerLost = worker.deaf || host.faults.sendsNothing()
        when (outcome) {
            is HeartbeatOutcome.Accepted -> {
                noteStarts(outcome.answer.commands)
                val delay = if (world.quietNetwork) 0L else random.nextLong(0, 60)
                if (isAnswerLost) {
                    worker.target = (worker.target + 1) % world.hosts.size
                } else if (random.nextDouble() >= host.faults.lossRate) {
                    time.later(delay) { worker.answered(outcome.answer.token, outcome.answer.commands, sentAt, heartbeat.incarnation) }
                }
            }
            is HeartbeatOutcome.Redirected -> {
                val next = if (isAnswerLost) -1 else world.hosts.indexOfFirst { it.name == outcome.node }
                worker.target = if (next < 0 || next == worker.target) (worker.target + 1) % world.hosts.size else next
            }
        }
    }
}
