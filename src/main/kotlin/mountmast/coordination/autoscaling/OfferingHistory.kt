package mountmast.coordination.autoscaling

import mountmast.coordination.state.ClusterState
import mountmast.coordination.state.Machine
import mountmast.coordination.state.MachineState
import mountmast.protocol.MonotonicTime

/**
 * Counts the recent failures of each [MachineOffering]: lost spot machines, which are to be reclaimed or whose lease expired, and machines
 * that did not boot in time. The counts decay with each round. Guarded by the lock of [AutoscalingContext].
 */
internal class OfferingHistory(private val cluster: ClusterState) {
    private val spotLossCounts = HashMap<MachineOffering, Double>()
    private val failedBootCounts = HashMap<MachineOffering, Double>()

    /**
     * Counts [machine], which is about to be scaled in, as a failure of its offering if it did not boot in time, or if it is a spot
     * machine that is to be reclaimed or whose lease expired.
     */
    fun recordScaleIn(machine: Machine) {
        val offering = machine.offering() ?: return
        if (machine.state == MachineState.BOOTING && !machine.isListedFailed) failedBootCounts.merge(offering, 1.0, Double::plus)
        if (machine.spot &&
            (machine.state == MachineState.EXPIRED || machine.isReclaimNoticed)
        ) {
            spotLossCounts.merge(offering, 1.0, Double::plus)
        }
    }

    /** Lowers the counts by the decay of one round; called once in each round. */
    fun decayCounts() {
        spotLossCounts.replaceAll { _, count -> count * DECAY_PER_ROUND }
        failedBootCounts.replaceAll { _, count -> count * DECAY_PER_ROUND }
    }

    /** Returns the factor, at least 1, by which recent losses of spot machines make [offering] count as more expensive than its price. */
    fun priceFactor(offering: MachineOffering): Double = 1 + (spotLossCounts[offering] ?: 0.0) * PRICE_INCREASE_PER_LOSS

    /**
     * Whether [machine], which is booting, was rented longer ago than machines of its type mostly take to boot. Another machine may be
     * requested for the tasks that wait for [machine]; if [machine] still comes up, it is used. False if its type is not known.
     */
    fun isBootOverdue(machine: Machine, now: MonotonicTime): Boolean {
        val type = cluster.machineTypes[machine.type] ?: return false
        return now - machine.rentedAt > (type.bootS * OVERDUE_BOOT_FACTOR * MS_PER_S).toLong() + OVERDUE_BOOT_MARGIN_MS
    }

    /**
     * Returns the offerings with at least [MIN_OVERDUE_MACHINES] machines that are overdue or did not boot, if the recently rented
     * machines that did boot are fewer. More machines of such an offering would be overdue as well, so it is avoided while other
     * offerings are available. A few machines that do not boot, among many that do, say nothing about their offering.
     */
    fun overdueOfferings(now: MonotonicTime): Set<MachineOffering> {
        val overdueCounts = HashMap<MachineOffering, Double>(failedBootCounts)
        val bootedCounts = HashMap<MachineOffering, Int>()
        for (machine in cluster.machines.values) {
            val offering = machine.offering() ?: continue
            if (machine.state != MachineState.BOOTING) {
                if (now - machine.rentedAt < RECENT_RENTAL_MS) bootedCounts.merge(offering, 1, Int::plus)
            } else if (!machine.isDeleting && !machine.isListedRunning && isBootOverdue(machine, now)) {
                overdueCounts.merge(offering, 1.0, Double::plus)
            }
        }
        return overdueCounts.filter { (offering, count) -> count >= MIN_OVERDUE_MACHINES && count > (bootedCounts[offering] ?: 0) }.keys
    }

    private companion object {
        const val MS_PER_S = 1000
        const val DECAY_PER_ROUND = 0.99
        const val PRICE_INCREASE_PER_LOSS = 0.1

        /** A boot is overdue after this multiple of the boot time that the cloud states; machines mostly boot within 1.5 times it. */
        const val OVERDUE_BOOT_FACTOR = 2.0
        const val OVERDUE_BOOT_MARGIN_MS = 5000L

        /** An offering with fewer machines than this that are overdue or did not boot is not avoided. */
        const val MIN_OVERDUE_MACHINES = 3
        const val RECENT_RENTAL_MS = 300_000L
    }
}
