package mountmast.coordination.workers

import mountmast.protocol.MachineId
import mountmast.protocol.MonotonicTime
import java.util.concurrent.ConcurrentHashMap

/**
 * For each machine, the time of the last heartbeat in this term that this node answered with a renewal of the worker's lease. Recorded
 * where responses leave the node, independently of the cluster state: before a lease is declared expired, both are compared. Thread-safe.
 */
class LeaseRenewalLog {
    private val renewedAt = ConcurrentHashMap<MachineId, MonotonicTime>()

    /** Records that [machine] is about to be sent a response that renews its lease, to a heartbeat received at [receivedAt]. */
    fun record(machine: MachineId, receivedAt: MonotonicTime) {
        renewedAt.merge(machine, receivedAt, ::maxOf)
    }

    /** Returns when the last heartbeat of [machine] that renewed its lease in this term was received, or null if there was none. */
    fun lastRenewal(machine: MachineId): MonotonicTime? = renewedAt[machine]
}
