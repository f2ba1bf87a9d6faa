package mountmast.coordination.scheduling

import mountmast.protocol.JobSpec
import mountmast.protocol.MachineId
import mountmast.protocol.WallTime
import mountmast.protocol.Zone

/** A job that has tasks to place or on machines, as the scheduler sees it. */
class JobView(
    val spec: JobSpec,
    val tasks: JobTasks,
    val timing: JobTiming,
    /** Machines on which tasks of the job failed. */
    val excludedMachines: Set<MachineId>,
    /** Whether the job's tasks fail wherever they run. */
    val isPoisoned: Boolean,
    /** False while the job is backed off after failures. */
    val mayStart: Boolean,
)

/** How many tasks a job has, by what became of them so far. */
class JobTasks(
    /** Tasks to place. */
    val openCount: Int,
    /** Tasks that are not done: open and assigned ones. */
    val unfinishedCount: Int,
    /** Tasks that are on machines. */
    val assignedCount: Int,
    /** The tasks on machines by zone; empty unless the job restricts the zones of its tasks. */
    val assignedPerZone: Map<Zone, Int>,
    /** Returns the indices of the first `count` open tasks, in ascending order. */
    val firstOpen: (count: Int) -> IntArray,
)

/** What the order of jobs depends on. */
class JobTiming(
    val submitted: WallTime,
    /** How long one of its tasks runs, by estimate, in seconds. */
    val remainingS: Double,
    /** How much later than now its tasks could start and still meet the deadline, in seconds; negative if they no longer can. */
    val slackS: Double,
    /** The time since a task of the job was last placed, or since its submission, in seconds. */
    val waitedS: Double,
)
