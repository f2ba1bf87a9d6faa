package mountmast.soak

import kotlinx.serialization.decodeFromString
import kotlinx.serialization.encodeToString
import mountmast.protocol.CommandRequest
import mountmast.protocol.CommandType
import mountmast.protocol.ExitCause
import mountmast.protocol.Heartbeat
import mountmast.protocol.HeartbeatResponse
import mountmast.protocol.MachineId
import mountmast.protocol.Redirect
import mountmast.protocol.TaskId
import mountmast.protocol.TaskState
import mountmast.protocol.WireJson
import mountmast.protocol.WorkerCommand
import mountmast.standin.SimulatedWorker
import mountmast.transport.HttpCaller
import mountmast.transport.NoAnswerException
import mountmast.transport.Reply
import java.net.InetAddress
import java.net.InetSocketAddress
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ExecutorService
import java.util.concurrent.RejectedExecutionException
import kotlin.random.Random

/** Runs the workers' HTTP side: each worker sends heartbeats to one controller at a time and accepts direct commands. */
class WorkerFleet(private val run: SoakRun, private val random: Random, private val executor: ExecutorService) : AutoCloseable {
    private val clock get() = run.clock
    private val caller = HttpCaller(connectMs = 500)
    private val servers = ConcurrentHashMap<MachineId, LoopbackHttpServer>()
    private val inFlight = ConcurrentHashMap.newKeySet<MachineId>()

    /** The links between the workers and each controller, by the controller's node index. */
    val links = List(SoakDeployment.NODE_COUNT) { WorkerLink() }

    /** Whether some heartbeats are sent a second time, seconds later. */
    @Volatile
    var resendsHeartbeats = false

    /** The faults of the link between the workers and one controller: lost heartbeats or lost responses to them. */
    class WorkerLink {
        @Volatile
        var heartbeatsLost = false

        @Volatile
        var responsesLost = false
    }

    /** Returns the address where [machine] accepts direct commands, or null if its server has not been started. */
    fun addressOf(machine: MachineId): String? = servers[machine]?.let { "127.0.0.1:${it.port}" }

    /** Sends the heartbeats that are due; called under the clock's lock. */
    fun step() {
        for (worker in run.cloud.workers) {
            worker.step()
            if (!worker.isAlive || worker.isHanging || clock.time.now < worker.nextHeartbeatAt || !inFlight.add(worker.id)) continue
            servers.computeIfAbsent(worker.id) { LoopbackHttpServer(executor) { request -> handleCommands(worker, request) } }
            val heartbeat = heartbeatOf(worker)
            val sentAt = clock.time.now
            worker.nextHeartbeatAt = sentAt + SoakDeployment.HEARTBEAT_MS * random.nextLong(75, 125) / 100
            if (resendsHeartbeats && random.nextInt(HEARTBEATS_PER_COPY) == 0) resendLater(heartbeat)
            submit { sendHeartbeat(worker, heartbeat, sentAt) }
        }
    }

    private fun heartbeatOf(worker: SimulatedWorker): Heartbeat {
        val heartbeat = worker.heartbeat().copy(address = checkNotNull(addressOf(worker.id)))
        if (run.breakage != Breakage.DONE_TOO_EARLY) return heartbeat
        return heartbeat.copy(
            tasks = heartbeat.tasks.map {
                if (it.state ==
                    TaskState.RUNNING
                ) {
                    it.copy(state = TaskState.EXITED, cause = ExitCause.DONE)
                } else {
                    it
                }
            },
        )
    }

    private fun removeIgnoredStops(commands: List<WorkerCommand>) = if (run.breakage ==
        Breakage.STOPS_IGNORED
    ) {
        commands.filter { it.type != CommandType.STOP }
    } else {
        commands
    }

    private fun submit(action: () -> Unit) {
        try {
            executor.execute { clock.runRecordingFailure(action) }
        } catch (e: RejectedExecutionException) {
            // After the run's end, the executor is shut down and nothing more is sent.
            if (!executor.isShutdown) throw e
        }
    }

    private fun sendHeartbeat(worker: SimulatedWorker, heartbeat: Heartbeat, sentAt: Long) {
        try {
            val target = worker.targetNodeIndex
            val link = links[target]
            val reply = if (worker.isPartitioned || worker.isOutboundCut || link.heartbeatsLost) null else post(target, heartbeat)
            val isLost = reply == null || worker.isPartitioned || worker.isInboundCut || link.responsesLost
            clock.runLocked {
                if (isLost || !isComplete(reply)) {
                    targetNextController(worker)
                } else {
                    handleResponse(worker, heartbeat, sentAt, checkNotNull(reply))
                }
            }
        } finally {
            inFlight -= heartbeat.machine
        }
    }

    private fun post(target: Int, heartbeat: Heartbeat): Reply? {
        val address = InetSocketAddress(InetAddress.getLoopbackAddress(), run.publicPorts[target])
        return try {
            caller.call(address, "POST", "/agent/beat", WireJson.encodeToString(heartbeat).encodeToByteArray(), RESPONSE_TIMEOUT_MS)
        } catch (e: NoAnswerException) {
            null
        }
    }

    /** A controller that is killed while responding may leave an empty body. */
    private fun isComplete(reply: Reply?) = reply != null && (reply.status !in setOf(200, 421) || reply.bytes.isNotEmpty())

    private fun handleResponse(worker: SimulatedWorker, heartbeat: Heartbeat, sentAt: Long, reply: Reply) {
        when (reply.status) {
            200 -> {
                val response = WireJson.decodeFromString<HeartbeatResponse>(reply.text)
                recordStarts(response.commands.filter { it.type == CommandType.START }.map { it.task })
                worker.onHeartbeatAnswer(response.token, removeIgnoredStops(response.commands), sentAt, heartbeat.incarnation)
            }
            421 -> {
                val next = WireJson.decodeFromString<Redirect>(reply.text).leader?.text?.substringAfterLast('-')?.toIntOrNull()
                if (next == null || next == worker.targetNodeIndex) return targetNextController(worker)
                worker.targetNodeIndex = next
                worker.nextHeartbeatAt = clock.time.now + random.nextLong(0, MAX_REDIRECT_DELAY_MS)
            }
            else -> targetNextController(worker)
        }
    }

    private fun targetNextController(worker: SimulatedWorker) {
        worker.targetNodeIndex = (worker.targetNodeIndex + 1) % SoakDeployment.NODE_COUNT
        worker.nextHeartbeatAt = clock.time.now + RETRY_DELAY_MS
    }

    private fun recordStarts(tasks: List<String>) {
        for (task in tasks) TaskId.parse(task)?.let { run.rules.checkStartCommand(it.job, clock.time.now) }
    }

    private fun resendLater(heartbeat: Heartbeat) {
        val target = random.nextInt(SoakDeployment.NODE_COUNT)
        clock.time.schedule(random.nextLong(1000, 2 * SoakDeployment.LEASE_MS)) { submit { post(target, heartbeat) } }
    }

    /** Drops the direct commands in [request], delays them, or executes them at once. Returns null where no response is sent. */
    private fun handleCommands(worker: SimulatedWorker, request: LoopbackHttpRequest): LoopbackHttpResponse? {
        // A controller that is killed while sending a command may leave an empty body.
        if (request.body.isEmpty()) return LoopbackHttpResponse(400, "{}")
        val message = WireJson.decodeFromString<CommandRequest>(request.body)
        return clock.runLocked {
            if (!worker.isAlive || worker.isPartitioned || worker.isInboundCut) return@runLocked null
            val heldMs = if (worker.isHanging) worker.hangUntil - clock.time.now else worker.commandsHeldMs
            if (worker.isHanging || clock.time.now < worker.commandsHeldUntil) {
                clock.time.schedule(heldMs) { if (worker.isAlive) worker.execute(message.token, message.incarnation, message.commands) }
                return@runLocked null
            }
            recordStarts(message.commands.filter { it.type == CommandType.START }.map { it.task })
            val executed = worker.execute(message.token, message.incarnation, removeIgnoredStops(message.commands))
            val heartbeat = heartbeatOf(worker)
            LoopbackHttpResponse(if (executed) 200 else 409, WireJson.encodeToString(heartbeat))
        }
    }

    override fun close() = servers.values.forEach { it.close() }

    private companion object {
        const val RESPONSE_TIMEOUT_MS = 4000
        const val RETRY_DELAY_MS = 1000L
        const val MAX_REDIRECT_DELAY_MS = 500L
        const val HEARTBEATS_PER_COPY = 10
    }
}
