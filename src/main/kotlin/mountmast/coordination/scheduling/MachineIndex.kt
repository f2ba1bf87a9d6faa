package mountmast.coordination.scheduling

import mountmast.protocol.JobId
import mountmast.protocol.Resources
import mountmast.protocol.TypeId
import mountmast.protocol.Zone

/**
 * The machines that a scheduling cycle may place tasks on, grouped by all that decides how well a task fits, the image apart:
 * kind and free capacity. Machines are many, groups are few, so the search for free capacity goes through groups. Kept from
 * cycle to cycle and updated as machines change. Not thread-safe: guarded by the lock of the leader's term.
 */
class MachineIndex {
    private val groupsByKey = LinkedHashMap<GroupKey, MachineGroup>()
    private val reserved = LinkedHashMap<JobId, LinkedHashSet<MachineView>>()

    /** All groups that have a machine. */
    internal val groups: Collection<MachineGroup> get() = groupsByKey.values

    /** How many machines are reserved, for any job. */
    internal var reservedCount: Int = 0
        private set

    /** All machines that are reserved. */
    internal val reservedMachines: Sequence<MachineView> get() = reserved.values.asSequence().flatten()

    /** Returns the machines that are reserved for [job]. */
    internal fun reservedFor(job: JobId): Collection<MachineView> = reserved[job].orEmpty()

    fun add(machine: MachineView) {
        addToGroup(machine)
        machine.reservedFor?.let { addReserved(machine, it) }
    }

    /** Removes [machine]; does nothing if it is not in the index. */
    fun remove(machine: MachineView) {
        removeFromGroup(machine)
        val job = machine.reservedFor ?: return
        val sameJob = reserved[job] ?: return
        if (sameJob.remove(machine)) reservedCount--
        if (sameJob.isEmpty()) reserved.remove(job)
    }

    /** Sets the [freeCapacity] that a plan leaves on [machine], and moves it to the group of that. */
    internal fun updateFreeCapacity(machine: MachineView, freeCapacity: Resources) {
        removeFromGroup(machine)
        machine.updateFreeCapacity(freeCapacity)
        addToGroup(machine)
    }

    /** Reserves [machine], which must not be reserved yet, for [job]. */
    internal fun reserve(machine: MachineView, job: JobId) {
        machine.reserveFor(job)
        addReserved(machine, job)
    }

    private fun addReserved(machine: MachineView, job: JobId) {
        if (reserved.getOrPut(job) { LinkedHashSet() }.add(machine)) reservedCount++
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

    /** Names the type by its id alone, as that is cheaper to compare. */
    private data class GroupKey(val type: TypeId, val zone: Zone, val isSpot: Boolean, val freeCapacity: Resources) {
        constructor(kind: MachineKind, freeCapacity: Resources) : this(kind.type.id, kind.zone, kind.isSpot, freeCapacity)
    }

    internal companion object {
        /** Returns an index of [machines], none of which may be in another index. */
        fun of(machines: Collection<MachineView>) = MachineIndex().apply { machines.forEach(::add) }
    }
}
