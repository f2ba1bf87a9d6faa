package mountmast.coordination.autoscaling

import mountmast.coordination.election.LeaseTiming
import mountmast.coordination.state.Machine
import mountmast.coordination.state.MachineState
import mountmast.protocol.MonotonicTime
import mountmast.protocol.RentalId
import mountmast.protocol.RentalRequest
import mountmast.transport.Cloud
import mountmast.transport.CloudException
import mountmast.transport.RentalOutcome
import org.slf4j.LoggerFactory
import kotlin.concurrent.withLock

private val log = LoggerFactory.getLogger("mountmast.fleet")

/**
 * Rents machines, each request by a name that no other process uses. A request without an answer is repeated by the same name
 * before any other is made, so that none is carried out twice. Called by one thread; takes the lock of [AutoscalingContext].
 */
class MachineRentals(
    private val context: AutoscalingContext,
    private val cloud: Cloud,
    private val policy: FleetPolicy,
    timing: LeaseTiming,
    history: OfferHistory,
    /** Begins the names of rental requests. */
    private val requestPrefix: String,
    /** Calls to the cloud that a round may make. */
    callsPerRound: Int,
) {
    private val cluster get() = context.cluster
    private val pausedUntil = HashMap<Offer, MonotonicTime>()
    private val planner = RentalPlanner(context, timing, history, callsPerRound * Cloud.MAX_PER_RENTAL, ::isPaused)
    private var requestCount = 0
    private var unanswered: RentalRequest? = null

    /** One round of renting, decided as of [now]. Throws [CloudException] where the cloud does not answer. */
    fun step(now: MonotonicTime) {
        unanswered?.let { return send(it, now) }
        val plan = context.lock.withLock { planner.plan(now) }
        for ((offer, wanted) in plan) rent(offer, wanted, now)
    }

    private fun rent(offer: Offer, wanted: Int, now: MonotonicTime) {
        var left = wanted
        while (left > 0 && !isPaused(offer, now)) {
            val count = minOf(left, Cloud.MAX_PER_RENTAL)
            val id = RentalId("$requestPrefix-${++requestCount}")
            send(RentalRequest(id, offer.type, offer.zone, offer.spot, count), now)
            left -= count
        }
    }

    private fun isPaused(offer: Offer, now: MonotonicTime) = pausedUntil[offer].let { it != null && now < it }

    private fun send(request: RentalRequest, now: MonotonicTime) {
        val offer = Offer(request.type, request.zone, request.spot)
        unanswered = request
        val outcome = try {
            cloud.rent(request)
        } catch (e: CloudException) {
            if (!e.mayBeCarriedOut) unanswered = null
            throw e
        }
        unanswered = null
        when (outcome) {
            RentalOutcome.NoCapacity -> pausedUntil[offer] = now + policy.noCapacityPauseMs
            is RentalOutcome.Rented -> {
                if (outcome.machines.size < request.count) pausedUntil[offer] = now + policy.noCapacityPauseMs
                logRental(offer, outcome.machines.size, request.count)
                takeIn(outcome, offer, now)
            }
        }
    }

    private fun logRental(offer: Offer, rented: Int, wanted: Int) =
        log.info("rented {} of {} {} in {}{}", rented, wanted, offer.type, offer.zone, if (offer.spot) ", spot" else "")

    private fun takeIn(outcome: RentalOutcome.Rented, offer: Offer, now: MonotonicTime) = context.lock.withLock {
        for (id in outcome.machines) {
            if (id in cluster.machines || id in cluster.tombstones) continue
            cluster.machines[id] = Machine(id, offer.type, offer.zone, offer.spot, MachineState.BOOTING).apply {
                rentedAt = now
                knownAt = now
                idleSince = now
            }
        }
    }
}
