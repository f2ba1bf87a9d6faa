package mountmast.coordination.autoscaling

import mountmast.coordination.election.LeaseTiming
import mountmast.coordination.state.Job
import mountmast.coordination.state.Machine
import mountmast.coordination.state.MachineState
import mountmast.protocol.MachineType
import mountmast.protocol.MonotonicTime

/**
 * Decides what to rent: machines for the waiting tasks that those still booting will not have room for.
 * Guarded by the lock of [AutoscalingContext].
 */
class ScaleOutPlanner(
    private val context: AutoscalingContext,
    private val timing: LeaseTiming,
    private val history: OfferingHistory,
    /** How many machines can be rented in a round at most. */
    private val mostPerRound: Int,
    /** Whether the cloud lately had no such machine. */
    private val isPaused: (MachineOffering, MonotonicTime) -> Boolean,
) {
    private val cluster get() = context.cluster

    /** How many machines to rent by each offer, in the order of the tasks that need them. */
    fun plan(now: MonotonicTime): Map<MachineOffering, Int> {
        history.decay()
        val round = Round(now, history.lateOffers(now))
        for (unplaced in context.unplacedTasks) {
            val job = cluster.jobs[unplaced.job] ?: continue
            if (!job.poisoned) round.cover(job, unplaced.count)
        }
        return round.rentals
    }

    private inner class Round(private val now: MonotonicTime, private val lateOffers: Set<MachineOffering>) {
        val rentals = LinkedHashMap<MachineOffering, Int>()
        private var rentalCount = 0
        private val expected = ExpectedMachines().apply { offeringsOfExpected().forEach { add(it.offering, it.type.capacity) } }

        private fun offeringsOfExpected(): List<TypedOffering> {
            // Where nothing else is to be had, or offer after offer is late, more machines would only be late as well: rentals
            // must not run away.
            val isElsewhere = lateOffers.size < MANY_LATE_OFFERS && allOffers().any { it !in lateOffers && !isPaused(it, now) }
            return cluster.machines.values
                .filter { isExpectedSoon(it, now) || (!isElsewhere && it.offering() in lateOffers) }
                .mapNotNull { it.offering() }
                .mapNotNull { offering -> cluster.types[offering.type]?.let { TypedOffering(offering, it) } }
        }

        /** Finds room for [tasks] of [job], on expected machines first. */
        fun cover(job: Job, tasks: Int) {
            val zones = ZoneShares.of(job)
            var left = tasks - expected.take(job, tasks, zones)
            while (left > 0 && rentalCount < mostPerRound) {
                val best = bestOffer(job, left, zones) ?: return
                rentals.merge(best.offering, 1, Int::plus)
                rentalCount++
                expected.add(best.offering, best.type.capacity)
                val taken = expected.takeFrom(best.offering, best.type.capacity, job, left, zones)
                if (taken == 0) return
                left -= taken
            }
        }

        private fun bestOffer(job: Job, wanted: Int, zones: ZoneShares): PricedOffer? {
            val usable = allOffers().mapNotNull { price(it, job, wanted, zones) }.toList()
            val punctual = usable.filter { it.offering !in lateOffers }
            val choices = punctual.ifEmpty { usable }
            val cheapest = choices.minOfOrNull { it.pricePerTask } ?: return null
            // Small machines fall idle sooner and leave the large ones, of which there are few, to tasks that need them.
            return choices.filter { it.pricePerTask <= cheapest * NEARLY_CHEAPEST_FACTOR }
                .minWith(compareBy({ it.type.cpus }, { it.pricePerTask }))
        }

        /** What [offering] costs for each of the [wanted] tasks that fit, or null where none of them can go there. */
        private fun price(offering: MachineOffering, job: Job, wanted: Int, zones: ZoneShares): PricedOffer? {
            val type = cluster.types[offering.type] ?: return null
            val taskCount = job.perTask.instancesWithin(type.capacity, minOf(wanted, zones.left(offering.zone)))
            if (taskCount <= 0 || !offering.isAllowedFor(job.spec) || isPaused(offering, now)) return null
            val price = (if (offering.spot) type.spotPrice else type.price) * history.priceFactor(offering)
            return PricedOffer(offering, type, price / taskCount)
        }
    }

    private fun allOffers(): Sequence<MachineOffering> = cluster.types.values.asSequence().flatMap { type ->
        type.zones.asSequence().flatMap { zone -> sequenceOf(MachineOffering(type.id, zone, true), MachineOffering(type.id, zone, false)) }
    }

    /** Whether it boots, or its worker has yet to show our token: no pass has given it work so far. */
    private fun isExpectedSoon(machine: Machine, now: MonotonicTime): Boolean = !machine.deleting &&
        !machine.reclaimNoticed &&
        when (machine.state) {
            MachineState.BOOTING ->
                if (machine.listedRunning) now - machine.knownAt < firstHeartbeatMs else !history.isLate(machine, now)
            MachineState.UP -> !machine.hasShownCurrentTerm && machine.live.isEmpty() && now - machine.incarnationSince < firstHeartbeatMs
            else -> false
        }

    /** A machine that was running when this leader came reports within this time, or never. */
    private val firstHeartbeatMs get() = timing.quietMs + SLOW_NODE_MARGIN_MS

    private class TypedOffering(val offering: MachineOffering, val type: MachineType)

    private class PricedOffer(val offering: MachineOffering, val type: MachineType, val pricePerTask: Double)

    private companion object {
        const val MANY_LATE_OFFERS = 2

        /** Up to this many times the lowest price per task, the smallest machine is chosen. */
        const val NEARLY_CHEAPEST_FACTOR = 1.2

        /** Beyond the time in which any worker reports, for a node that is still slow. */
        const val SLOW_NODE_MARGIN_MS = 2000L
    }
}
