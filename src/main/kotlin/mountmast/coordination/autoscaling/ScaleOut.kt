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
 * Requests the machines that [ScaleOutPlanner] plans. Requests are idempotent by an id that no other process uses: one whose outcome
 * is unknown is repeated with the same id before any other is made, so that none is carried out twice. Called by one thread;
 * acquires the lock of [AutoscalingContext], never during a call to the cloud.
 */
internal class ScaleOut(
    private val context: AutoscalingContext,
    private val cloud: Cloud,
    policy: AutoscalingPolicy,
    timing: LeaseTiming,
    history: OfferingHistory,
    /** Begins the ids of requests. */
    private val requestPrefix: String,
    /** Calls to the cloud that a round may make. */
    callsPerRound: Int,
) {
    private val cluster get() = context.cluster
    private val backoff = OfferingBackoff(policy)
    private val planner = ScaleOutPlanner(context, timing, history, backoff, callsPerRound * Cloud.MAX_PER_RENTAL)
    private var requestCount = 0

    /** The request whose outcome is unknown, if any. */
    private var inDoubtRequest: RentalRequest? = null

    /** Scales out as planned as of [now], or repeats the request in doubt. Throws [CloudException] if a call fails. */
    fun runRound(now: MonotonicTime) {
        inDoubtRequest?.let { return send(it, now) }
        val plan = context.lock.withLock { planner.plan(now) }
        for ((offering, wanted) in plan) requestMachines(offering, wanted, now)
    }

    private fun requestMachines(offering: MachineOffering, wanted: Int, now: MonotonicTime) {
        var left = wanted
        while (left > 0 && !backoff.isBackedOff(offering, now)) {
            val count = minOf(left, Cloud.MAX_PER_RENTAL)
            val id = RentalRequestId("$requestPrefix-${++requestCount}")
            send(RentalRequest(id, offering.type, offering.zone, offering.isSpot, count), now)
            left -= count
        }
    }

    private fun send(request: RentalRequest, now: MonotonicTime) {
        val offering = MachineOffering(request.type, request.zone, request.spot)
        inDoubtRequest = request
        val outcome = try {
            cloud.rent(request)
        } catch (e: CloudException) {
            if (!e.mayBeCarriedOut) inDoubtRequest = null
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
            cluster.machines[id] = Machine(id, offering.type, offering.zone, offering.isSpot, MachineState.BOOTING).apply {
                rentedAt = now
                knownAt = now
                idleSince = now
            }
        }
    }
}
