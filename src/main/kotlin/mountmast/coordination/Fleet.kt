package mountmast.coordination

import mountmast.protocol.Clock
import mountmast.protocol.ListedMachine
import mountmast.protocol.ListedState
import mountmast.protocol.MachineType
import mountmast.protocol.MachineTypes
import mountmast.protocol.Moment
import mountmast.protocol.RentalId
import mountmast.protocol.RentalRequest
import mountmast.protocol.Resources
import mountmast.protocol.TypeId
import mountmast.protocol.Zone
import mountmast.transport.Cloud
import mountmast.transport.CloudTrouble
import mountmast.transport.RentalOutcome
import org.slf4j.LoggerFactory
import kotlin.concurrent.withLock

private val log = LoggerFactory.getLogger("mountmast.fleet")

/** A kind of machine that can be asked for. */
data class Offer(val type: TypeId, val zone: Zone, val spot: Boolean)

/** How machines are rented and returned. */
data class FleetPolicy(
    val idleReturnMs: Long = 60_000,
    val noCapacityPauseMs: Long = 10_000,
    val listEveryMs: Long = 5_000,
    val typesEveryMs: Long = 60_000,
)

/** Rents machines for work that waits and returns those that nobody needs. One per reign. */
class Fleet(
    private val reign: Reign,
    private val cloud: Cloud,
    private val clock: Clock,
    /** Begins the names of rental requests; no other process ever uses the same. */
    private val rentalPrefix: String,
    private val policy: FleetPolicy,
    private val timing: Timing,
) {
    private val ledger get() = reign.ledger
    private val unavailable = HashMap<Offer, Moment>()

    /** Spot machines lost lately, which makes an offer look dearer. */
    private val losses = HashMap<Offer, Double>()

    /** Machines that lately never came up, which makes an offer one to avoid. */
    private val neverCame = HashMap<Offer, Double>()
    private var rentals = 0
    private var troubled = false
    private var typesAt: Moment? = null
    private var listAt: Moment? = null

    /** A rental whose outcome is unknown: asked for again by the same name, so that it cannot be made twice. */
    private var unsettled: RentalRequest? = null

    /** One round; called about once a second. */
    fun step() {
        try {
            val now = clock.now()
            if (due(typesAt, policy.typesEveryMs, now)) readTypes(now)
            if (due(listAt, policy.listEveryMs, now)) readList(now)
            giveBack(now)
            rent(now)
            if (troubled) log.info("the cloud serves again")
            troubled = false
        } catch (e: CloudTrouble) {
            if (!troubled) log.info("the cloud does not serve: {}", e.message)
            troubled = true
        }
    }

    private fun due(last: Moment?, everyMs: Long, now: Moment) = last == null || now - last >= everyMs

    private fun readTypes(now: Moment) {
        val types = try {
            cloud.machineTypes()
        } catch (e: CloudTrouble) {
            // The store keeps the types, so that an outage of the cloud stops nobody from submitting.
            if (reign.lock.withLock { ledger.types.isEmpty() }) throw e
            return
        }
        typesAt = now
        reign.lock.withLock {
            val known = ledger.types.values.map { it.copy(price = 0.0, spotPrice = 0.0) }
            val changed = known != types.map { it.copy(price = 0.0, spotPrice = 0.0) }
            reign.setTypes(MachineTypes(types))
            if (changed) {
                reign.pendingTypes = MachineTypes(types)
                reign.wakeWriter()
            }
        }
    }

    private fun readList(now: Moment) {
        val listed = ArrayList<ListedMachine>()
        do {
            val page = cloud.list(listed.lastOrNull()?.id)
            listed += page.machines
        } while (page.more && page.machines.isNotEmpty())
        listAt = now
        reign.lock.withLock { for (machine in listed) takeIn(machine, now) }
    }

    private fun takeIn(listed: ListedMachine, now: Moment) {
        if (listed.id in ledger.tombstones) return
        val known = ledger.machines[listed.id]
        if (known == null || known.type == null) {
            val machine = Machine(listed.id, listed.type, listed.zone, listed.spot, known?.state ?: MachineState.BOOTING)
            machine.rentedAt = now + -(listed.ageS * 1000).toLong()
            machine.knownAt = now
            machine.address = listed.address
            machine.answeredAt = known?.answeredAt ?: now
            known?.let(machine::takeOver)
            ledger.recalledImages.remove(listed.id)?.let(machine::recallImages)
            machine.listedRunning = listed.state == ListedState.RUNNING
            ledger.machines[listed.id] = machine
        }
        if (listed.state == ListedState.FAILED) ledger.machines[listed.id]?.listedFailed = true
    }

    private fun giveBack(now: Moment) {
        val names = reign.lock.withLock {
            val wanted = ledger.machines.values.filter { it.id !in ledger.tombstones && (it.deleting || shouldGo(it, now)) }
            for (machine in wanted) {
                if (!machine.deleting) noteDeparture(machine)
                machine.deleting = true
            }
            wanted.map { it.id }.take(Cloud.MOST_PER_DELETION)
        }
        if (names.isEmpty()) return
        cloud.delete(names)
        reign.lock.withLock {
            for (name in names) ledger.buryMachine(name, clock.now())
            val old = ledger.tombstones.entries.takeWhile { now - it.value > TOMBSTONE_MS }.map { it.key }
            ledger.tombstones.keys.removeAll(old.toSet())
            reign.wakeWriter()
        }
    }

    private fun noteDeparture(machine: Machine) {
        val why = when {
            machine.listedFailed -> "failed"
            machine.state == MachineState.EXPIRED -> "silent"
            machine.quarantined -> "sick"
            machine.unreachedSince != null -> "hears nothing"
            machine.state == MachineState.BOOTING -> "never came up"
            machine.noticed -> "to be taken"
            else -> "idle"
        }
        log.info("machine {} ({}, {}) returned: {}", machine.id, machine.type, machine.zone, why)
        val offer = offerOf(machine) ?: return
        if (machine.state == MachineState.BOOTING && !machine.listedFailed) neverCame.merge(offer, 1.0, Double::plus)
        if (machine.spot && (machine.state == MachineState.EXPIRED || machine.noticed)) losses.merge(offer, 1.0, Double::plus)
    }

    private fun offerOf(machine: Machine): Offer? {
        return Offer(machine.type ?: return null, machine.zone ?: return null, machine.spot)
    }

    private fun shouldGo(machine: Machine, now: Moment): Boolean {
        val type = ledger.types[machine.type] ?: return false
        val bootMs = (type.bootS * 1000).toLong()
        return when (machine.state) {
            // A machine that hung or was cut off comes back with its images, sooner than another one boots; one that is
            // dead is listed as failed soon, and costs nothing.
            MachineState.EXPIRED -> machine.listedFailed || now - machine.expiredAt > timing.leaseOverMs
            MachineState.SILENT -> machine.listedFailed
            MachineState.BOOTING ->
                machine.listedFailed ||
                    now - maxOf(machine.rentedAt, machine.knownAt + -bootMs) > BOOT_PATIENCE * bootMs + BOOT_EXTRA_MS
            MachineState.UP -> {
                val empty = machine.live.isEmpty()
                machine.listedFailed ||
                    unreachedForGood(machine, now) ||
                    (empty && (machine.quarantined || machine.noticed)) ||
                    (
                        empty &&
                            machine.reservedFor == null &&
                            now - machine.idleSince > idleReturnMs(machine, type) &&
                            now - machine.rentedAt > LEAST_PAID_MS
                        )
            }
        }
    }

    /** Its tasks are free once it is deleted; but where hardly any worker hears us, it is not the machines. */
    private fun unreachedForGood(machine: Machine, now: Moment): Boolean {
        val since = machine.unreachedSince ?: return false
        return now - since > reign.unreachedPatienceMs && !reign.hearing.manyUnreached()
    }

    /** What takes long to boot is kept longer, and what costs more than need be is not. */
    private fun idleReturnMs(machine: Machine, type: MachineType): Long {
        val kept = maxOf(policy.idleReturnMs, (2 * type.bootS * 1000).toLong())
        return if (machine.spot) kept else (kept * minOf(1.0, type.spotPrice / type.price)).toLong()
    }

    private fun rent(now: Moment) {
        unsettled?.let { return settle(it, now) }
        val wishes = reign.lock.withLock { wishes(now) }
        for ((offer, wanted) in wishes) {
            var left = wanted
            while (left > 0 && !pauses(offer, now)) {
                val count = minOf(left, Cloud.MOST_PER_RENTAL)
                val id = RentalId("$rentalPrefix-${++rentals}")
                settle(RentalRequest(id, offer.type, offer.zone, offer.spot, count), now)
                left -= count
            }
        }
    }

    private fun pauses(offer: Offer, now: Moment) = unavailable[offer].let { it != null && now < it }

    private fun settle(request: RentalRequest, now: Moment) {
        val offer = Offer(request.type, request.zone, request.spot)
        unsettled = request
        val outcome = try {
            cloud.rent(request)
        } catch (e: CloudTrouble) {
            if (!e.mayBeCarriedOut) unsettled = null
            throw e
        }
        unsettled = null
        when (outcome) {
            RentalOutcome.NoCapacity -> unavailable[offer] = now + policy.noCapacityPauseMs
            is RentalOutcome.Rented -> {
                if (outcome.machines.size < request.count) unavailable[offer] = now + policy.noCapacityPauseMs
                log.info(
                    "rented {} of {} {} in {}{}",
                    outcome.machines.size,
                    request.count,
                    offer.type,
                    offer.zone,
                    if (offer.spot) ", spot" else "",
                )
                reign.lock.withLock {
                    for (id in outcome.machines) {
                        if (id in ledger.machines || id in ledger.tombstones) continue
                        ledger.machines[id] = Machine(id, offer.type, offer.zone, offer.spot, MachineState.BOOTING).apply {
                            rentedAt = now
                            knownAt = now
                            idleSince = now
                        }
                    }
                }
            }
        }
    }

    /** What to rent: machines for the waiting tasks that those still booting will not have room for. */
    private fun wishes(now: Moment): Map<Offer, Int> {
        losses.replaceAll { _, lost -> lost * LOSS_DECAY }
        neverCame.replaceAll { _, count -> count * LOSS_DECAY }
        val late = lateOffers(now)
        // Where nothing else is to be had, or offer after offer is late, more machines would only be late as well: rentals must
        // not run away.
        val isElsewhere = late.size < MANY_LATE_OFFERS && offers().any { it !in late && !pauses(it, now) }
        val rooms = ledger.machines.values.filter { comesSoon(it, now) || (!isElsewhere && offerOf(it) in late) }
            .mapNotNull { machine -> offerOf(machine)?.let { offer -> ledger.types[offer.type]?.let { Planned(offer, it.capacity) } } }
            .toMutableList()
        val wishes = LinkedHashMap<Offer, Int>()
        var wished = 0
        for (waits in reign.waiting) {
            val job = ledger.jobs[waits.job] ?: continue
            if (job.poisoned) continue
            var left = waits.tasks
            val zones = ZoneShares(job)
            for (room in rooms) left -= room.take(job, left, zones)
            while (left > 0 && wished < MOST_WISHES) {
                val (offer, type) = bestOffer(job, left, zones, now, late) ?: break
                wishes.merge(offer, 1, Int::plus)
                wished++
                val room = Planned(offer, type.capacity)
                rooms += room
                val taken = room.take(job, left, zones)
                if (taken == 0) break
                left -= taken
            }
        }
        return wishes
    }

    /** A machine that was running when this leader came reports within this time, or never. */
    private val soonHeardMs get() = timing.quietMs + SLOW_MS

    /** Whether it boots, or its worker has yet to show our token: no pass has given it work so far. */
    private fun comesSoon(machine: Machine, now: Moment): Boolean = !machine.deleting &&
        !machine.noticed &&
        when (machine.state) {
            MachineState.BOOTING -> if (machine.listedRunning) now - machine.knownAt < soonHeardMs else !isLate(machine, now)
            MachineState.UP -> !machine.sawTerm && machine.live.isEmpty() && now - machine.sessionSince < soonHeardMs
            else -> false
        }

    /**
     * Whether it has booted for longer than machines mostly take. It may still come up, and is used then; but what waits for
     * it gets another machine meanwhile.
     */
    private fun isLate(machine: Machine, now: Moment): Boolean {
        val type = ledger.types[machine.type] ?: return false
        return now - machine.rentedAt > (type.bootS * LATE_TIMES * 1000).toLong() + LATE_EXTRA_MS
    }

    /**
     * Offers of which most machines rented lately are late or never came up: whatever is rented there next would be late as
     * well. They are left alone while others can be had. Among many machines a few that never boot mean nothing.
     */
    private fun lateOffers(now: Moment): Set<Offer> {
        val missing = HashMap<Offer, Double>(neverCame)
        val came = HashMap<Offer, Int>()
        for (machine in ledger.machines.values) {
            val offer = offerOf(machine) ?: continue
            if (machine.state != MachineState.BOOTING) {
                if (now - machine.rentedAt < LATELY_MS) came.merge(offer, 1, Int::plus)
            } else if (!machine.deleting && !machine.listedRunning && isLate(machine, now)) {
                missing.merge(offer, 1.0, Double::plus)
            }
        }
        return missing.filter { (offer, count) -> count >= MANY_LATE && count > (came[offer] ?: 0) }.keys
    }

    private fun offers() = ledger.types.values.asSequence()
        .flatMap { type -> type.zones.asSequence().flatMap { zone -> sequenceOf(Offer(type.id, zone, true), Offer(type.id, zone, false)) } }

    private class Planned(val offer: Offer, var room: Resources) {
        fun take(job: Job, most: Int, zones: ZoneShares): Int {
            val allowed = minOf(most, zones.left(offer.zone))
            if (allowed <= 0 || !allows(job, offer)) return 0
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

    private fun bestOffer(job: Job, wanted: Int, zones: ZoneShares, now: Moment, late: Set<Offer>): Pair<Offer, MachineType>? {
        class Priced(val offer: Offer, val type: MachineType, val perSlot: Double)
        val priced = ArrayList<Priced>()
        for (type in ledger.types.values) {
            for (zone in type.zones) {
                for (spot in listOf(true, false)) {
                    val slots = job.perTask.timesIn(type.capacity, minOf(wanted, zones.left(zone)))
                    if (slots <= 0) continue
                    val offer = Offer(type.id, zone, spot)
                    if (!allows(job, offer) || pauses(offer, now)) continue
                    val price = (if (spot) type.spotPrice else type.price) * (1 + (losses[offer] ?: 0.0) * LOSS_WEIGHT)
                    priced += Priced(offer, type, price / slots)
                }
            }
        }
        if (priced.any { it.offer !in late }) priced.removeIf { it.offer in late }
        val cheapest = priced.minOfOrNull { it.perSlot } ?: return null
        // Small machines fall idle sooner and leave the large ones, of which there are few, to tasks that need them.
        val chosen = priced.filter { it.perSlot <= cheapest * NEARLY_CHEAPEST }
            .minWith(compareBy({ it.type.cpus }, { it.perSlot }))
        return chosen.offer to chosen.type
    }

    private companion object {
        fun allows(job: Job, offer: Offer): Boolean {
            val spec = job.spec
            return (spec.types == null || offer.type in spec.types) &&
                (spec.zone == null || spec.zone == offer.zone) &&
                (spec.spotAllowed || !offer.spot)
        }

        /** Machines mostly boot within 1.5 times what is said. */
        const val LATE_TIMES = 2.0
        const val LATE_EXTRA_MS = 5000L
        const val MANY_LATE = 3
        const val LATELY_MS = 300_000L
        const val MANY_LATE_OFFERS = 2

        /** Some machines take several times as long to boot; what exceeds this is given up. */
        const val BOOT_PATIENCE = 4
        const val BOOT_EXTRA_MS = 15_000L

        /** A machine costs at least a minute, so returning it sooner saves nothing. */
        const val LEAST_PAID_MS = 55_000L
        const val TOMBSTONE_MS = 600_000L
        const val LOSS_DECAY = 0.99
        const val LOSS_WEIGHT = 0.1

        /** Up to this many times the lowest price per task, the smallest machine is chosen. */
        const val NEARLY_CHEAPEST = 1.2
        const val MOST_WISHES = 200

        /** Beyond the time in which any worker reports, for a node that is still slow. */
        const val SLOW_MS = 2000L
    }
}
