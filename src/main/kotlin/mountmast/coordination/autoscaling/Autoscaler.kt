package mountmast.coordination.autoscaling

import mountmast.coordination.election.LeaseTiming
import mountmast.protocol.Clock
import mountmast.transport.Cloud
import mountmast.transport.CloudException
import org.slf4j.LoggerFactory

private val log = LoggerFactory.getLogger("mountmast.fleet")

/**
 * Keeps the number of machines in line with the work during one leader's term: reads what the cloud lists, scales in machines that
 * nobody needs and scales out for tasks that found no machine. Not thread-safe: called by one thread.
 */
class Autoscaler(
    context: AutoscalingContext,
    cloud: Cloud,
    private val clock: Clock,
    /** Begins the ids of scale-out requests; no other process ever uses the same. */
    requestPrefix: String,
    policy: AutoscalingPolicy,
    timing: LeaseTiming,
    /** Calls per second that the cloud accepts. */
    cloudRatePerS: Double,
) {
    /** A round comes once a second; how many calls it may make is limited by the cloud alone. */
    private val callsPerRound = maxOf(1, (cloudRatePerS * Cloud.RATE_SHARE).toInt())
    private val history = OfferingHistory(context.cluster)
    private val inventory = MachineInventory(context, cloud, policy)
    private val scaleIn = ScaleIn(context, cloud, clock, ScaleInRules(context, policy, timing), history, callsPerRound)
    private val scaleOut = ScaleOut(context, cloud, policy, timing, history, requestPrefix, callsPerRound)
    private var isCloudFailing = false

    /**
     * Runs one round; called about once a second. A round ends at the first call that the cloud fails, which is logged once
     * until a round succeeds.
     */
    fun runRound() {
        try {
            val now = clock.now()
            inventory.refresh(now)
            scaleIn.runRound(now)
            scaleOut.runRound(now)
            if (isCloudFailing) log.info("cloud available again")
            isCloudFailing = false
        } catch (e: CloudException) {
            if (!isCloudFailing) log.info("cloud unavailable: {}", e.message)
            isCloudFailing = true
        }
    }
}
