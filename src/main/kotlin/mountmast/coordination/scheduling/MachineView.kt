package mountmast.coordination.scheduling

import mountmast.protocol.ImageId
import mountmast.protocol.JobId
import mountmast.protocol.JobSpec
import mountmast.protocol.MachineId
import mountmast.protocol.MachineType
import mountmast.protocol.Resources
import mountmast.protocol.TaskId
import mountmast.protocol.TeamId
import mountmast.protocol.Urgency
import mountmast.protocol.Zone

/** A task that is assigned to a machine, as the scheduler sees it. */
class AssignedTask(
    val task: TaskId,
    val spec: JobSpec,
    /** How long it still runs, by estimate, in seconds; above 0. */
    val remainingS: Double,
    /** How often it was preempted before. */
    val preemptions: Int,
    /** Whether it is being stopped already. */
    val isStopping: Boolean,
) {
    val team: TeamId get() = spec.team
    val urgency: Urgency get() = spec.urgency
}

/** What machines have in common that are alike to a job, their free capacity and images apart. */
class MachineKind(val type: MachineType, val zone: Zone, val isSpot: Boolean)

/** A machine that can take tasks, as the scheduler sees it. Changed by [MachineIndex] alone, and guarded as that is. */
class MachineView(
    val id: MachineId,
    val kind: MachineKind,
    freeCapacity: Resources,
    val images: Set<ImageId>,
    reservedFor: JobId?,
    private val findAssignedTasks: () -> List<AssignedTask>,
) {
    val type: MachineType get() = kind.type
    val zone: Zone get() = kind.zone

    /** Rounded, so that machines with the same tasks have the same free capacity whatever came and went before. */
    var freeCapacity: Resources = freeCapacity.rounded()
        private set

    /** The job that the machine is reserved for, if any. */
    var reservedFor: JobId? = reservedFor
        private set

    /** The group that the machine is in now, or null while it is in no index. */
    internal var group: MachineGroup? = null

    /** Whether a plan has changed this view: the next cycle has to create it anew. */
    var isModifiedByPlan: Boolean = false
        private set
    private var knownAssignedTasks: List<AssignedTask>? = null

    /** The tasks on this machine, determined on first use: most cycles place tasks without regard to what runs. */
    val assignedTasks: List<AssignedTask>
        get() = knownAssignedTasks ?: findAssignedTasks().also { knownAssignedTasks = it }

    /** Discards [assignedTasks] at the begin of a cycle, as the remaining times differ from those of the cycle before. */
    fun invalidateAssignedTasks() {
        knownAssignedTasks = null
    }

    internal fun updateFreeCapacity(freeCapacity: Resources) {
        this.freeCapacity = freeCapacity.rounded()
        isModifiedByPlan = true
    }

    internal fun reserveFor(job: JobId) {
        reservedFor = job
        isModifiedByPlan = true
    }

    internal companion object {
        /** The order in which the cloud names machines. */
        val BY_ID: Comparator<MachineView> = Comparator { one, other -> one.id.text.compareTo(other.id.text) }
    }
}
