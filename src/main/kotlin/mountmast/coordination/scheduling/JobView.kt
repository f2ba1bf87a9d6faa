package mountmast.coordination.scheduling

import mountmast.protocol.JobSpec
import mountmast.protocol.MachineId
import mountmast.protocol.WallTime
import mountmast.protocol.Zone

/** The scheduler's view of a job that has tasks to place or tasks on machines. */
class JobView(
    /** The job as submitted, except that its urgency may be inherited from a more urgent dependent. */
    val spec: JobSpec,
    val tasks: JobTasks,
    val timing: JobTiming,
    /** Machines on which tasks of the job failed. */
    val excludedMachines: Set<MachineId>,
    /** Whether the job's tasks fail on every machine. */
    val isPoisoned: Boolean,
    /** Whether tasks of the job may be placed now; false while the job is backed off after failures. */
    val mayStart: Boolean,
)

/** The number of a job's tasks in each state. */
class JobTasks(
    /** Tasks to place: neither done nor assigned. One at a time counts as open if the job's tasks failed on several machines. */
    val openCount: Int,
    /** Tasks that are not done: open and assigned ones. */
    val unfinishedCount: Int,
    /** Tasks that are on machines. */
    val assignedCount: Int,
    /** Tasks that are on machines, by zone; empty unless the job requires a single zone or is spread across zones. */
    val assignedPerZone: Map<Zone, Int>,
    /** Returns the indices of the first `count` open tasks, in ascending order; there must be as many. */
    val firstOpen: (count: Int) -> IntArray,
)

/** The times on which the order of jobs depends. */
class JobTiming(
    /** When the job was submitted, or when the last of its prerequisites was done if that was later. */
    val queuedAt: WallTime,
    /** The estimated run time of one task of the job from its start, in seconds. */
    val estimatedRunS: Double,
    /** For how many more seconds the job's tasks can wait and still meet the deadline; negative if they can no longer meet it. */
    val slackS: Double,
    /** The time since a task of the job was last placed, or else since the job was released or this leader learned of it, in seconds. */
    val waitedS: Double,
)
