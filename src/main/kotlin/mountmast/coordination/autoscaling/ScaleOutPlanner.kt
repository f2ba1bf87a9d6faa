package mountmast.coordination.autoscaling

import mountmast.coordination.election.LeaseTiming
import mountmast.coordination.state.Job
import mountmast.coordination.state.Machine
import mountmast.coordination.state.MachineState
import mountmast.protocol.MachineType
import mountmast.protocol.MonotonicTime

/**
 * Decides how many machines to request: for the unplaced tasks that those still booting will not have capacity for.
 * Guarded by the lock of [AutoscalingContext].
 */
internal class ScaleOutPlanner(
    private val context: AutoscalingContext,
    private val timing: LeaseTiming,
    private val history: OfferingHistory,
    private val backoff: OfferingBackoff,
    /** How many machines can be requested in a round at most. */
    private val maxMachinesPerRound: Int,
) {
    private val cluster get() = context.cluster

    /** Returns how many machines to request of each offering, in the order of the tasks that need them. */
    fun plan(now: MonotonicTime): Map<MachineOffering, Int> {
        history.ageCounts()
        val round = Round(now, history.overdueOfferings(now))
        for (unplaced in context.unplacedTasks) {
            val job = cluster.jobs[unplaced.job] ?: continue
            if (!job.isPoisoned) round.coverTasks(job, unplaced.count)
        }
        return round.machinesToRequest
    }

    private inner class Round(private val now: MonotonicTime, private val overdueOfferings: Set<MachineOffering>) {
        val machinesToRequest = LinkedHashMap<MachineOffering, Int>()
        private var machineCount = 0
        private val expected = ExpectedMachines().apply { offeringsOfExpected().forEach { add(it.offering, it.type.capacity) } }

        private fun offeringsOfExpected(): List<TypedOffering> {
            // If nothing else is available, or one offering after the other is overdue, more machines would only be overdue as
            // well: scale out must not run away.
            val hasAlternative = overdueOfferings.size < MANY_OVERDUE_OFFERINGS &&
                allOfferings().any { it !in overdueOfferings && !backoff.isBackedOff(it, now) }
            return cluster.machines.values
                .filter { isExpectedSoon(it, now) || (!hasAlternative && it.offering() in overdueOfferings) }
                .mapNotNull { it.offering() }
                .mapNotNull { offering -> cluster.types[offering.type]?.let { TypedOffering(offering, it) } }
        }

        /** Reserves capacity for [count] tasks of [job], on expected machines first, then on machines to request. */
        fun coverTasks(job: Job, count: Int) {
            val zones = ZoneBudget.of(job)
            var left = count - expected.reserve(job, count, zones)
            while (left > 0 && machineCount < maxMachinesPerRound) {
                val best = bestOffering(job, left, zones) ?: return
                machinesToRequest.merge(best.offering, 1, Int::plus)
                machineCount++
                expected.add(best.offering, best.type.capacity)
                val reserved = expected.reserveOn(best.offering, best.type.capacity, job, left, zones)
                if (reserved == 0) return
                left -= reserved
            }
        }

        private fun bestOffering(job: Job, wanted: Int, zones: ZoneBudget): PricedOffering? {
            val isUsable = allOfferings().mapNotNull { price(it, job, wanted, zones) }.toList()
            val punctual = isUsable.filter { it.offering !in overdueOfferings }
            val choices = punctual.ifEmpty { isUsable }
            val cheapest = choices.minOfOrNull { it.pricePerTask } ?: return null
            // Small machines become idle sooner and leave the large ones, of which there are few, to tasks that need them.
            return choices.filter { it.pricePerTask <= cheapest * NEARLY_CHEAPEST_FACTOR }
                .minWith(compareBy({ it.type.cpus }, { it.pricePerTask }))
        }

        /** Returns [offering] with its price for each of the [wanted] tasks that fit, or null if none of them can run there. */
        private fun price(offering: MachineOffering, job: Job, wanted: Int, zones: ZoneBudget): PricedOffering? {
            val type = cluster.types[offering.type] ?: return null
            val taskCount = job.perTask.instancesWithin(type.capacity, minOf(wanted, zones.remaining(offering.zone)))
            if (taskCount <= 0 || !offering.isAllowedFor(job.spec) || backoff.isBackedOff(offering, now)) return null
            val price = (if (offering.isSpot) type.spotPrice else type.price) * history.priceFactor(offering)
            return PricedOffering(offering, type, price / taskCount)
        }
    }

    private fun allOfferings(): Sequence<MachineOffering> = cluster.types.values.asSequence().flatMap { type ->
        type.zones.asSequence().flatMap { zone -> sequenceOf(MachineOffering(type.id, zone, true), MachineOffering(type.id, zone, false)) }
    }

    /** Whether the machine boots, or its worker has yet to show this leader's token: no cycle has given it tasks so far. */
    private fun isExpectedSoon(machine: Machine, now: MonotonicTime): Boolean = !machine.isDeleting &&
        !machine.isReclaimNoticed &&
        when (machine.state) {
            MachineState.BOOTING ->
                if (machine.isListedRunning) now - machine.knownAt < firstHeartbeatMs else !history.isBootOverdue(machine, now)
            MachineState.UP -> !machine.hasShownCurrentTerm && machine.live.isEmpty() && now - machine.incarnationSince < firstHeartbeatMs
            else -> false
        }

    /** The worker of a machine that was running when this leader's term began sends a heartbeat within this time, or never. */
    private val firstHeartbeatMs get() = timing.silenceTimeoutMs + SLOW_NODE_MARGIN_MS

    private class TypedOffering(val offering: MachineOffering, val type: MachineType)

    private class PricedOffering(val offering: MachineOffering, val type: MachineType, val pricePerTask: Double)

    private companion object {
        const val MANY_OVERDUE_OFFERINGS = 2

        /** Up to this many times the lowest price per task, the smallest machine is chosen. */
        const val NEARLY_CHEAPEST_FACTOR = 1.2

        /** Beyond the time in which any worker sends a heartbeat, for a node that is still slow. */
        const val SLOW_NODE_MARGIN_MS = 2000L
    }
}
