package mountmast.coordination.autoscaling

import mountmast.coordination.election.LeaseTiming
import mountmast.protocol.Clock
import mountmast.transport.Cloud
import mountmast.transport.CloudException
import org.slf4j.LoggerFactory

private val log = LoggerFactory.getLogger("mountmast.fleet")

/**
 * Adapts the number of machines to the load during one leader's term: reads the cloud's list of machines, scales in machines that are
 * no longer needed and scales out for tasks that found no machine. Not thread-safe: called by one thread.
 */
class Autoscaler(
    context: AutoscalingContext,
    cloud: Cloud,
    private val clock: Clock,
    /** The prefix of the ids of scale-out requests; no other process and no other leader's term ever uses the same prefix. */
    requestPrefix: String,
    policy: AutoscalingPolicy,
    timing: LeaseTiming,
    /** The number of calls per second that the cloud accepts. */
    cloudRatePerS: Double,
) {
    /**
     * The number of calls to the cloud that scale in may make in a round at most, and that scale out may make as well. A round takes place
     * about once a second, so the number follows from the calls per second that the cloud accepts.
     */
    private val callsPerRound = maxOf(1, (cloudRatePerS * Cloud.RATE_SHARE).toInt())
    private val history = OfferingHistory(context.cluster)
    private val inventory = MachineInventory(context, cloud, policy)
    private val scaleIn = ScaleIn(context, cloud, clock, ScaleInRules(context, policy, timing), history, callsPerRound)
    private val scaleOut = ScaleOut(context, cloud, policy, timing, history, requestPrefix, callsPerRound)
    private var isCloudFailing = false

    /**
     * Runs one round; called about once a second. A round ends at the first call to the cloud that fails. The failure is logged only
     * if the previous round succeeded.
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
