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
    /** The specification of the job that the task belongs to, with the urgency that the job has or inherits. */
    val spec: JobSpec,
    /** The estimated remaining run time of the task, in seconds; above 0. */
    val remainingS: Double,
    /** How often the task was preempted before. */
    val preemptions: Int,
    /** Whether the task is already being stopped or has ended. */
    val isStopping: Boolean,
) {
    val team: TeamId get() = spec.team
    val urgency: Urgency get() = spec.urgency
}

/**
 * The type and zone of a machine and whether it is a spot machine. Machines of the same kind differ for the scheduler only in free
 * capacity, images and reservation.
 */
class MachineKind(val type: MachineType, val zone: Zone, val isSpot: Boolean)

/**
 * The scheduler's view of a machine on which tasks may be placed. Its free capacity, reservation and group are changed by [MachineIndex]
 * alone. Not thread-safe: guarded by the lock of the leader's term.
 */
class MachineView(
    val id: MachineId,
    val kind: MachineKind,
    freeCapacity: Resources,
    /** The images that the machine's cache is expected to hold. */
    val images: Set<ImageId>,
    reservedFor: JobId?,
    private val findAssignedTasks: () -> List<AssignedTask>,
) {
    val type: MachineType get() = kind.type
    val zone: Zone get() = kind.zone

    /**
     * The resources that are free on the machine. Rounded, so that machines with the same tasks have exactly the same free capacity
     * and fall into one group, whichever tasks were assigned and released before.
     */
    var freeCapacity: Resources = freeCapacity.rounded()
        private set

    /** The job that the machine is reserved for, or null if the machine is not reserved. */
    var reservedFor: JobId? = reservedFor
        private set

    /** The group of [MachineIndex] that the machine is in now, or null while it is in no index. */
    internal var group: MachineGroup? = null

    /** Whether a plan has changed the free capacity or the reservation; if so, the next cycle has to replace this view. */
    var isModifiedByPlan: Boolean = false
        private set
    private var cachedAssignedTasks: List<AssignedTask>? = null

    /** The tasks on this machine. Determined on first use, as most cycles place tasks without looking at those already assigned. */
    val assignedTasks: List<AssignedTask>
        get() = cachedAssignedTasks ?: findAssignedTasks().also { cachedAssignedTasks = it }

    /**
     * Discards the cached [assignedTasks] at the beginning of a cycle, as the [AssignedTask.remainingS] that they hold is as of the
     * previous cycle.
     */
    fun invalidateAssignedTasks() {
        cachedAssignedTasks = null
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
        /** Ascending order of machine ids, by text; the cloud lists machines in this order. */
        val BY_ID: Comparator<MachineView> = Comparator { one, other -> one.id.text.compareTo(other.id.text) }
    }
}
