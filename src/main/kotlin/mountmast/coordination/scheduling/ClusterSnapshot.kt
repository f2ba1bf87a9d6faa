package mountmast.coordination.scheduling

import mountmast.protocol.ImageId
import mountmast.protocol.JobId
import mountmast.protocol.JobSpec
import mountmast.protocol.MachineId
import mountmast.protocol.MachineType
import mountmast.protocol.Resources
import mountmast.protocol.TaskId
import mountmast.protocol.TeamId
import mountmast.protocol.TeamQuota
import mountmast.protocol.Urgency
import mountmast.protocol.WallTime
import mountmast.protocol.Zone

/** The open values of the design. */
data class SchedulingPolicy(
    /** λ: weight of the newest degree of assurance. */
    val smoothing: Double = 0.3,
    /** η: borrowed work of a team goes up to this many times its guarantee. */
    val borrowing: Double = 3.0,
    /** α: weight of past stops in the cost of another. */
    val overheadWeight: Double = 0.5,
    /** β: weight of the number of victims. */
    val fragmentWeight: Double = 0.3,
    /** Jobs at least this urgent are guaranteed. */
    val guaranteedFrom: Urgency = Urgency.NORMAL,
    val guaranteedFromOf: Map<TeamId, Urgency> = emptyMap(),
    val cycleMs: Long = 1000,
    val preemptionsPerCycle: Int = 4,
    val startsPerCycle: Int = 2000,
    /** Weight of the past in a team's mean run time. */
    val runDecay: Double = 0.7,
) {
    fun threshold(team: TeamId) = guaranteedFromOf[team] ?: guaranteedFrom
}

/** A task that is on a machine, as the scheduler sees it. */
class Resident(
    val task: TaskId,
    val spec: JobSpec,
    val remainingS: Double,
    val preemptions: Int,
    /** Whether it is being stopped already. */
    val stopping: Boolean,
) {
    val team: TeamId get() = spec.team
    val urgency: Urgency get() = spec.urgency
}

/** A machine that can take tasks, as the scheduler sees it. [MachineIndex] alone changes it. */
class MachineView(
    val id: MachineId,
    val type: MachineType,
    val zone: Zone,
    val spot: Boolean,
    room: Resources,
    val images: Set<ImageId>,
    reservedFor: JobId?,
    private val findResidents: () -> List<Resident>,
) {
    /** Rounded, so that machines with the same tasks have the same room whatever came and went before. */
    var room: Resources = room.rounded()
        private set

    /** The job that it is kept or emptied for. */
    var reservedFor: JobId? = reservedFor
        private set

    /** The group that it is in now. */
    var group: MachineGroup? = null
        internal set

    /** Whether a plan has changed it: what is kept for the next pass has to be made anew. */
    var isPlanned = false
        private set
    private var knownResidents: List<Resident>? = null

    /** Made only when asked for: most passes place tasks without looking at what runs. */
    val residents: List<Resident> get() = knownResidents ?: findResidents().also { knownResidents = it }

    /** A new pass begins, in which the remaining times are others. */
    fun forgetResidents() {
        knownResidents = null
    }

    internal fun changeRoom(room: Resources) {
        this.room = room.rounded()
        isPlanned = true
    }

    internal fun reserveFor(job: JobId) {
        reservedFor = job
        isPlanned = true
    }

    companion object {
        /** In the order in which the cloud names machines. */
        val BY_ID: Comparator<MachineView> = Comparator { one, other -> one.id.text.compareTo(other.id.text) }
    }
}

/** A job with tasks to place or on machines, as the scheduler sees it. */
class JobView(
    val spec: JobSpec,
    val submitted: WallTime,
    /** How many tasks are to be placed. */
    val openCount: Int,
    /** All tasks not done. */
    val unfinished: Int,
    val live: Int,
    val perZone: Map<Zone, Int>,
    val remainingS: Double,
    val avoid: Set<MachineId>,
    val poisoned: Boolean,
    /** False while the job is backed off. */
    val mayStart: Boolean,
    /** How much later than now its tasks could start and still be in time. */
    val slackS: Double,
    /** Since when none of its tasks was placed. */
    val waitedS: Double,
    /** The first tasks to place, in order. */
    val open: (count: Int) -> IntArray,
)

/** What the scheduler decides on: nothing else enters a decision. */
class ClusterSnapshot(
    val machines: List<MachineView>,
    val jobs: List<JobView>,
    val uses: Map<TeamId, Resources>,
    val teams: Map<TeamId, TeamQuota>,
    /** Smoothed degrees of the pass before; empty in a leader's first pass. */
    val assurance: Map<TeamId, Double>,
    /** The same machines, grouped. */
    val index: MachineIndex = MachineIndex.of(machines),
) {
    private val machinesById by lazy(LazyThreadSafetyMode.NONE) { machines.associateBy { it.id } }

    /** The machine of this name, if it can take tasks. */
    fun machine(id: MachineId): MachineView? = machinesById[id]
}

data class Start(val job: JobId, val index: Int, val machine: MachineId)

data class Preemption(val machine: MachineId, val forJob: JobId, val victims: List<TaskId>)

/** A machine kept for a job whose tasks are too large for the room that comes free at once. */
data class MachineReservation(val machine: MachineId, val forJob: JobId)

/** Open tasks of a job that found no machine although team and bounds allow them. */
data class Waiting(val job: JobId, val tasks: Int, val guaranteed: Boolean)

class Plan(
    val starts: List<Start>,
    val preemptions: List<Preemption>,
    val reservations: List<MachineReservation>,
    val waiting: List<Waiting>,
    val assurance: Map<TeamId, Double>,
)
