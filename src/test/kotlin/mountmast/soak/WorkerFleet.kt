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

/** The workers of a run on real sockets: each reports to one controller at a time, and takes direct commands. */
class WorkerFleet(private val run: SoakRun, private val random: Random, private val executor: ExecutorService) : AutoCloseable {
    private val clock get() = run.clock
    private val caller = HttpCaller(connectMs = 500)
    private val servers = ConcurrentHashMap<MachineId, StandInServer>()
    private val reporting = ConcurrentHashMap.newKeySet<MachineId>()

    /** Which controllers the workers reach, and which reach them, in either direction. */
    val links = List(SoakSite.NODES) { WorkerLink() }

    /** A share of the reports is copied and comes again, seconds later. */
    @Volatile
    var copiesHeartbeats = false

    /** How a controller and the workers reach each other. */
    class WorkerLink {
        @Volatile
        var heartbeatsLost = false

        @Volatile
        var answersLost = false
    }

    /** Where [machine] takes commands, or null where it never came up. */
    fun addressOf(machine: MachineId): String? = servers[machine]?.let { "127.0.0.1:${it.port}" }

    /** Has those report whose report is due; called under the lock. */
    fun step() {
        for (worker in run.cloud.workers) {
            worker.step()
            if (!worker.isAlive || worker.isHanging || clock.time.now < worker.nextHeartbeatAt || !reporting.add(worker.id)) continue
            servers.computeIfAbsent(worker.id) { StandInServer(executor) { request -> command(worker, request) } }
            val heartbeat = heartbeatOf(worker)
            val sentAt = clock.time.now
            worker.nextHeartbeatAt = sentAt + SoakSite.HEARTBEAT_MS * random.nextLong(75, 125) / 100
            if (copiesHeartbeats && random.nextInt(COPIED_ONE_IN) == 0) copyLate(heartbeat)
            submit { heartbeat(worker, heartbeat, sentAt) }
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

    private fun obeyed(commands: List<WorkerCommand>) = if (run.breakage ==
        Breakage.STOPS_IGNORED
    ) {
        commands.filter { it.type != CommandType.STOP }
    } else {
        commands
    }

    private fun submit(act: () -> Unit) {
        try {
            executor.execute { clock.noting(act) }
        } catch (e: RejectedExecutionException) {
            // Once the run is over nothing more is reported.
            if (!executor.isShutdown) throw e
        }
    }

    private fun heartbeat(worker: SimulatedWorker, heartbeat: Heartbeat, sentAt: Long) {
        try {
            val target = worker.targetNodeIndex
            val link = links[target]
            val reply = if (worker.isPartitioned || worker.isOutboundCut || link.heartbeatsLost) null else post(target, heartbeat)
            val isLost = reply == null || worker.isPartitioned || worker.isInboundCut || link.answersLost
            clock.locked { if (isLost || !isWhole(reply)) tryNext(worker) else take(worker, heartbeat, sentAt, checkNotNull(reply)) }
        } finally {
            reporting -= heartbeat.machine
        }
    }

    private fun post(target: Int, heartbeat: Heartbeat): Reply? {
        val to = InetSocketAddress(InetAddress.getLoopbackAddress(), run.publicPorts[target])
        return try {
            caller.call(to, "POST", "/agent/beat", WireJson.encodeToString(heartbeat).encodeToByteArray(), ANSWER_MS)
        } catch (e: NoAnswerException) {
            null
        }
    }

    /** A controller that ends in the middle of an answer may leave an empty one. */
    private fun isWhole(reply: Reply?) = reply != null && (reply.status !in setOf(200, 421) || reply.bytes.isNotEmpty())

    private fun take(worker: SimulatedWorker, heartbeat: Heartbeat, sentAt: Long, reply: Reply) {
        when (reply.status) {
            200 -> {
                val answer = WireJson.decodeFromString<HeartbeatResponse>(reply.text)
                noteStarts(answer.commands.filter { it.type == CommandType.START }.map { it.task })
                worker.onHeartbeatAnswer(answer.token, obeyed(answer.commands), sentAt, heartbeat.incarnation)
            }
            421 -> {
                val next = WireJson.decodeFromString<Redirect>(reply.text).leader?.text?.substringAfterLast('-')?.toIntOrNull()
                if (next == null || next == worker.targetNodeIndex) return tryNext(worker)
                worker.targetNodeIndex = next
                worker.nextHeartbeatAt = clock.time.now + random.nextLong(0, REDIRECT_MS)
            }
            else -> tryNext(worker)
        }
    }

    private fun tryNext(worker: SimulatedWorker) {
        worker.targetNodeIndex = (worker.targetNodeIndex + 1) % SoakSite.NODES
        worker.nextHeartbeatAt = clock.time.now + RETRY_MS
    }

    private fun noteStarts(tasks: List<String>) {
        for (task in tasks) TaskId.parse(task)?.let { run.rules.checkStartCommand(it.job, clock.time.now) }
    }

    private fun copyLate(heartbeat: Heartbeat) {
        val target = random.nextInt(SoakSite.NODES)
        clock.time.schedule(random.nextLong(1000, 2 * SoakSite.LEASE_MS)) { submit { post(target, heartbeat) } }
    }

    /** A direct command: lost, held up, or carried out at once. */
    private fun command(worker: SimulatedWorker, request: StandInRequest): StandInAnswer? {
        // So may one that ends in the middle of a command.
        if (request.body.isEmpty()) return StandInAnswer(400, "{}")
        val message = WireJson.decodeFromString<CommandRequest>(request.body)
        return clock.locked {
            if (!worker.isAlive || worker.isPartitioned || worker.isInboundCut) return@locked null
            val heldMs = if (worker.isHanging) worker.hangUntil - clock.time.now else worker.commandsHeldMs
            if (worker.isHanging || clock.time.now < worker.commandsHeldUntil) {
                clock.time.schedule(heldMs) { if (worker.isAlive) worker.execute(message.token, message.incarnation, message.commands) }
                return@locked null
            }
            noteStarts(message.commands.filter { it.type == CommandType.START }.map { it.task })
            val executed = worker.execute(message.token, message.incarnation, obeyed(message.commands))
            val heartbeat = heartbeatOf(worker)
            StandInAnswer(if (executed) 200 else 409, WireJson.encodeToString(heartbeat))
        }
    }

    override fun close() = servers.values.forEach { it.close() }

    private companion object {
        const val ANSWER_MS = 4000
        const val RETRY_MS = 1000L
        const val REDIRECT_MS = 500L
        const val COPIED_ONE_IN = 10
    }
}
