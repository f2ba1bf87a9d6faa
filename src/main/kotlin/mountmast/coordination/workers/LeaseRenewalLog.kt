package mountmast.coordination.workers

import mountmast.protocol.MachineId
import mountmast.protocol.MonotonicTime
import java.util.concurrent.ConcurrentHashMap

/**
 * When each worker was last sent a response that renews its lease, by whatever path. Recorded where responses leave the node, apart from
 * the cluster state: before a lease expires, both are compared. Thread-safe.
 */
class LeaseRenewalLog {
    private val renewedAt = ConcurrentHashMap<MachineId, MonotonicTime>()

    /** Records that [machine] is about to be sent such a response, to a heartbeat that was received at [receivedAt]. */
    fun record(machine: MachineId, receivedAt: MonotonicTime) {
        renewedAt.merge(machine, receivedAt, ::maxOf)
    }

    /** Returns when the last such heartbeat of [machine] was received in this term, or null if none was. */
    fun lastRenewal(machine: MachineId): MonotonicTime? = renewedAt[machine]
}
