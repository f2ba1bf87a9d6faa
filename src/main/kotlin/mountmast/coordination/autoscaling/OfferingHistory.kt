package mountmast.coordination.autoscaling

import mountmast.coordination.state.ClusterState
import mountmast.coordination.state.Machine
import mountmast.coordination.state.MachineState
import mountmast.protocol.MonotonicTime

/**
 * What became lately of the machines rented by each [MachineOffering]: spot machines that were lost, and machines that did not boot in
 * time. Counts decay by [decay]. Guarded as its [ClusterState] is.
 */
class OfferingHistory(private val cluster: ClusterState) {
    private val spotLosses = HashMap<MachineOffering, Double>()
    private val neverBooted = HashMap<MachineOffering, Double>()

    /** Takes note of a machine that is about to be returned. */
    fun noteReturn(machine: Machine) {
        val offering = machine.offering() ?: return
        if (machine.state == MachineState.BOOTING && !machine.listedFailed) neverBooted.merge(offering, 1.0, Double::plus)
        if (machine.spot && (machine.state == MachineState.EXPIRED || machine.reclaimNoticed)) spotLosses.merge(offering, 1.0, Double::plus)
    }

    /** Lets old events count less; called once in each round of renting. */
    fun decay() {
        spotLosses.replaceAll { _, count -> count * DECAY_PER_ROUND }
        neverBooted.replaceAll { _, count -> count * DECAY_PER_ROUND }
    }

    /** By how much losses make [offering] look dearer than its price. */
    fun priceFactor(offering: MachineOffering): Double = 1 + (spotLosses[offering] ?: 0.0) * LOSS_WEIGHT

    /**
     * Whether a machine has booted for longer than machines mostly take. It may still come up, and is used then; but what waits
     * for it gets another machine meanwhile.
     */
    fun isLate(machine: Machine, now: MonotonicTime): Boolean {
        val type = cluster.types[machine.type] ?: return false
        return now - machine.rentedAt > (type.bootS * LATE_BOOT_FACTOR * MS_PER_S).toLong() + LATE_BOOT_MARGIN_MS
    }

    /**
     * Offers of which most machines rented lately are late or never came up: whatever is rented there next would be late as
     * well. They are left alone while others can be had. Among many machines a few that never boot mean nothing.
     */
    fun lateOffers(now: MonotonicTime): Set<MachineOffering> {
        val late = HashMap<MachineOffering, Double>(neverBooted)
        val booted = HashMap<MachineOffering, Int>()
        for (machine in cluster.machines.values) {
            val offering = machine.offering() ?: continue
            if (machine.state != MachineState.BOOTING) {
                if (now - machine.rentedAt < RECENT_MS) booted.merge(offering, 1, Int::plus)
            } else if (!machine.deleting && !machine.listedRunning && isLate(machine, now)) {
                late.merge(offering, 1.0, Double::plus)
            }
        }
        return late.filter { (offering, count) -> count >= MIN_LATE_MACHINES && count > (booted[offering] ?: 0) }.keys
    }

    private companion object {
        const val MS_PER_S = 1000
        const val DECAY_PER_ROUND = 0.99
        const val LOSS_WEIGHT = 0.1

        /** Machines mostly boot within 1.5 times what is said. */
        const val LATE_BOOT_FACTOR = 2.0
        const val LATE_BOOT_MARGIN_MS = 5000L
        const val MIN_LATE_MACHINES = 3
        const val RECENT_MS = 300_000L
    }
}
