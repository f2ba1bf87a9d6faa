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

/** Keeps the ledger's machine types and machines as the cloud lists them. Called by one thread; takes the lock of [AutoscalingContext]. */
class MachineInventory(private val context: AutoscalingContext, private val cloud: Cloud, private val policy: AutoscalingPolicy) {
    private val cluster get() = context.cluster
    private var typesReadAt: MonotonicTime? = null
    private var machinesReadAt: MonotonicTime? = null

    /** Pages that the list of machines had last. */
    private var pages = 0

    /** Reads again what was read too long ago. Throws [CloudException] where that fails and cannot be done without. */
    fun refresh(now: MonotonicTime) {
        if (isDue(typesReadAt, policy.typesEveryMs, now)) readTypes(now)
        if (isDue(machinesReadAt, maxOf(policy.listEveryMs, pages * MS_PER_PAGE), now)) readMachines(now)
    }

    private fun isDue(last: MonotonicTime?, everyMs: Long, now: MonotonicTime) = last == null || now - last >= everyMs

    private fun readTypes(now: MonotonicTime) {
        val types = try {
            cloud.machineTypes()
        } catch (e: CloudException) {
            // The store keeps the types, so that an outage of the cloud stops nobody from submitting.
            if (context.lock.withLock { cluster.types.isEmpty() }) throw e
            return
        }
        typesReadAt = now
        context.lock.withLock {
            val isChanged = withoutPrices(cluster.types.values) != withoutPrices(types)
            cluster.replaceTypes(MachineTypes(types))
            if (isChanged) {
                context.pendingTypes = MachineTypes(types)
                context.signals.wakeWriter()
            }
        }
    }

    /** A change of prices alone is not worth a write. */
    private fun withoutPrices(types: Collection<MachineType>) = types.map { it.copy(price = 0.0, spotPrice = 0.0) }

    private fun readMachines(now: MonotonicTime) {
        val listed = ArrayList<ListedMachine>()
        var read = 0
        do {
            val page = cloud.list(listed.lastOrNull()?.id)
            read++
            listed += page.machines
        } while (page.more && page.machines.isNotEmpty())
        machinesReadAt = now
        pages = read
        context.lock.withLock { for (machine in listed) takeIn(machine, now) }
    }

    private fun takeIn(listed: ListedMachine, now: MonotonicTime) {
        if (listed.id in cluster.tombstones) return
        val known = cluster.machines[listed.id]
        if (known?.type == null) cluster.machines[listed.id] = create(listed, known, now)
        if (listed.state == ListedState.FAILED) cluster.machines[listed.id]?.listedFailed = true
    }

    /** The machine as listed, with all that was [known] of it before its type was. */
    private fun create(listed: ListedMachine, known: Machine?, now: MonotonicTime): Machine {
        val machine = Machine(listed.id, listed.type, listed.zone, listed.spot, known?.state ?: MachineState.BOOTING)
        machine.rentedAt = now + -(listed.ageS * MS_PER_S).toLong()
        machine.knownAt = now
        machine.address = listed.address
        machine.leaseRenewedAt = known?.leaseRenewedAt ?: now
        known?.let(machine::takeOver)
        cluster.recalledImages.remove(listed.id)?.let(machine::recallImages)
        machine.listedRunning = listed.state == ListedState.RUNNING
        return machine
    }

    private companion object {
        const val MS_PER_S = 1000

        /** A long list is read less often, as each page is a call that renting and returning have to wait for. */
        const val MS_PER_PAGE = 1000L
    }
}
