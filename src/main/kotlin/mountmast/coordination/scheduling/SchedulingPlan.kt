package mountmast.coordination.scheduling

import mountmast.protocol.JobId
import mountmast.protocol.MachineId
import mountmast.protocol.TaskId
import mountmast.protocol.TeamId

/** The task of [job] with number [index] is to start on [machine]. */
data class Start(val job: JobId, val index: Int, val machine: MachineId)

/** All tasks of [machine], which are [victims], are to be stopped, and the machine reserved for [forJob]. */
data class Preemption(val machine: MachineId, val forJob: JobId, val victims: List<TaskId>)

/** [machine] is to be reserved for [forJob], whose tasks are too large for the capacity that becomes free at any one time. */
data class MachineReservation(val machine: MachineId, val forJob: JobId)

/** [count] open tasks of [job] found no machine although the team's limit and the bound on borrowing allow them. */
data class UnplacedTasks(val job: JobId, val count: Int, val isGuaranteed: Boolean)

/** The decisions of one scheduling cycle. The plan changes nothing by itself; the controller carries it out. */
class SchedulingPlan(
    val starts: List<Start>,
    val preemptions: List<Preemption>,
    val reservations: List<MachineReservation>,
    /** What scale out has to find machines for, in the order in which the jobs were considered. */
    val unplaced: List<UnplacedTasks>,
    /** The smoothed degree of assurance of each team; the next cycle's snapshot takes it. */
    val assurance: Map<TeamId, Double>,
)
