package mountmast.coordination.scheduling

import mountmast.protocol.MachineId
import mountmast.protocol.Resources
import mountmast.protocol.TeamId
import mountmast.protocol.TeamQuota

/**
 * Everything that a scheduling decision depends on, as of one moment. Planning updates the free capacity and the reservations
 * in [index]. Guarded as [index] is.
 */
class ClusterSnapshot(
    /** The machines that can take tasks. */
    val machines: List<MachineView>,
    /** The jobs with tasks to place or on machines. */
    val jobs: List<JobView>,
    /** The resources that each team's assigned tasks occupy. */
    val usage: Map<TeamId, Resources>,
    val quotas: Map<TeamId, TeamQuota>,
    /** Smoothed degrees of assurance of the cycle before; empty in a leader's first cycle. */
    val assurance: Map<TeamId, Double>,
    /** The same machines, grouped. */
    val index: MachineIndex = MachineIndex.of(machines),
) {
    private val machinesById by lazy(LazyThreadSafetyMode.NONE) { machines.associateBy { it.id } }

    /** Returns the machine named [id], or null if it cannot take tasks. */
    fun machine(id: MachineId): MachineView? = machinesById[id]

    /** Returns how many of [wanted] tasks of [job] the machines reserved for it can hold once they are empty. */
    internal fun reservedCapacity(job: JobView, wanted: Int): Int =
        index.reservedFor(job.spec.id).sumOf { job.spec.perTask.instancesWithin(it.type.capacity, wanted) }
}
