package mountmast.coordination.scheduling

import mountmast.protocol.ImageId
import mountmast.protocol.Resources
import java.util.TreeSet

/** Machines of one kind with the same free capacity, in the order of their ids. Changed by [MachineIndex] alone, and guarded as that is. */
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

    /** Returns the machine that follows [previous], or the first if that is null; null if there is none. */
    fun next(previous: MachineView?): MachineView? = machines.next(previous)

    /** Does the same among the machines that hold [image]. */
    fun nextHolding(image: ImageId, previous: MachineView?): MachineView? = machinesByImage[image]?.next(previous)

    /** Whether some machine holds [image]. */
    fun holds(image: ImageId): Boolean = image in machinesByImage

    /** Whether every machine holds [image]. */
    fun allHold(image: ImageId): Boolean = machinesByImage[image]?.size == machines.size

    private fun TreeSet<MachineView>.next(previous: MachineView?): MachineView? = when {
        previous != null -> higher(previous)
        isEmpty() -> null
        else -> first()
    }
}
