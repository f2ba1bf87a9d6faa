package mountmast.coordination.workers

import mountmast.coordination.state.Machine
import mountmast.coordination.state.MachineState
import mountmast.protocol.MachineId
import mountmast.protocol.MonotonicTime
import mountmast.protocol.WorkerIncarnation
import kotlin.concurrent.withLock

/**
 * Announces a new leader to workers that have not shown the token of its term. A worker may still send its heartbeats to the previous
 * leader, which may be partitioned from the other nodes. Such a worker learns of the new leader only from a command request: the token
 * in the request makes the worker look for the new leader, even if the request contains no command. Test: `CombinedFailuresTest`, "jobs
 * are cancelled through the new leader while the old one still reaches workers and users".
 *
 * The announcement queue is guarded by the lock of the leader's term.
 */
internal class LeaderAnnouncer(private val context: WorkerContext, private val sender: CommandSender) {
    /** This queue is separate from the delivery queue of commands, so that commands do not wait for announcements to silent machines. */
    private val announcementQueue = LinkedHashSet<MachineId>()

    /**
     * Queues the workers that have not shown this term's token. Does nothing until [ANNOUNCEMENT_INTERVAL_MS] after [readyAt], when this
     * leader had loaded its state, nor once every worker's lease that an earlier leader may have renewed has expired. The caller holds the
     * lock of the leader's term.
     */
    fun queueAnnouncements(readyAt: MonotonicTime, now: MonotonicTime) {
        val timing = context.timing
        if (now - readyAt !in ANNOUNCEMENT_INTERVAL_MS..timing.formerLeaderGraceMs + timing.leaseExpiryMs) return
        for (machine in context.cluster.machines.values) if (needsAnnouncement(machine, now)) announcementQueue += machine.id
    }

    /**
     * Takes the next worker from the announcement queue and, if it still has not shown this term's token, sends it a request without
     * commands. The caller does not hold the lock of the leader's term.
     */
    fun sendNextAnnouncement(): DeliveryStep {
        val request = context.lock.withLock {
            val id = announcementQueue.firstOrNull() ?: return DeliveryStep.IDLE
            announcementQueue -= id
            context.cluster.machines[id]?.let { beginAnnouncement(it, context.clock.now()) }
        }
        if (request != null) sender.send(request)
        return DeliveryStep.DONE
    }

    private fun beginAnnouncement(machine: Machine, now: MonotonicTime): OutgoingRequest? {
        if (machine.delivery.isRequestInFlight || !needsAnnouncement(machine, now)) return null
        machine.delivery.beginAnnouncement(now)
        // The request contains no command, so any incarnation is valid if the worker's incarnation is unknown.
        val incarnation = machine.incarnation ?: machine.unreleasedAssignments.values.firstOrNull()?.incarnation ?: WorkerIncarnation(1u)
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
        /**
         * How long after loading its state a leader waits for workers to show its token before it sends announcements, and the minimum
         * time between two announcements to the same worker.
         */
        const val ANNOUNCEMENT_INTERVAL_MS = 3000L
    }
}
