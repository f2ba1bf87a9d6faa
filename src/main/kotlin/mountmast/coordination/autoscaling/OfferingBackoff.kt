package mountmast.coordination.autoscaling

import mountmast.protocol.MonotonicTime

/** Records for which offerings the cloud recently had no capacity. Not thread-safe: used by the autoscaler's thread. */
internal class OfferingBackoff(private val policy: AutoscalingPolicy) {
    private val backedOffUntil = HashMap<MachineOffering, MonotonicTime>()

    /** Records that the cloud had no capacity for [offering] at [now], and backs off from requesting [offering]. */
    fun recordNoCapacity(offering: MachineOffering, now: MonotonicTime) {
        backedOffUntil[offering] = now + policy.noCapacityBackoffMs
    }

    /** Whether the cloud had no capacity for [offering] so recently that [offering] is not to be requested at [now]. */
    fun isBackedOff(offering: MachineOffering, now: MonotonicTime): Boolean = backedOffUntil[offering].let { it != null && now < it }
}
