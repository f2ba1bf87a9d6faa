package mountmast.coordination.workers

import mountmast.coordination.state.Machine
import mountmast.coordination.state.MachineState
import mountmast.protocol.MachineId
import mountmast.protocol.MonotonicTime
import mountmast.protocol.WorkerIncarnation
import kotlin.concurrent.withLock

/**
 * Announces a new leader to workers that have not shown its token. A worker that still sends its heartbeats to the leader before, which
 * may be cut off from everybody else, learns of the new one only from a command request: the token in it makes the worker look for the
 * new leader, even if the request holds no command. Test: `CombinedFailuresTest`, "jobs are cancelled through the new leader while the
 * old one still reaches workers and users".
 *
 * The queue is guarded by the lock of the leader's term.
 */
internal class LeaderAnnouncer(private val context: WorkerContext, private val sender: CommandSender) {
    /** Apart from the queue of commands, which must not wait for silent hosts. */
    private val announcementQueue = LinkedHashSet<MachineId>()

    /**
     * Queues the workers that have not shown this term's token although this node has been ready since [readyAt]. Does nothing once the
     * leases that an earlier leader may have renewed have expired. The caller holds the lock of the leader's term.
     */
    fun queueAnnouncements(readyAt: MonotonicTime, now: MonotonicTime) {
        val timing = context.timing
        if (now - readyAt !in ANNOUNCEMENT_INTERVAL_MS..timing.formerLeaderGraceMs + timing.leaseExpiryMs) return
        for (machine in context.cluster.machines.values) if (needsAnnouncement(machine, now)) announcementQueue += machine.id
    }

    /**
     * Takes the next worker from the queue and sends it a request without commands, if it still needs one. The caller does not hold the
     * lock of the leader's term.
     */
    fun announceNext(): DeliveryStep {
        val request = context.lock.withLock {
            val id = announcementQueue.firstOrNull() ?: return DeliveryStep.IDLE
            announcementQueue -= id
            context.cluster.machines[id]?.let { beginAnnouncement(it, context.clock.now()) }
        }
        if (request != null) sender.send(request)
        return DeliveryStep.DONE
    }

    private fun beginAnnouncement(machine: Machine, now: MonotonicTime): OutgoingRequest? {
        if (machine.delivery.isInFlight || !needsAnnouncement(machine, now)) return null
        machine.delivery.beginAnnouncement(now)
        // The request holds no command, so any incarnation will do where the worker's is not known.
        val incarnation = machine.incarnation ?: machine.live.values.firstOrNull()?.incarnation ?: WorkerIncarnation(1u)
        return OutgoingRequest(machine, incarnation, commands = emptyList())
    }

    private fun needsAnnouncement(machine: Machine, now: MonotonicTime) = isAddressable(machine) &&
        !machine.hasShownCurrentTerm &&
        now - machine.delivery.announcedAt > ANNOUNCEMENT_INTERVAL_MS

    private fun isAddressable(machine: Machine) = machine.address != null &&
        !machine.isDeleting &&
        machine.state != MachineState.EXPIRED &&
        machine.state != MachineState.BOOTING

    private companion object {
        /** How long a worker is given to show the token by itself, and the least time between two announcements to it. */
        const val ANNOUNCEMENT_INTERVAL_MS = 3000L
    }
}
