package mountmast.coordination.autoscaling

import mountmast.coordination.election.LeaseTiming
import mountmast.protocol.Clock
import mountmast.transport.Cloud
import mountmast.transport.CloudException
import org.slf4j.LoggerFactory

private val log = LoggerFactory.getLogger("mountmast.fleet")

/**
 * The rented machines of one leader's term: reads what the cloud lists, returns machines that nobody needs and rents others for
 * work that waits. Called by one thread.
 */
class Autoscaler(
    context: AutoscalingContext,
    cloud: Cloud,
    private val clock: Clock,
    /** Begins the names of rental requests; no other process ever uses the same. */
    rentalPrefix: String,
    policy: AutoscalingPolicy,
    timing: LeaseTiming,
    /** Calls a second that the cloud takes. */
    cloudRatePerS: Double,
) {
    /** A round comes once a second; what it may ask is the cloud's to say, not ours. */
    private val callsPerRound = maxOf(1, (cloudRatePerS * Cloud.RATE_SHARE).toInt())
    private val history = OfferingHistory(context.cluster)
    private val inventory = MachineInventory(context, cloud, policy)
    private val scaleIn = ScaleIn(context, cloud, clock, policy, timing, history, callsPerRound)
    private val scaleOut = ScaleOut(context, cloud, policy, timing, history, rentalPrefix, callsPerRound)
    private var isCloudFailing = false

    /** One round; called about once a second. */
    fun step() {
        try {
            val now = clock.now()
            inventory.refresh(now)
            scaleIn.step(now)
            scaleOut.step(now)
            if (isCloudFailing) log.info("the cloud serves again")
            isCloudFailing = false
        } catch (e: CloudException) {
            if (!isCloudFailing) log.info("the cloud does not serve: {}", e.message)
            isCloudFailing = true
        }
    }
}
