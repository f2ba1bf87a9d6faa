package mountmast.coordination.workers

import mountmast.protocol.MachineId
import mountmast.protocol.MonotonicTime
import java.util.concurrent.ConcurrentHashMap

/**
 * When each worker was last given an answer that it may take, by whatever path. Kept where answers leave the node, apart from the
 * ledger: before a lease is called over, both are compared. Thread-safe.
 */
class LeaseRenewalLog {
    private val leaseRenewedAt = ConcurrentHashMap<MachineId, MonotonicTime>()

    /** [machine] is about to be given such an answer, to a report that was taken in at [receivedAt]. */
    fun note(machine: MachineId, receivedAt: MonotonicTime) {
        leaseRenewedAt.merge(machine, receivedAt, ::maxOf)
    }

    /** When [machine] was last given one in this term, or null where it never was. */
    fun lastRenewal(machine: MachineId): MonotonicTime? = leaseRenewedAt[machine]
}
