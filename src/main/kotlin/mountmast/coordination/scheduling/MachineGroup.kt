package mountmast.coordination.scheduling

import mountmast.protocol.ImageId
import mountmast.protocol.Resources
import java.util.TreeSet

/**
 * Machines of one kind with the same free capacity, in the order of their ids. Changed by [MachineIndex] alone. Not thread-safe:
 * guarded by the lock of the leader's term.
 */
internal class MachineGroup(val kind: MachineKind, val freeCapacity: Resources) {
    private val machines = TreeSet(MachineView.BY_ID)
    private val machinesByImage = HashMap<ImageId, TreeSet<MachineView>>()

    val size: Int get() = machines.size
    val isEmpty: Boolean get() = machines.isEmpty()

    fun add(machine: MachineView) {
        machines += machine
        for (image in machine.images) machinesByImage.getOrPut(image) { TreeSet(MachineView.BY_ID) } += machine
    }

    fun remove(machine: MachineView) {
        machines -= machine
        for (image in machine.images) {
            val holders = machinesByImage[image] ?: continue
            holders -= machine
            if (holders.isEmpty()) machinesByImage.remove(image)
        }
    }

    /** Returns the machine that follows [previous], or the first one if [previous] is null; null if there is no further machine. */
    fun next(previous: MachineView?): MachineView? = machines.next(previous)

    /**
     * Returns the machine that follows [previous] among the machines that hold [image], or the first of those if [previous] is null;
     * null if there is no further one.
     */
    fun nextHolding(image: ImageId, previous: MachineView?): MachineView? = machinesByImage[image]?.next(previous)

    /** Whether at least one machine of the group holds [image]. */
    fun holds(image: ImageId): Boolean = image in machinesByImage

    /** Whether every machine of the group holds [image]. */
    fun allHold(image: ImageId): Boolean = machinesByImage[image]?.size == machines.size

    private fun TreeSet<MachineView>.next(previous: MachineView?): MachineView? = when {
        previous != null -> higher(previous)
        isEmpty() -> null
        else -> first()
    }
}
