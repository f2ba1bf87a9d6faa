package mountmast.coordination.workers

import mountmast.coordination.state.Machine
import mountmast.coordination.state.MachineState
import mountmast.protocol.MachineId
import mountmast.protocol.MonotonicTime
import mountmast.transport.WorkerClient
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.Condition
import kotlin.concurrent.withLock

/**
 * Delivers outstanding commands to workers directly, so that they need not wait for the next heartbeats. The queue is guarded by the
 * lock of the leader's term.
 */
class CommandDispatcher(
    private val context: WorkerContext,
    private val outstanding: OutstandingCommands,
    workers: WorkerClient,
    heartbeats: HeartbeatHandler,
) {
    private val sender = CommandSender(context, workers, heartbeats)
    private val announcer = LeaderAnnouncer(context, sender)
    private val deliveryQueue = LinkedHashSet<MachineId>()
    private val deliveryDue: Condition = context.lock.newCondition()

    /** Queues machine [id] for the delivery of its outstanding commands. The caller holds the lock of the leader's term. */
    fun queue(id: MachineId) {
        deliveryQueue += id
        deliveryDue.signal()
    }

    /**
     * Takes the next machine from the queue and sends its outstanding commands, if there are any; waits up to [waitMs] while the queue
     * is empty. The caller does not hold the lock of the leader's term.
     */
    fun deliverNext(waitMs: Long): DeliveryStep {
        val request = context.lock.withLock {
            if (deliveryQueue.isEmpty() && waitMs > 0) deliveryDue.await(waitMs, TimeUnit.MILLISECONDS)
            val now = context.clock.now()
            val id = deliveryQueue.firstOrNull { mayBeTaken(it, now) } ?: return DeliveryStep.IDLE
            deliveryQueue -= id
            context.cluster.machines[id]?.let { beginRequest(it, now) }
        }
        if (request != null) sender.send(request)
        return DeliveryStep.DONE
    }

    /** Queues an announcement for each worker that has not shown this term's token; see [LeaderAnnouncer.queueAnnouncements]. */
    fun announceToWorkers(readyAt: MonotonicTime, now: MonotonicTime) = announcer.queueAnnouncements(readyAt, now)

    /** Sends the next announcement of this leader; see [LeaderAnnouncer.announceNext]. */
    fun announceNext(): DeliveryStep = announcer.announceNext()

    private fun mayBeTaken(id: MachineId, now: MonotonicTime): Boolean {
        val machine = context.cluster.machines[id] ?: return true
        return !machine.delivery.isInFlight && now >= machine.delivery.notBefore
    }

    private fun beginRequest(machine: Machine, now: MonotonicTime): OutgoingRequest? {
        val incarnation = machine.incarnation
        if (machine.state != MachineState.UP || incarnation == null || machine.isDeleting) return null
        // A host behind a cut occupies a sending thread until the deadline of its request, and with a fifth of the fleet cut off the
        // commands to all others waited. A silent worker gets its commands in the response to its next heartbeat. Test: `RecoveryTest`,
        // "commands are not sent to machines that are silent".
        if (now - machine.lastContactAt > context.timing.silenceTimeoutMs) return null
        val commands = outstanding.forDelivery(machine)
        return if (commands.isEmpty()) null else sender.begin(machine, incarnation, commands)
    }
}
