package mountmast.coordination.autoscaling

import mountmast.coordination.election.LeaseTiming
import mountmast.coordination.state.Machine
import mountmast.coordination.state.MachineState
import mountmast.protocol.MonotonicTime
import mountmast.protocol.RentalRequest
import mountmast.protocol.RentalRequestId
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
class ScaleOut(
    private val context: AutoscalingContext,
    private val cloud: Cloud,
    private val policy: AutoscalingPolicy,
    timing: LeaseTiming,
    history: OfferingHistory,
    /** Begins the names of rental requests. */
    private val requestPrefix: String,
    /** Calls to the cloud that a round may make. */
    callsPerRound: Int,
) {
    private val cluster get() = context.cluster
    private val pausedUntil = HashMap<MachineOffering, MonotonicTime>()
    private val planner = ScaleOutPlanner(context, timing, history, callsPerRound * Cloud.MAX_PER_RENTAL, ::isPaused)
    private var requestCount = 0
    private var unanswered: RentalRequest? = null

    /** One round of renting, decided as of [now]. Throws [CloudException] where the cloud does not answer. */
    fun step(now: MonotonicTime) {
        unanswered?.let { return send(it, now) }
        val plan = context.lock.withLock { planner.plan(now) }
        for ((offering, wanted) in plan) rent(offering, wanted, now)
    }

    private fun rent(offering: MachineOffering, wanted: Int, now: MonotonicTime) {
        var left = wanted
        while (left > 0 && !isPaused(offering, now)) {
            val count = minOf(left, Cloud.MAX_PER_RENTAL)
            val id = RentalRequestId("$requestPrefix-${++requestCount}")
            send(RentalRequest(id, offering.type, offering.zone, offering.spot, count), now)
            left -= count
        }
    }

    private fun isPaused(offering: MachineOffering, now: MonotonicTime) = pausedUntil[offering].let { it != null && now < it }

    private fun send(request: RentalRequest, now: MonotonicTime) {
        val offering = MachineOffering(request.type, request.zone, request.spot)
        unanswered = request
        val outcome = try {
            cloud.rent(request)
        } catch (e: CloudException) {
            if (!e.mayBeCarriedOut) unanswered = null
            throw e
        }
        unanswered = null
        when (outcome) {
            RentalOutcome.NoCapacity -> pausedUntil[offering] = now + policy.noCapacityPauseMs
            is RentalOutcome.Rented -> {
                if (outcome.machines.size < request.count) pausedUntil[offering] = now + policy.noCapacityPauseMs
                logRental(offering, outcome.machines.size, request.count)
                takeIn(outcome, offering, now)
            }
        }
    }

    private fun logRental(offering: MachineOffering, rented: Int, wanted: Int) =
        log.info("rented {} of {} {} in {}{}", rented, wanted, offering.type, offering.zone, if (offering.spot) ", spot" else "")

    private fun takeIn(outcome: RentalOutcome.Rented, offering: MachineOffering, now: MonotonicTime) = context.lock.withLock {
        for (id in outcome.machines) {
            if (id in cluster.machines || id in cluster.tombstones) continue
            cluster.machines[id] = Machine(id, offering.type, offering.zone, offering.spot, MachineState.BOOTING).apply {
                rentedAt = now
                knownAt = now
                idleSince = now
            }
        }
    }
}
