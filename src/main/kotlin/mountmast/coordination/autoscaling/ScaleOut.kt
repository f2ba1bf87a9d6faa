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
 * Requests the machines that [ScaleOutPlanner] plans. Requests are idempotent by an id that no other process uses: a request whose
 * outcome is unknown is repeated with the same id before any other request is sent, so that no request is carried out twice.
 * Called by one thread; acquires the lock of [AutoscalingContext], but never during a call to the cloud.
 */
internal class ScaleOut(
    private val context: AutoscalingContext,
    private val cloud: Cloud,
    policy: AutoscalingPolicy,
    timing: LeaseTiming,
    history: OfferingHistory,
    /** The prefix of the ids of scale-out requests. */
    private val requestPrefix: String,
    /** The number of calls to the cloud that a round may make at most. */
    callsPerRound: Int,
) {
    private val cluster get() = context.cluster
    private val backoff = OfferingBackoff(policy)
    private val planner = ScaleOutPlanner(context, timing, history, backoff, callsPerRound * Cloud.MAX_PER_RENTAL)
    private var requestCount = 0

    /** The request whose outcome is unknown, or null if there is none. */
    private var inDoubtRequest: RentalRequest? = null

    /**
     * Plans as of [now] and requests the planned machines, or only repeats the request whose outcome is unknown. Throws [CloudException]
     * if a call fails.
     */
    fun runRound(now: MonotonicTime) {
        inDoubtRequest?.let { return send(it, now) }
        val plan = context.lock.withLock { planner.plan(now) }
        for ((offering, wanted) in plan) requestMachines(offering, wanted, now)
    }

    private fun requestMachines(offering: MachineOffering, wanted: Int, now: MonotonicTime) {
        var remaining = wanted
        while (remaining > 0 && !backoff.isBackedOff(offering, now)) {
            val count = minOf(remaining, Cloud.MAX_PER_RENTAL)
            val id = RentalRequestId("$requestPrefix-${++requestCount}")
            send(RentalRequest(id, offering.type, offering.zone, offering.isSpot, count), now)
            remaining -= count
        }
    }

    private fun send(request: RentalRequest, now: MonotonicTime) {
        val offering = MachineOffering(request.type, request.zone, request.spot)
        inDoubtRequest = request
        val outcome = try {
            cloud.rent(request)
        } catch (e: CloudException) {
            if (!e.mayHaveTakenEffect) inDoubtRequest = null
            throw e
        }
        inDoubtRequest = null
        when (outcome) {
            RentalOutcome.NoCapacity -> backoff.recordNoCapacity(offering, now)
            is RentalOutcome.Rented -> {
                if (outcome.machines.size < request.count) backoff.recordNoCapacity(offering, now)
                logScaleOut(offering, outcome.machines.size, request.count)
                addMachines(outcome, offering, now)
            }
        }
    }

    private fun logScaleOut(offering: MachineOffering, received: Int, requested: Int) = log.info(
        "scale out: machines={} requested={} type={} zone={} spot={}",
        received,
        requested,
        offering.type,
        offering.zone,
        offering.isSpot,
    )

    private fun addMachines(outcome: RentalOutcome.Rented, offering: MachineOffering, now: MonotonicTime) = context.lock.withLock {
        for (id in outcome.machines) {
            if (id in cluster.machines || id in cluster.tombstones) continue
            val machine = Machine(id, offering.type, offering.zone, offering.isSpot, MachineState.BOOTING)
            machine.rental.recordRental(rented = now, known = now)
            machine.rental.markIdle(now)
            cluster.putMachine(machine)
        }
    }
}
