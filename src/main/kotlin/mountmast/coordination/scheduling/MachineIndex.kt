package mountmast.coordination.scheduling

import mountmast.protocol.JobId
import mountmast.protocol.Resources
import mountmast.protocol.TypeId
import mountmast.protocol.Zone

/**
 * The machines on which a scheduling cycle may place tasks, grouped by kind and free capacity. Apart from its images, a machine's
 * kind and free capacity decide how well a task fits on it. There are far fewer groups than machines, so the search for free
 * capacity goes through groups. Kept from cycle to cycle and updated as machines change. Not thread-safe: guarded by the lock
 * of the leader's term.
 */
class MachineIndex {
    private val groupsByKey = LinkedHashMap<GroupKey, MachineGroup>()
    private val reservedByJob = LinkedHashMap<JobId, LinkedHashSet<MachineView>>()

    /** All groups; each has at least one machine. */
    internal val groups: Collection<MachineGroup> get() = groupsByKey.values

    /** The number of machines that are reserved, for whichever job. */
    internal var reservedCount: Int = 0
        private set

    /** All machines that are reserved. */
    internal val reservedMachines: Sequence<MachineView> get() = reservedByJob.values.asSequence().flatten()

    /** Returns the machines that are reserved for [job]. */
    internal fun reservedFor(job: JobId): Collection<MachineView> = reservedByJob[job].orEmpty()

    /** Adds [machine], which must not be in any index, to the group of its kind and free capacity. */
    fun add(machine: MachineView) {
        addToGroup(machine)
        machine.reservedFor?.let { addReserved(machine, it) }
    }

    /** Removes [machine]; does nothing if [machine] is not in the index. */
    fun remove(machine: MachineView) {
        removeFromGroup(machine)
        val job = machine.reservedFor ?: return
        val sameJob = reservedByJob[job] ?: return
        if (sameJob.remove(machine)) reservedCount--
        if (sameJob.isEmpty()) reservedByJob.remove(job)
    }

    /** Sets the free capacity of [machine] to [freeCapacity], which a plan leaves, and moves [machine] to the group that matches. */
    internal fun updateFreeCapacity(machine: MachineView, freeCapacity: Resources) {
        removeFromGroup(machine)
        machine.updateFreeCapacity(freeCapacity)
        addToGroup(machine)
    }

    /** Reserves [machine], which must not be reserved for any job, for [job]. */
    internal fun reserve(machine: MachineView, job: JobId) {
        machine.reserveFor(job)
        addReserved(machine, job)
    }

    private fun addReserved(machine: MachineView, job: JobId) {
        if (reservedByJob.getOrPut(job) { LinkedHashSet() }.add(machine)) reservedCount++
    }

    private fun addToGroup(machine: MachineView) {
        val group = groupsByKey.getOrPut(GroupKey(machine.kind, machine.freeCapacity)) { MachineGroup(machine.kind, machine.freeCapacity) }
        group.add(machine)
        machine.group = group
    }

    private fun removeFromGroup(machine: MachineView) {
        val group = machine.group ?: return
        group.remove(machine)
        machine.group = null
        if (group.isEmpty) groupsByKey.remove(GroupKey(group.kind, group.freeCapacity))
    }

    /** The kind and free capacity of a group. Holds the id of the machine type in place of the type, as ids are cheaper to compare. */
    private data class GroupKey(val type: TypeId, val zone: Zone, val isSpot: Boolean, val freeCapacity: Resources) {
        constructor(kind: MachineKind, freeCapacity: Resources) : this(kind.type.id, kind.zone, kind.isSpot, freeCapacity)
    }

    internal companion object {
        /** Returns an index of [machines], none of which may be in another index. */
        fun of(machines: Collection<MachineView>) = MachineIndex().apply { machines.forEach(::add) }
    }
}
