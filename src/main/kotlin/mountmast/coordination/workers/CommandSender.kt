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

/** Whether a step of command delivery had something to do. */
enum class DeliveryStep {
    /** A machine was taken from the queue, whether or not anything had to be sent to it: more may be queued. */
    DONE,

    /** Nothing is queued that may be sent now. */
    IDLE,
}

/** Commands for one incarnation of a worker: in any other, a start would run that its assignment is not for. */
internal class CommandDelivery(
    val machine: Machine,
    val incarnation: WorkerIncarnation,
    val tokenOffset: Int,
    val commands: List<WorkerCommand>,
)

/** Sends command requests to workers, and reconciles the heartbeats with which they answer. */
internal class CommandSender(
    private val context: WorkerContext,
    private val workers: WorkerClient,
    private val heartbeats: HeartbeatHandler,
) {
    /**
     * Marks [commands] as being on their way to [machine] and returns the delivery, which has to be passed to [send]. The caller holds
     * the lock of the leader's term.
     */
    fun begin(machine: Machine, incarnation: WorkerIncarnation, commands: List<WorkerCommand>): CommandDelivery {
        forEachStart(machine, commands) { it.deliveriesInFlight++ }
        machine.deliveryInFlight = true
        return CommandDelivery(machine, incarnation, machine.tokenOffset, commands)
    }

    /** Sends [delivery] and applies its outcome. The caller does not hold the lock of the leader's term: this waits for the worker. */
    fun send(delivery: CommandDelivery) {
        val token = context.leaderLease.token.advancedBy(delivery.tokenOffset)
        val request = CommandRequest(token, delivery.incarnation, delivery.commands)
        val outcome = workers.send(checkNotNull(delivery.machine.address), request)
        context.lock.withLock { finish(delivery, outcome) }
    }

    private fun finish(delivery: CommandDelivery, outcome: CommandOutcome) {
        val now = context.clock.now()
        val machine = delivery.machine
        machine.deliveryInFlight = false
        forEachStart(machine, delivery.commands) { it.deliveriesInFlight-- }
        when (outcome) {
            is CommandOutcome.Executed -> heartbeats.onCommandResponse(outcome.heartbeat, now)
            is CommandOutcome.Rejected -> heartbeats.onCommandResponse(outcome.heartbeat, now)
            CommandOutcome.NotSent -> machine.deliverNotBefore = now + DELIVERY_PAUSE_MS
            CommandOutcome.Unknown -> {
                machine.deliverNotBefore = now + DELIVERY_PAUSE_MS
                for (command in delivery.commands) {
                    if (command.type == CommandType.START) machine.mayStillStart[command.task to command.attempt] = delivery.tokenOffset
                }
            }
        }
    }

    private inline fun forEachStart(machine: Machine, commands: List<WorkerCommand>, action: (Assignment) -> Unit) {
        for (command in commands) {
            if (command.type != CommandType.START) continue
            machine.live[command.task]?.takeIf { it.attempt == command.attempt }?.let(action)
        }
    }

    private companion object {
        /** How long no commands are delivered to a worker that gave no answer. */
        const val DELIVERY_PAUSE_MS = 2000L
    }
}
