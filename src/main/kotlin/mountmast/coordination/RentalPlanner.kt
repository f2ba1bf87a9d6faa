package mountmast.coordination

import mountmast.protocol.MachineType
import mountmast.protocol.MonotonicTime
import mountmast.protocol.Resources
import mountmast.protocol.Zone

/**
 * Decides what to rent: machines for the waiting tasks that those still booting will not have room for.
 * Guarded by the [LeaderTerm]'s lock.
 */
class RentalPlanner(
    private val leaderTerm: LeaderTerm,
    private val timing: Timing,
    private val history: OfferHistory,
    /** Whether the cloud lately had no such machine. */
    private val isPaused: (Offer, MonotonicTime) -> Boolean,
) {
    private val ledger get() = leaderTerm.ledger

    /** How many machines to rent by each offer, in the order of the tasks that need them. */
    fun plan(now: MonotonicTime): Map<Offer, Int> {
        history.decay()
        val round = Round(now, history.lateOffers(now))
        for (waiting in leaderTerm.waiting) {
            val job = ledger.jobs[waiting.job] ?: continue
            if (!job.poisoned) round.cover(job, waiting.tasks)
        }
        return round.rentals
    }

    private inner class Round(private val now: MonotonicTime, private val lateOffers: Set<Offer>) {
        val rentals = LinkedHashMap<Offer, Int>()
        private var rentalCount = 0
        private val expected = expectedMachines().toMutableList()

        private fun expectedMachines(): List<ExpectedMachine> {
            // Where nothing else is to be had, or offer after offer is late, more machines would only be late as well: rentals
            // must not run away.
            val isElsewhere = lateOffers.size < MANY_LATE_OFFERS && allOffers().any { it !in lateOffers && !isPaused(it, now) }
            return ledger.machines.values
                .filter { isExpectedSoon(it, now) || (!isElsewhere && it.offer() in lateOffers) }
                .mapNotNull { it.offer() }
                .mapNotNull { offer -> ledger.types[offer.type]?.let { ExpectedMachine(offer, it.capacity) } }
        }

        /** Finds room for [tasks] of [job], on expected machines first. */
        fun cover(job: Job, tasks: Int) {
            val zones = ZoneShares(job)
            var left = tasks
            for (machine in expected) left -= machine.take(job, left, zones)
            while (left > 0 && rentalCount < MAX_RENTALS_PER_ROUND) {
                val best = bestOffer(job, left, zones) ?: return
                val taken = rent(best).take(job, left, zones)
                if (taken == 0) return
                left -= taken
            }
        }

        private fun rent(chosen: PricedOffer): ExpectedMachine {
            rentals.merge(chosen.offer, 1, Int::plus)
            rentalCount++
            return ExpectedMachine(chosen.offer, chosen.type.capacity).also { expected += it }
        }

        private fun bestOffer(job: Job, wanted: Int, zones: ZoneShares): PricedOffer? {
            val usable = allOffers().mapNotNull { price(it, job, wanted, zones) }.toList()
            val punctual = usable.filter { it.offer !in lateOffers }
            val choices = punctual.ifEmpty { usable }
            val cheapest = choices.minOfOrNull { it.pricePerTask } ?: return null
            // Small machines fall idle sooner and leave the large ones, of which there are few, to tasks that need them.
            return choices.filter { it.pricePerTask <= cheapest * NEARLY_CHEAPEST_FACTOR }
                .minWith(compareBy({ it.type.cpus }, { it.pricePerTask }))
        }

        /** What [offer] costs for each of the [wanted] tasks that fit, or null where none of them can go there. */
        private fun price(offer: Offer, job: Job, wanted: Int, zones: ZoneShares): PricedOffer? {
            val type = ledger.types[offer.type] ?: return null
            val taskCount = job.perTask.timesIn(type.capacity, minOf(wanted, zones.left(offer.zone)))
            if (taskCount <= 0 || !offer.isAllowedFor(job.spec) || isPaused(offer, now)) return null
            val price = (if (offer.spot) type.spotPrice else type.price) * history.priceFactor(offer)
            return PricedOffer(offer, type, price / taskCount)
        }
    }

    private fun allOffers(): Sequence<Offer> = ledger.types.values.asSequence().flatMap { type ->
        type.zones.asSequence().flatMap { zone -> sequenceOf(Offer(type.id, zone, true), Offer(type.id, zone, false)) }
    }

    /** Whether it boots, or its worker has yet to show our token: no pass has given it work so far. */
    private fun isExpectedSoon(machine: Machine, now: MonotonicTime): Boolean = !machine.deleting &&
        !machine.noticed &&
        when (machine.state) {
            MachineState.BOOTING ->
                if (machine.listedRunning) now - machine.knownAt < firstReportMs else !history.isLate(machine, now)
            MachineState.UP -> !machine.hasSeenTerm && machine.live.isEmpty() && now - machine.sessionSince < firstReportMs
            else -> false
        }

    /** A machine that was running when this leader came reports within this time, or never. */
    private val firstReportMs get() = timing.quietMs + SLOW_NODE_MARGIN_MS

    private class PricedOffer(val offer: Offer, val type: MachineType, val pricePerTask: Double)

    /** A machine that will be there soon, with the room that no waiting task has been promised yet. */
    private class ExpectedMachine(val offer: Offer, private var room: Resources) {
        /** Promises room to up to [most] tasks of [job]; returns to how many. */
        fun take(job: Job, most: Int, zones: ZoneShares): Int {
            val allowed = minOf(most, zones.left(offer.zone))
            if (allowed <= 0 || !offer.isAllowedFor(job.spec)) return 0
            val count = job.perTask.timesIn(room, allowed)
            room -= job.perTask * count
            zones.take(offer.zone, count)
            return count
        }
    }

    /**
     * How many more of a job's tasks each zone may take. A job that is bound to the zone of its first tasks once had machines
     * rented in the other, cheaper one, and waited beside them.
     */
    private class ZoneShares(job: Job) {
        private val spec = job.spec
        private val taken = HashMap<Zone, Int>()

        init {
            if (spec.oneZone || spec.spread) for (assignment in job.live.values) take(assignment.zone, 1)
        }

        fun left(zone: Zone): Int = when {
            spec.oneZone && taken.keys.any { it != zone } -> 0
            spec.spread -> spec.perZoneLimit - (taken[zone] ?: 0)
            else -> Int.MAX_VALUE
        }

        fun take(zone: Zone, count: Int) {
            if (count > 0) taken.merge(zone, count, Int::plus)
        }
    }

    private companion object {
        const val MANY_LATE_OFFERS = 2
        const val MAX_RENTALS_PER_ROUND = 200

        /** Up to this many times the lowest price per task, the smallest machine is chosen. */
        const val NEARLY_CHEAPEST_FACTOR = 1.2

        /** Beyond the time in which any worker reports, for a node that is still slow. */
        const val SLOW_NODE_MARGIN_MS = 2000L
    }
}
