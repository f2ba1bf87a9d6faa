package mountmast.coordination.autoscaling

import mountmast.coordination.state.Machine
import mountmast.coordination.state.MachineState
import mountmast.protocol.ListedMachine
import mountmast.protocol.ListedState
import mountmast.protocol.MachineType
import mountmast.protocol.MachineTypes
import mountmast.protocol.MonotonicTime
import mountmast.transport.Cloud
import mountmast.transport.CloudException
import kotlin.concurrent.withLock

/**
 * Updates the machine types and the machines of the cluster state from the cloud's lists. Called by one thread; acquires the lock
 * of [AutoscalingContext], but never during a call to the cloud.
 */
internal class MachineInventory(private val context: AutoscalingContext, private val cloud: Cloud, private val policy: AutoscalingPolicy) {
    private val cluster get() = context.cluster
    private var typesReadAt: MonotonicTime? = null
    private var machinesReadAt: MonotonicTime? = null

    /** The number of pages of the cloud's list of machines when the list was last read. */
    private var pageCount = 0

    /**
     * Reads the machine types and the machines, each if its interval has passed. Throws [CloudException] if the machines cannot be read,
     * or if the types cannot be read and none are known.
     */
    fun refresh(now: MonotonicTime) {
        if (isDue(typesReadAt, policy.typesIntervalMs, now)) refreshTypes(now)
        if (isDue(machinesReadAt, maxOf(policy.listIntervalMs, pageCount * LIST_INTERVAL_MS_PER_PAGE), now)) refreshMachines(now)
    }

    private fun isDue(readAt: MonotonicTime?, intervalMs: Long, now: MonotonicTime) = readAt == null || now - readAt >= intervalMs

    private fun refreshTypes(now: MonotonicTime) {
        val types = try {
            cloud.machineTypes()
        } catch (e: CloudException) {
            // The types stay known, from the store after an election, so that jobs can be submitted during an outage of the cloud.
            if (context.lock.withLock { cluster.machineTypes.isEmpty() }) throw e
            return
        }
        typesReadAt = now
        context.lock.withLock {
            val isChanged = withoutPrices(cluster.machineTypes.values) != withoutPrices(types)
            cluster.replaceTypes(MachineTypes(types))
            if (isChanged) {
                context.pendingMachineTypes = MachineTypes(types)
                context.signals.wakeWriter()
            }
        }
    }

    /** Returns copies of [types] without prices, as a change of prices alone is not worth a write to the store. */
    private fun withoutPrices(types: Collection<MachineType>) = types.map { it.copy(price = 0.0, spotPrice = 0.0) }

    private fun refreshMachines(now: MonotonicTime) {
        val listed = ArrayList<ListedMachine>()
        var pagesRead = 0
        do {
            val page = cloud.list(listed.lastOrNull()?.id)
            pagesRead++
            listed += page.machines
        } while (page.more && page.machines.isNotEmpty())
        machinesReadAt = now
        pageCount = pagesRead
        context.lock.withLock {
            for (machine in listed) updateMachine(machine, now)
            cluster.health.dropRemovedMachines()
        }
    }

    private fun updateMachine(listed: ListedMachine, now: MonotonicTime) {
        if (listed.id in cluster.tombstones) return
        val known = cluster.machines[listed.id]
        if (known?.type == null) cluster.putMachine(createMachine(listed, known, now))
        if (listed.state == ListedState.FAILED) cluster.machines[listed.id]?.rental?.markListedFailed()
    }

    /**
     * Returns the machine as [listed], with the state, the lease renewal and the assignments of [known]. [known] is the entry that the
     * machine had while only its id was known, or null if it had none.
     */
    private fun createMachine(listed: ListedMachine, known: Machine?, now: MonotonicTime): Machine {
        val machine = Machine(listed.id, listed.type, listed.zone, listed.spot, known?.state ?: MachineState.BOOTING)
        machine.rental.recordRental(rented = now + -(listed.ageS * MS_PER_S).toLong(), known = now)
        machine.rental.recordFirstListing(isRunning = listed.state == ListedState.RUNNING)
        machine.worker.recordListedAddress(listed.address)
        machine.worker.assumeLeaseRenewal(known?.leaseRenewedAt ?: now)
        known?.let(machine::inheritAssignments)
        return machine
    }

    private companion object {
        const val MS_PER_S = 1000

        /**
         * The shortest time between two reads of the list of machines for each of its pages, in milliseconds. Each page is a call to the
         * cloud, and scale out and scale in wait until the calls are done.
         */
        const val LIST_INTERVAL_MS_PER_PAGE = 1000L
    }
}
