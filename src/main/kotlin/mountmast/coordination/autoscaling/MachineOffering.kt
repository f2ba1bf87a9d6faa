package mountmast.coordination.autoscaling

import mountmast.coordination.state.Machine
import mountmast.protocol.JobSpec
import mountmast.protocol.TypeId
import mountmast.protocol.Zone

/** A kind of machine that can be rented. */
data class MachineOffering(val type: TypeId, val zone: Zone, val spot: Boolean) {
    /** Whether the tasks of [job] may run on such a machine. */
    fun isAllowedFor(job: JobSpec): Boolean = (job.types == null || type in job.types) &&
        (job.zone == null || job.zone == zone) &&
        (job.spotAllowed || !spot)
}

/** The offer that this machine was rented by, or null while its type and zone are not known. */
fun Machine.offering(): MachineOffering? {
    val type = type ?: return null
    val zone = zone ?: return null
    return MachineOffering(type, zone, spot)
}
