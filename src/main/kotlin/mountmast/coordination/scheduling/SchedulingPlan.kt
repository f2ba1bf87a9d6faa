package mountmast.coordination.scheduling

import mountmast.protocol.JobId
import mountmast.protocol.MachineId
import mountmast.protocol.TaskId
import mountmast.protocol.TeamId

/** The task of [job] with the index [index], counted from 0, is to start on [machine]. */
data class Start(val job: JobId, val index: Int, val machine: MachineId)

/** All tasks on [machine], which are [victims], are to be stopped, and [machine] is to be reserved for [forJob]. */
data class Preemption(val machine: MachineId, val forJob: JobId, val victims: List<TaskId>)

/** [machine] is to be reserved for [forJob], whose tasks are larger than the capacity that becomes free on a machine at one time. */
data class MachineReservation(val machine: MachineId, val forJob: JobId)

/**
 * [count] open tasks of [job] found no machine with free capacity although the team's limit and, for borrowed tasks, the bound on
 * borrowing or its exceptions allow them. [isGuaranteed] tells whether the team's guarantee covers them.
 */
data class UnplacedTasks(val job: JobId, val count: Int, val isGuaranteed: Boolean)

/** The decisions of one scheduling cycle. The plan does not change the cluster state; the controller carries it out. */
class SchedulingPlan(
    val starts: List<Start>,
    val preemptions: List<Preemption>,
    val reservations: List<MachineReservation>,
    /** The tasks for which scale out has to find machines: guaranteed tasks first, then borrowed ones, each in the order of their jobs. */
    val unplaced: List<UnplacedTasks>,
    /** The smoothed degree of assurance of each team, for [ClusterSnapshot.previousAssurance] of the next cycle. */
    val assurance: Map<TeamId, Double>,
)
