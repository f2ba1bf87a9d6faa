package mountmast.coordination.autoscaling

import mountmast.coordination.election.LeaseTiming
import mountmast.coordination.state.Job
import mountmast.coordination.state.Machine
import mountmast.coordination.state.MachineState
import mountmast.protocol.MachineType
import mountmast.protocol.MonotonicTime

/**
 * Decides how many machines of each offering to request, for the unplaced tasks that the machines expected soon will not have capacity
 * for. Guarded by the lock of [AutoscalingContext].
 */
internal class ScaleOutPlanner(
    private val context: AutoscalingContext,
    private val timing: LeaseTiming,
    private val history: OfferingHistory,
    private val backoff: OfferingBackoff,
    /** The number of machines that a round can request at most. */
    private val maxMachinesPerRound: Int,
) {
    private val cluster get() = context.cluster

    /** Returns how many machines of each offering to request, in the order of the unplaced tasks that need them. */
    fun plan(now: MonotonicTime): Map<MachineOffering, Int> {
        history.decayCounts()
        val round = Round(now, history.overdueOfferings(now))
        for (unplaced in context.unplacedTasks) {
            val job = cluster.jobs[unplaced.job] ?: continue
            if (job.mayRequestMachine(now)) round.coverTasks(job, unplaced.count)
        }
        return round.machinesToRequest
    }

    private inner class Round(private val now: MonotonicTime, private val overdueOfferings: Set<MachineOffering>) {
        val machinesToRequest = LinkedHashMap<MachineOffering, Int>()
        private var machineCount = 0
        private val expectedMachines = ExpectedMachines().apply { expectedOfferings().forEach { add(it.offering, it.type.capacity) } }

        private fun expectedOfferings(): List<TypedOffering> {
            // If no other offering is available, or several offerings are overdue, further machines would likely be overdue as well.
            // All machines of overdue offerings therefore count as expected, so that scale out does not request ever more machines.
            val hasAlternative = overdueOfferings.size < MANY_OVERDUE_OFFERINGS &&
                allOfferings().any { it !in overdueOfferings && !backoff.isBackedOff(it, now) }
            return cluster.machines.values
                .filter { isExpectedSoon(it, now) || (!hasAlternative && it.offering() in overdueOfferings) }
                .mapNotNull { it.offering() }
                .mapNotNull { offering -> cluster.machineTypes[offering.type]?.let { TypedOffering(offering, it) } }
        }

        /** Reserves capacity for [count] tasks of [job] on expected machines, then on machines that it adds to [machinesToRequest]. */
        fun coverTasks(job: Job, count: Int) {
            val zones = ZoneBudget.of(job)
            var remainingTasks = count - expectedMachines.reserve(job, count, zones)
            while (remainingTasks > 0 && machineCount < maxMachinesPerRound) {
                val best = bestOffering(job, remainingTasks, zones) ?: return
                machinesToRequest.merge(best.offering, 1, Int::plus)
                machineCount++
                expectedMachines.add(best.offering, best.type.capacity)
                val reserved = expectedMachines.reserveOn(best.offering, best.type.capacity, job, remainingTasks, zones)
                if (reserved == 0) return
                remainingTasks -= reserved
            }
        }

        private fun bestOffering(job: Job, wanted: Int, zones: ZoneBudget): PricedOffering? {
            val usable = allOfferings().mapNotNull { price(it, job, wanted, zones) }.toList()
            val notOverdue = usable.filter { it.offering !in overdueOfferings }
            val choices = notOverdue.ifEmpty { usable }
            val cheapest = choices.minOfOrNull { it.pricePerTask } ?: return null
            // Small machines become idle sooner, and leave the large machines, of which the cloud has few, to tasks that need them.
            return choices.filter { it.pricePerTask <= cheapest * NEARLY_CHEAPEST_FACTOR }
                .minWith(compareBy({ it.type.cpus }, { it.pricePerTask }))
        }

        /**
         * Returns [offering] with its price for each of the tasks that fit on one of its machines, at most [wanted]; null if no task can
         * run there or the offering is backed off.
         */
        private fun price(offering: MachineOffering, job: Job, wanted: Int, zones: ZoneBudget): PricedOffering? {
            val type = cluster.machineTypes[offering.type] ?: return null
            val taskCount = job.perTask.instancesWithin(type.capacity, minOf(wanted, zones.remaining(offering.zone)))
            if (taskCount <= 0 || !offering.isAllowedFor(job.spec) || backoff.isBackedOff(offering, now)) return null
            val price = (if (offering.isSpot) type.spotPrice else type.price) * history.priceFactor(offering)
            return PricedOffering(offering, type, price / taskCount)
        }
    }

    private fun allOfferings(): Sequence<MachineOffering> = cluster.machineTypes.values.asSequence().flatMap { type ->
        type.zones.asSequence().flatMap { zone -> sequenceOf(MachineOffering(type.id, zone, true), MachineOffering(type.id, zone, false)) }
    }

    /**
     * Whether tasks can likely be placed on [machine] soon, but not yet: it boots and is not overdue, or its worker runs but has not
     * yet sent a heartbeat that shows this leader's fencing token.
     */
    private fun isExpectedSoon(machine: Machine, now: MonotonicTime): Boolean = !machine.isDeleting &&
        !machine.isReclaimNoticed &&
        when (machine.state) {
            MachineState.BOOTING ->
                if (machine.isListedRunning) now - machine.knownAt < firstHeartbeatMs else !history.isBootOverdue(machine, now)
            MachineState.UP ->
                !machine.hasShownCurrentTerm &&
                    machine.unreleasedAssignments.isEmpty() &&
                    now - machine.incarnationSince < firstHeartbeatMs
            else -> false
        }

    /**
     * The worker of a machine that was already running when this leader learned of it is expected to send a heartbeat within this time,
     * in milliseconds, or not at all.
     */
    private val firstHeartbeatMs get() = timing.silenceTimeoutMs + SLOW_NODE_MARGIN_MS

    private class TypedOffering(val offering: MachineOffering, val type: MachineType)

    private class PricedOffering(val offering: MachineOffering, val type: MachineType, val pricePerTask: Double)

    private companion object {
        /** With this many overdue offerings, the remaining offerings are expected to become overdue as well. */
        const val MANY_OVERDUE_OFFERINGS = 2

        /** Of the offerings that cost at most this many times the lowest price per task, the one with the smallest machines is chosen. */
        const val NEARLY_CHEAPEST_FACTOR = 1.2

        /**
         * Added to the silence timeout when the first heartbeat of a running worker is awaited, in milliseconds: a node that has just
         * become leader may still be slow to process heartbeats.
         */
        const val SLOW_NODE_MARGIN_MS = 2000L
    }
}
