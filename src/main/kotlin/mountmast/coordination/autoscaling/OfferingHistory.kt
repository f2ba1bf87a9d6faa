package mountmast.coordination.autoscaling

import mountmast.coordination.state.ClusterState
import mountmast.coordination.state.Machine
import mountmast.coordination.state.MachineState
import mountmast.protocol.MonotonicTime

/**
 * What became of the machines of each [MachineOffering] recently: spot machines that were lost, and machines that did not boot in
 * time. The counts decay with each round. Guarded by the lock of [AutoscalingContext].
 */
internal class OfferingHistory(private val cluster: ClusterState) {
    private val spotLosses = HashMap<MachineOffering, Double>()
    private val failedBoots = HashMap<MachineOffering, Double>()

    /** Counts a machine that is about to be scaled in, if it was lost or did not boot. */
    fun recordScaleIn(machine: Machine) {
        val offering = machine.offering() ?: return
        if (machine.state == MachineState.BOOTING && !machine.isListedFailed) failedBoots.merge(offering, 1.0, Double::plus)
        if (machine.spot &&
            (machine.state == MachineState.EXPIRED || machine.isReclaimNoticed)
        ) {
            spotLosses.merge(offering, 1.0, Double::plus)
        }
    }

    /** Lowers the weight of earlier events; called once in each round. */
    fun ageCounts() {
        spotLosses.replaceAll { _, count -> count * DECAY_PER_ROUND }
        failedBoots.replaceAll { _, count -> count * DECAY_PER_ROUND }
    }

    /** Returns the factor, at least 1, by which recent losses make [offering] count as dearer than its price. */
    fun priceFactor(offering: MachineOffering): Double = 1 + (spotLosses[offering] ?: 0.0) * LOSS_WEIGHT

    /**
     * Whether a machine has been booting for longer than machines mostly take. It may still come up, and is used then; but the
     * tasks that wait for it get another machine meanwhile.
     */
    fun isBootOverdue(machine: Machine, now: MonotonicTime): Boolean {
        val type = cluster.types[machine.type] ?: return false
        return now - machine.rentedAt > (type.bootS * OVERDUE_BOOT_FACTOR * MS_PER_S).toLong() + OVERDUE_BOOT_MARGIN_MS
    }

    /**
     * Returns the offerings of which most recent machines are overdue or never booted: whatever is scaled out there next would
     * be overdue as well. They are avoided while others are available. Among many machines a few that never boot mean nothing.
     */
    fun overdueOfferings(now: MonotonicTime): Set<MachineOffering> {
        val overdue = HashMap<MachineOffering, Double>(failedBoots)
        val booted = HashMap<MachineOffering, Int>()
        for (machine in cluster.machines.values) {
            val offering = machine.offering() ?: continue
            if (machine.state != MachineState.BOOTING) {
                if (now - machine.rentedAt < RECENT_MS) booted.merge(offering, 1, Int::plus)
            } else if (!machine.isDeleting && !machine.isListedRunning && isBootOverdue(machine, now)) {
                overdue.merge(offering, 1.0, Double::plus)
            }
        }
        return overdue.filter { (offering, count) -> count >= MIN_OVERDUE_MACHINES && count > (booted[offering] ?: 0) }.keys
    }

    private companion object {
        const val MS_PER_S = 1000
        const val DECAY_PER_ROUND = 0.99
        const val LOSS_WEIGHT = 0.1

        /** Machines mostly boot within 1.5 times the stated time. */
        const val OVERDUE_BOOT_FACTOR = 2.0
        const val OVERDUE_BOOT_MARGIN_MS = 5000L
        const val MIN_OVERDUE_MACHINES = 3
        const val RECENT_MS = 300_000L
    }
}
