package mountmast.coordination.scheduling

import mountmast.protocol.MachineId
import mountmast.protocol.Resources
import mountmast.protocol.TeamId
import mountmast.protocol.TeamQuota

/**
 * Everything that the decisions of one scheduling cycle depend on, as of one moment. Planning updates the free capacity and the
 * reservations in [index]. Not thread-safe: guarded by the lock of the leader's term, as [index] is.
 */
class ClusterSnapshot(
    /** The machines on which tasks may be placed, full ones included. */
    val machines: List<MachineView>,
    /** The jobs whose prerequisites are met and that have tasks to place or tasks on machines. */
    val jobs: List<JobView>,
    /** The resources that each team's assigned tasks occupy. */
    val usage: Map<TeamId, Resources>,
    /** The quota of each team: its guarantee and its limit. */
    val quotas: Map<TeamId, TeamQuota>,
    /** The smoothed degree of assurance of each team in the previous cycle; empty in the first cycle of a leader's term. */
    val previousAssurance: Map<TeamId, Double>,
    /** The [machines], grouped. */
    val index: MachineIndex = MachineIndex.of(machines),
) {
    private val machinesById by lazy(LazyThreadSafetyMode.NONE) { machines.associateBy { it.id } }

    /** Returns the machine with the id [id], or null if no tasks may be placed on it. */
    fun machine(id: MachineId): MachineView? = machinesById[id]

    /**
     * Returns how many tasks of [job] the machines that are reserved for [job] can hold once those machines are empty. Each machine
     * counts for at most [wanted] tasks.
     */
    internal fun reservedCapacity(job: JobView, wanted: Int): Int =
        index.reservedFor(job.spec.id).sumOf { job.spec.perTask.instancesWithin(it.type.capacity, wanted) }
}
