package mountmast.coordination.workers

import mountmast.protocol.MachineId
import mountmast.protocol.MonotonicTime
import java.util.concurrent.ConcurrentHashMap

/**
 * For each machine, the time of the last heartbeat in this term that this node answered with a renewal of the worker's lease. The
 * time is recorded where responses leave the node, independently of the cluster state. Before a lease is declared expired, both this log
 * and the cluster state are checked. Thread-safe.
 */
class LeaseRenewalLog {
    private val renewalTimes = ConcurrentHashMap<MachineId, MonotonicTime>()

    /** Records that [machine] is about to be sent a response that renews its lease, to a heartbeat received at [receivedAt]. */
    fun recordRenewal(machine: MachineId, receivedAt: MonotonicTime) {
        renewalTimes.merge(machine, receivedAt, ::maxOf)
    }

    /** Returns when the last heartbeat of [machine] that renewed its lease in this term was received, or null if there was none. */
    fun lastRenewalTime(machine: MachineId): MonotonicTime? = renewalTimes[machine]
}
