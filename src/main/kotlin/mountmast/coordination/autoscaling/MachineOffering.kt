package mountmast.coordination.autoscaling

import mountmast.coordination.state.Machine
import mountmast.protocol.JobSpec
import mountmast.protocol.TypeId
import mountmast.protocol.Zone

/** A combination of machine type, zone and spot or on-demand pricing in which the cloud offers machines. */
data class MachineOffering(val type: TypeId, val zone: Zone, val isSpot: Boolean) {
    /** Whether tasks of [job] may run on machines of this offering, whatever capacity they need. */
    fun isAllowedFor(job: JobSpec): Boolean = (job.types == null || type in job.types) &&
        (job.zone == null || job.zone == zone) &&
        (job.spotAllowed || !isSpot)
}

/** Returns the offering that this machine belongs to, or null as long as the machine's type or zone is not known. */
internal fun Machine.offering(): MachineOffering? {
    val type = type ?: return null
    val zone = zone ?: return null
    return MachineOffering(type, zone, spot)
}
