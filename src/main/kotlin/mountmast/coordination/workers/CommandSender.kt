package mountmast.coordination.workers

import mountmast.coordination.state.Assignment
import mountmast.coordination.state.Machine
import mountmast.protocol.CommandRequest
import mountmast.protocol.CommandType
import mountmast.protocol.WorkerCommand
import mountmast.protocol.WorkerIncarnation
import mountmast.transport.CommandOutcome
import mountmast.transport.WorkerClient
import kotlin.concurrent.withLock

/** Whether a step that sends commands or announcements to workers had something to do. */
enum class DeliveryStep {
    /** A machine was taken from the queue, whether or not anything had to be sent to it; more machines may be queued. */
    DONE,

    /** No queued machine may be sent a request now. */
    IDLE,
}

/**
 * A command request in flight to the worker of [machine]. Its commands are valid for [incarnation] alone: in another incarnation, a start
 * command would run a task that is not assigned to that incarnation.
 */
internal class OutgoingRequest(val machine: Machine, val incarnation: WorkerIncarnation, val commands: List<WorkerCommand>) {
    /** The machine's token offset when the request was created; the machine's token offset may rise before the response arrives. */
    val tokenOffset = machine.delivery.tokenOffset
}

/** Sends command requests to workers, and reconciles the heartbeats in the workers' responses with the cluster state. */
internal class CommandSender(
    private val context: WorkerContext,
    private val workerClient: WorkerClient,
    private val heartbeatHandler: HeartbeatHandler,
) {
    /**
     * Records that [commands] are in flight to [machine] and returns the request, which the caller must pass to [send]. The caller holds
     * the lock of the leader's term.
     */
    fun prepareRequest(machine: Machine, incarnation: WorkerIncarnation, commands: List<WorkerCommand>): OutgoingRequest {
        forEachStart(machine, commands) { it.startDelivery.beginRequest() }
        machine.delivery.beginRequest(carriesStart = commands.any { it.type == CommandType.START })
        return OutgoingRequest(machine, incarnation, commands)
    }

    /** Sends [request] and applies its outcome. The caller does not hold the lock of the leader's term: sending waits for the worker. */
    fun send(request: OutgoingRequest) {
        val token = context.leaderLease.token.advancedBy(request.tokenOffset)
        val message = CommandRequest(token, request.incarnation, request.commands)
        val outcome = workerClient.send(checkNotNull(request.machine.address), message)
        context.lock.withLock { applyOutcome(request, outcome) }
    }

    private fun applyOutcome(request: OutgoingRequest, outcome: CommandOutcome) {
        val now = context.clock.now()
        val machine = request.machine
        machine.delivery.endRequest()
        forEachStart(machine, request.commands) { it.startDelivery.endRequest() }
        when (outcome) {
            is CommandOutcome.Executed -> heartbeatHandler.onCommandResponse(outcome.heartbeat, now)
            is CommandOutcome.Rejected -> heartbeatHandler.onCommandResponse(outcome.heartbeat, now)
            CommandOutcome.NotSent -> machine.delivery.pauseUntil(now + DELIVERY_PAUSE_MS)
            CommandOutcome.Unknown -> {
                machine.delivery.pauseUntil(now + DELIVERY_PAUSE_MS)
                recordUnansweredStarts(request)
            }
        }
    }

    private fun recordUnansweredStarts(request: OutgoingRequest) {
        for (command in request.commands) {
            if (command.type != CommandType.START) continue
            request.machine.delivery.recordUnansweredStart(command.task, command.attempt, requestTokenOffset = request.tokenOffset)
        }
    }

    private inline fun forEachStart(machine: Machine, commands: List<WorkerCommand>, action: (Assignment) -> Unit) {
        for (command in commands) {
            if (command.type != CommandType.START) continue
            machine.unreleasedAssignments[command.task]?.takeIf { it.attempt == command.attempt }?.let(action)
        }
    }

    private companion object {
        /** How long no commands are sent directly to a worker after a request that it did not answer or that could not be sent. */
        const val DELIVERY_PAUSE_MS = 2000L
    }
}
