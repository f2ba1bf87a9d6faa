package mountmast.coordination.autoscaling

import mountmast.coordination.state.Machine
import mountmast.protocol.JobSpec
import mountmast.protocol.TypeId
import mountmast.protocol.Zone

/** A kind of machine that the cloud offers. */
data class MachineOffering(val type: TypeId, val zone: Zone, val isSpot: Boolean) {
    /** Whether the tasks of [job] may run on such a machine. */
    fun isAllowedFor(job: JobSpec): Boolean = (job.types == null || type in job.types) &&
        (job.zone == null || job.zone == zone) &&
        (job.spotAllowed || !isSpot)
}

/** Returns the offering that this machine belongs to, or null as long as its type and zone are not known. */
internal fun Machine.offering(): MachineOffering? {
    val type = type ?: return null
    val zone = zone ?: return null
    return MachineOffering(type, zone, spot)
}
