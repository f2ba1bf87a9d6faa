package mountmast.coordination.autoscaling

import mountmast.protocol.MonotonicTime

/** Remembers which offerings the cloud recently had no capacity for. Not thread-safe: used by the autoscaler's thread. */
internal class OfferingBackoff(private val policy: AutoscalingPolicy) {
    private val backedOffUntil = HashMap<MachineOffering, MonotonicTime>()

    /** Backs off from [offering], for which the cloud has no capacity as of [now]. */
    fun recordNoCapacity(offering: MachineOffering, now: MonotonicTime) {
        backedOffUntil[offering] = now + policy.noCapacityBackoffMs
    }

    /** Whether [offering] is not to be requested at [now]. */
    fun isBackedOff(offering: MachineOffering, now: MonotonicTime): Boolean = backedOffUntil[offering].let { it != null && now < it }
}
