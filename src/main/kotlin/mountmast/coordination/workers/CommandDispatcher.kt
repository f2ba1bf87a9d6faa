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
 * Sends outstanding commands directly to workers, so that the commands need not wait for the workers' next heartbeats. The delivery
 * queue is guarded by the lock of the leader's term.
 */
class CommandDispatcher(
    private val context: WorkerContext,
    private val outstandingCommands: OutstandingCommands,
    workerClient: WorkerClient,
    heartbeatHandler: HeartbeatHandler,
) {
    private val sender = CommandSender(context, workerClient, heartbeatHandler)
    private val announcer = LeaderAnnouncer(context, sender)
    private val deliveryQueue = LinkedHashSet<MachineId>()
    private val deliveryDue: Condition = context.lock.newCondition()

    /** Queues machine [id] for the delivery of its outstanding commands. The caller holds the lock of the leader's term. */
    fun queueDelivery(id: MachineId) {
        deliveryQueue += id
        deliveryDue.signal()
    }

    /**
     * Takes the next machine from the delivery queue and sends its outstanding commands, if there are any. Waits up to [waitMs]
     * milliseconds if the queue is empty. The caller does not hold the lock of the leader's term.
     */
    fun deliverNextCommands(waitMs: Long): DeliveryStep {
        val request = context.lock.withLock {
            if (deliveryQueue.isEmpty() && waitMs > 0) deliveryDue.await(waitMs, TimeUnit.MILLISECONDS)
            val now = context.clock.now()
            val id = deliveryQueue.firstOrNull { mayBeDequeued(it, now) } ?: return DeliveryStep.IDLE
            deliveryQueue -= id
            context.cluster.machines[id]?.let { beginRequest(it, now) }
        }
        if (request != null) sender.send(request)
        return DeliveryStep.DONE
    }

    /** Queues this leader's announcement to each worker that has not shown this term's token; see [LeaderAnnouncer.queueAnnouncements]. */
    fun queueLeaderAnnouncements(readyAt: MonotonicTime, now: MonotonicTime) = announcer.queueAnnouncements(readyAt, now)

    /** Sends the next queued announcement of this leader; see [LeaderAnnouncer.sendNextAnnouncement]. */
    fun sendNextAnnouncement(): DeliveryStep = announcer.sendNextAnnouncement()

    private fun mayBeDequeued(id: MachineId, now: MonotonicTime): Boolean {
        val machine = context.cluster.machines[id] ?: return true
        return !machine.delivery.isRequestInFlight && now >= machine.delivery.notBefore
    }

    private fun beginRequest(machine: Machine, now: MonotonicTime): OutgoingRequest? {
        val incarnation = machine.incarnation
        if (machine.state != MachineState.UP || incarnation == null || machine.isDeleting) return null
        // A request to a partitioned machine occupies a delivery thread until it times out: with a fifth of the machines partitioned,
        // the commands to all others were delayed. A silent worker gets its commands in the response to its next heartbeat. Test:
        // `RecoveryTest`, "commands are not sent to machines that are silent".
        if (now - machine.lastContactAt > context.timing.silenceTimeoutMs) return null
        val commands = outstandingCommands.collectForDelivery(machine)
        return if (commands.isEmpty()) null else sender.prepareRequest(machine, incarnation, commands)
    }
}
