package mountmast.coordination.scheduling

import mountmast.protocol.ImageId
import mountmast.protocol.JobId
import mountmast.protocol.MachineType
import mountmast.protocol.Resources
import mountmast.protocol.TypeId
import mountmast.protocol.Zone
import java.util.TreeSet

/**
 * The machines that a pass may place tasks on, grouped by all that decides how well a task fits, the image apart: kind and
 * free room. Machines are many, groups are few, so a job that looks for room looks at groups. Kept from pass to pass as
 * machines change. Not thread-safe.
 */
class MachineIndex {
    private val groupsByKey = LinkedHashMap<GroupKey, MachineGroup>()
    private val reserved = LinkedHashMap<JobId, LinkedHashSet<MachineView>>()

    /** All groups that have a machine. */
    val groups: Collection<MachineGroup> get() = groupsByKey.values

    /** How many machines are reserved, for whatever job. */
    var reservedCount = 0
        private set

    /** All machines that are reserved. */
    val reservedMachines: Sequence<MachineView> get() = reserved.values.asSequence().flatten()

    /** The machines that are reserved for [job]. */
    fun reservedFor(job: JobId): Collection<MachineView> = reserved[job].orEmpty()

    fun add(machine: MachineView) {
        addToGroup(machine)
        machine.reservedFor?.let { noteReserved(machine, it) }
    }

    fun remove(machine: MachineView) {
        removeFromGroup(machine)
        val job = machine.reservedFor ?: return
        val others = reserved[job] ?: return
        if (others.remove(machine)) reservedCount--
        if (others.isEmpty()) reserved.remove(job)
    }

    /** A plan leaves [room] on [machine]. */
    fun changeRoom(machine: MachineView, room: Resources) {
        removeFromGroup(machine)
        machine.changeRoom(room)
        addToGroup(machine)
    }

    /** A plan reserves [machine], which is reserved for nobody, for [job]. */
    fun reserve(machine: MachineView, job: JobId) {
        machine.reserveFor(job)
        noteReserved(machine, job)
    }

    private fun noteReserved(machine: MachineView, job: JobId) {
        if (reserved.getOrPut(job) { LinkedHashSet() }.add(machine)) reservedCount++
    }

    private fun addToGroup(machine: MachineView) {
        val key = GroupKey(machine.type.id, machine.zone, machine.spot, machine.room)
        val group = groupsByKey.getOrPut(key) { MachineGroup(machine.type, machine.zone, machine.spot, machine.room) }
        group.add(machine)
        machine.group = group
    }

    private fun removeFromGroup(machine: MachineView) {
        val group = machine.group ?: return
        group.remove(machine)
        machine.group = null
        if (group.isEmpty) groupsByKey.remove(GroupKey(group.type.id, group.zone, group.spot, group.room))
    }

    private data class GroupKey(val type: TypeId, val zone: Zone, val spot: Boolean, val room: Resources)

    companion object {
        /** An index of [machines] alone. */
        fun of(machines: Collection<MachineView>) = MachineIndex().apply { machines.forEach(::add) }
    }
}

/** Machines of one kind with the same free room, in the order of their ids. Changed by [MachineIndex] alone. */
class MachineGroup(val type: MachineType, val zone: Zone, val spot: Boolean, val room: Resources) {
    private val machines = TreeSet(MachineView.BY_ID)
    private val holders = HashMap<ImageId, TreeSet<MachineView>>()

    val size: Int get() = machines.size
    val isEmpty: Boolean get() = machines.isEmpty()

    internal fun add(machine: MachineView) {
        machines += machine
        for (image in machine.images) holders.getOrPut(image) { TreeSet(MachineView.BY_ID) } += machine
    }

    internal fun remove(machine: MachineView) {
        machines -= machine
        for (image in machine.images) {
            val others = holders[image] ?: continue
            others -= machine
            if (others.isEmpty()) holders.remove(image)
        }
    }

    /** The machine that follows [before], or the first where that is null. */
    fun next(before: MachineView?): MachineView? = machines.next(before)

    /** The same among the machines that hold [image]. */
    fun nextHolding(image: ImageId, before: MachineView?): MachineView? = holders[image]?.next(before)

    /** Whether a machine holds [image]. */
    fun holds(image: ImageId): Boolean = image in holders

    /** Whether every machine holds [image]. */
    fun allHold(image: ImageId): Boolean = holders[image]?.size == machines.size

    private fun TreeSet<MachineView>.next(before: MachineView?): MachineView? = when {
        before != null -> higher(before)
        isEmpty() -> null
        else -> first()
    }
}
