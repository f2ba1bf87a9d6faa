package mountmast.coordination.state

import mountmast.protocol.ImageId
import mountmast.protocol.JobId
import mountmast.protocol.MachineId
import mountmast.protocol.MonotonicTime
import mountmast.protocol.Resources
import mountmast.protocol.TypeId
import mountmast.protocol.WorkerIncarnation
import mountmast.protocol.Zone

/**
 * A rented machine. [type] and [zone] are null while only its name is known, from the journal. Guarded by the lock of the leader's
 * term.
 *
 * The parts of its state ([worker], [delivery], [reachability], [rental], [health]) change by methods of their own; the delegating
 * properties only read them.
 */
class Machine(val id: MachineId, val type: TypeId?, val zone: Zone?, val spot: Boolean, state: MachineState) {
    /** The machine's condition as far as this leader knows it. */
    var state = state
        private set

    /** The contents of the worker's heartbeats, and the answers that they got. */
    val worker = WorkerStatus()

    /** The state of the direct requests that carry commands to the worker. */
    val delivery = CommandDeliveryState()

    /** Whether answers to heartbeats and commands reach the worker. */
    val reachability = MachineReachability()

    /** The machine's rental from the cloud, up to its deletion. */
    val rental = MachineRental()

    /** The task failures and the stragglers on this machine, and its quarantine. */
    val health = MachineHealth()
    private val imageCache = ImageCache()

    val address by worker::address
    val incarnation by worker::incarnation
    val incarnationSince by worker::incarnationSince
    val sequence by worker::sequence
    val lastContactAt by worker::lastContactAt
    val lastHeartbeatAt by worker::lastHeartbeatAt
    val answeredHeartbeatSequence by worker::answeredHeartbeatSequence
    val answeredSequence by worker::answeredSequence
    val leaseRenewedAt by worker::leaseRenewedAt
    val hasShownCurrentTerm by worker::hasShownCurrentTerm
    val unassignedTasks by worker::unassignedTasks

    val announcedAt by delivery::announcedAt
    val tokenOffset by delivery::tokenOffset

    val unacknowledgedHeartbeats by reachability::unacknowledgedHeartbeats
    val unreachableSince by reachability::unreachableSince

    val rentedAt by rental::rentedAt
    val knownAt by rental::knownAt
    val idleSince by rental::idleSince
    val isReclaimNoticed by rental::isReclaimNoticed
    val reclaimNoticeS by rental::reclaimNoticeS
    val isDeleting by rental::isDeleting
    val isListedFailed by rental::isListedFailed
    val isListedRunning by rental::isListedRunning

    val consecutiveFailures get() = health.consecutiveFailures
    val consecutiveStragglers by health::consecutiveStragglers
    val isQuarantined by health::isQuarantined
    val notBefore by health::notBefore

    /** The sizes in GB of the images that tasks used on this machine, the least recently used image first. */
    val images get() = imageCache.images

    /** When the worker's lease was found to have expired; meaningful only in the state [MachineState.EXPIRED]. */
    var expiredAt = MonotonicTime(0)
        private set

    /** The machine's assignments that are not released, by [Assignment.taskName]. */
    val unreleasedAssignments = LinkedHashMap<String, Assignment>()

    /** Increases with each change of the machine that the scheduler sees, other than a change of [isUsable]. */
    var changeCount = 0
        private set

    /**
     * The resources that [unreleasedAssignments] take. Kept up to date, so that a scheduling cycle need not add up every task of every
     * machine.
     */
    var usedResources = Resources.NONE
        private set(value) {
            field = value
            changeCount++
        }

    /** The job that the machine is reserved for, for which tasks on it may have been preempted; null if it is not reserved. */
    var reservedFor: JobId? = null
        private set(value) {
            field = value
            changeCount++
        }

    /** When the reservation ends; meaningful only while [reservedFor] is not null. */
    var reservedUntil = MonotonicTime(0)
        private set

    /** Whether tasks may be placed on the machine at [now]. */
    fun isUsable(now: MonotonicTime) = state == MachineState.UP &&
        hasShownCurrentTerm &&
        unreachableSince == null &&
        !isReclaimNoticed &&
        !isDeleting &&
        !isQuarantined &&
        incarnation != null &&
        now >= notBefore

    /** Takes over the assignments of [before], the entry of this machine while only its name was known. */
    fun inheritAssignments(before: Machine) {
        unreleasedAssignments.putAll(before.unreleasedAssignments)
        usedResources = before.usedResources
    }

    /** Adds [assignment] to the machine's assignments and its resources to [usedResources]. */
    internal fun addAssignment(assignment: Assignment) {
        unreleasedAssignments[assignment.taskName] = assignment
        usedResources += assignment.job.perTask
    }

    /** Removes [assignment] and frees its resources; a machine without any other assignment is idle from [now] on. */
    internal fun removeAssignment(assignment: Assignment, now: MonotonicTime) {
        if (unreleasedAssignments.remove(assignment.taskName) != null) usedResources -= assignment.job.perTask
        if (unreleasedAssignments.isNotEmpty()) return
        rental.markIdle(now)
        // Sets the sum to exactly zero, so that rounding errors do not accumulate over the machine's life.
        usedResources = Resources.NONE
    }

    /** Adds the images that the previous leader recorded for this machine, with their sizes in GB. */
    fun restoreImages(recorded: Map<ImageId, Double>) {
        imageCache.restore(recorded)
        changeCount++
    }

    /** Records that a task on this machine uses [image], of [sizeGb], where the worker's cache holds [cacheGb]. */
    fun touchImage(image: ImageId, sizeGb: Double, cacheGb: Double) {
        changeCount++
        imageCache.touch(image, sizeGb, cacheGb)
    }

    /** Sets the state to [MachineState.UP], as a heartbeat arrived at [now]. A machine that was not up before is idle from [now] on. */
    fun markUp(now: MonotonicTime) {
        if (state == MachineState.UP) return
        state = MachineState.UP
        rental.markIdle(now)
    }

    /** Records that the worker's lease was found at [now] to have expired. */
    fun expireLease(now: MonotonicTime) {
        state = MachineState.EXPIRED
        expiredAt = now
    }

    /**
     * Begins the worker's incarnation [next] at [now]: no heartbeat of it was answered yet, and commands sent to the previous
     * incarnation can no longer be executed. The caller ends the assignments of the previous incarnation.
     */
    fun beginIncarnation(next: WorkerIncarnation, now: MonotonicTime) {
        delivery.forgetUnansweredStarts()
        worker.beginIncarnation(next, now)
    }

    /** Reserves the machine for [job] until [until]. */
    fun reserveFor(job: JobId, until: MonotonicTime) {
        reservedFor = job
        reservedUntil = until
    }

    /** Ends the reservation. */
    fun releaseReservation() {
        reservedFor = null
    }
}
