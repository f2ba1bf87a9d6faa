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
        world.seats.filter { it.zone == zone }.forEach { it.trouble.storeCutUntil = maxOf(it.trouble.storeCutUntil, cutZoneUntil) }
    }

    private fun areApart(one: Zone, other: Zone) = time.now < cutZoneUntil && (one == cutZone) != (other == cutZone)

    private fun isUnreachable(worker: StandInWorker, trouble: Trouble) = worker.cut ||
        trouble.cutFromWorkers() ||
        world.seats.any { it.trouble === trouble && areApart(it.zone, worker.zone) }

    /** The workers as the process that [trouble] ails reaches them. */
    fun workersOf(trouble: Trouble) = WorkerClient { address, message -> deliver(trouble, address, message) }

    private fun deliver(trouble: Trouble, address: String, message: CommandRequest): CommandOutcome {
        time.record { "command ${trouble.number} $address ${WireJson.encodeToString(message)}" }
        return send(trouble, address, message).also { outcome ->
            time.record { "command ${trouble.number} $address answered ${text(outcome)}" }
        }
    }

    private fun text(outcome: CommandOutcome) = when (outcome) {
        is CommandOutcome.Executed -> "executed ${WireJson.encodeToString(outcome.heartbeat)}"
        is CommandOutcome.Rejected -> "rejected ${WireJson.encodeToString(outcome.heartbeat)}"
        CommandOutcome.NotSent -> "not sent"
        CommandOutcome.Unknown -> "unknown"
    }

    private fun send(trouble: Trouble, address: String, message: CommandRequest): CommandOutcome {
        noteStarts(message.commands)
        trouble.mayStrike(random)
        commandsSent++
        val worker = world.cloud.workers.firstOrNull { it.address == address && it.alive } ?: return CommandOutcome.Unknown
        if (time.now < worker.calledByNobodyUntil) return CommandOutcome.NotSent
        if (time.now < worker.commandsHeldUntil) {
            heldCommands++
            time.later(worker.commandsHeldMs) { if (worker.alive) execute(worker, message) }
            return CommandOutcome.Unknown
        }
        val isLost = isUnreachable(worker, trouble) ||
            worker.deaf ||
            worker.hanging ||
            trouble.sendsNothing() ||
            random.nextDouble() < trouble.lossRate
        if (isLost) return lose(worker, message)
        trouble.mayRepeat(random) { if (worker.alive) execute(worker, message) }
        return execute(worker, message).also { trouble.mayStrike(random) }
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

    /** The other controllers as the process that [trouble] ails reaches them. */
    fun peersOf(seat: ControllerSeat, trouble: Trouble) = object : PeerClient {
        private fun reach(to: Member) = world.seats.first { it.name == to.node }.takeIf {
            !areApart(it.zone, seat.zone) &&
                !trouble.stalled() &&
                !it.trouble.stalled() &&
                !trouble.cutFromPeers() &&
                !it.trouble.cutFromPeers()
        }

        override fun exchangeHeartbeats(to: Member, heartbeat: PeerHeartbeat): PeerHeartbeat? {
            val peer = reach(to) ?: return null
            time.record { "greeting ${seat.number} ${peer.number} ${ProtoBuf.encodeToHexString(heartbeat)}" }
            val answer = peer.controller?.onPeerHeartbeat(asTold(heartbeat, seat, peer)) ?: return null
            time.record { "greeting ${seat.number} ${peer.number} answered ${ProtoBuf.encodeToHexString(answer)}" }
            return asTold(answer, peer, seat)
        }

        private fun asTold(heartbeat: PeerHeartbeat, from: ControllerSeat, to: ControllerSeat): PeerHeartbeat {
            val told = to.version.peerHeartbeat(from.version.peerHeartbeat(heartbeat))
            return if (world.agreesOnForms) told else told.copy(formatVersion = 0)
        }

        override fun forward(to: Member, request: ForwardedRequest): ForwardedResponse? {
            val peer = reach(to) ?: return null
            val users = peer.controller?.users ?: return null
            val read = peer.version.forwardedRequest(seat.version.forwardedRequest(request))
            time.record { "relay ${seat.number} ${peer.number} ${read.method} ${read.path} ${read.body}" }
            val id = read.path.removePrefix("/v1/jobs/").removeSuffix("/cancel")
            val answer = when {
                read.path == "/v1/jobs" -> users.submit(read.body, isForwarded = true)
                read.method == "POST" -> users.cancel(id, isForwarded = true)
                else -> users.status(id, isForwarded = true)
            }
            time.record { "relay ${seat.number} ${peer.number} answered ${answer.status} ${answer.retryAfterS} ${answer.body}" }
            val response = ForwardedResponse(answer.status, answer.body, answer.retryAfterS)
            return seat.version.forwardedResponse(peer.version.forwardedResponse(response))
        }
    }

    /** Has [worker] report, if that is due. */
    fun onHeartbeat(worker: StandInWorker) {
        if (!worker.alive || worker.hanging || time.now < worker.nextHeartbeatAt) return
        worker.nextHeartbeatAt = time.now + World.HEARTBEAT_MS * random.nextLong(75, 125) / 100
        val heartbeat = worker.heartbeat()
        if (!world.quietNetwork && random.nextInt(15) == 0) copyLate(heartbeat)
        val seat = world.seats[worker.target]
        val controller = seat.controller?.takeUnless { isHeartbeatLost(worker, seat.trouble) } ?: return tryNext(worker, heartbeat)
        val sentAt = time.now
        if (heartbeatsWaitMs == 0L) {
            seat.guarded { answered(worker, seat, heartbeat, sentAt, deliver(seat, controller, heartbeat)) }
        } else {
            answerLater(worker, seat, heartbeat, sentAt)
        }
    }

    private fun isHeartbeatLost(worker: StandInWorker, trouble: Trouble) = worker.mute ||
        trouble.stalled() ||
        isUnreachable(worker, trouble) ||
        random.nextDouble() < trouble.lossRate

    /** The heartbeat waits for a thread of its node; the worker sends no other meanwhile. */
    private fun answerLater(worker: StandInWorker, seat: ControllerSeat, heartbeat: Heartbeat, sentAt: Long) {
        val process = seat.trouble
        worker.nextHeartbeatAt += heartbeatsWaitMs
        time.later(heartbeatsWaitMs) {
            val controller = seat.controller?.takeIf { seat.trouble === process }
            if (controller != null) seat.guarded { answered(worker, seat, heartbeat, sentAt, deliver(seat, controller, heartbeat)) }
        }
    }

    /** Has [controller], which runs at [seat], take [heartbeat]. */
    private fun deliver(seat: ControllerSeat, controller: Controller, heartbeat: Heartbeat): HeartbeatOutcome {
        time.record { "heartbeat ${seat.number} ${WireJson.encodeToString(heartbeat)}" }
        return controller.onHeartbeat(heartbeat).also { outcome ->
            time.record {
                val answer = when (outcome) {
                    is HeartbeatOutcome.Accepted -> WireJson.encodeToString(outcome.answer)
                    is HeartbeatOutcome.Elsewhere -> "elsewhere ${outcome.node?.text}"
                }
                "heartbeat ${seat.number} ${heartbeat.machine.text} answered $answer"
            }
        }
    }

    /** A copy comes late, from seconds to well over a lease, at any node, whatever became of the machine. */
    private fun copyLate(heartbeat: Heartbeat) {
        val seat = world.seats.random(random)
        time.later(random.nextLong(1000, 40_000)) { seat.controller?.let { late -> seat.guarded { deliver(seat, late, heartbeat) } } }
    }

    private fun tryNext(worker: StandInWorker, heartbeat: Heartbeat) {
        // A cut may hold a report and deliver it long after its worker has given up on it.
        if (random.nextInt(3) == 0 && delaysHeartbeats) {
            time.later(random.nextLong(500, 40_000)) {
                val seat = world.seats[worker.target]
                seat.controller?.let { late -> seat.guarded { deliver(seat, late, heartbeat) } }
            }
        }
        worker.target = (worker.target + 1) % world.seats.size
    }

    private fun answered(worker: StandInWorker, seat: ControllerSeat, heartbeat: Heartbeat, sentAt: Long, outcome: HeartbeatOutcome) {
        val isAnswerLost = worker.deaf || seat.trouble.sendsNothing()
        when (outcome) {
            is HeartbeatOutcome.Accepted -> {
                noteStarts(outcome.answer.commands)
                val delay = if (world.quietNetwork) 0L else random.nextLong(0, 60)
                if (isAnswerLost) {
                    worker.target = (worker.target + 1) % world.seats.size
                } else if (random.nextDouble() >= seat.trouble.lossRate) {
                    time.later(delay) { worker.answered(outcome.answer.token, outcome.answer.commands, sentAt, heartbeat.incarnation) }
                }
            }
            is HeartbeatOutcome.Elsewhere -> {
                val next = if (isAnswerLost) -1 else world.seats.indexOfFirst { it.name == outcome.node }
                worker.target = if (next < 0 || next == worker.target) (worker.target + 1) % world.seats.size else next
            }
        }
    }
}
