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
 * A rented machine. Type and zone are null while it is known only by name, from the journal. Guarded as its [ClusterState] is.
 *
 * What it consists of changes by the methods of its parts; the delegating properties read them.
 */
class Machine(val id: MachineId, val type: TypeId?, val zone: Zone?, val spot: Boolean, state: MachineState) {
    /** Its condition. */
    var state = state
        private set

    /** What the worker's heartbeats say, and what was answered to them. */
    val worker = WorkerStatus()

    /** Commands that are sent directly. */
    val delivery = CommandDeliveryState()

    /** Whether answers and commands arrive. */
    val reachability = MachineReachability()

    /** What is known of it from the cloud. */
    val rental = MachineRental()

    /** Its failures and slow tasks. */
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

    val deliveryInFlight by delivery::isInFlight
    val deliverNotBefore by delivery::notBefore
    val announcedAt by delivery::announcedAt
    val tokenOffset by delivery::tokenOffset

    val unacknowledgedHeartbeats by reachability::unacknowledgedHeartbeats
    val unreachedSince by reachability::unreachedSince

    val rentedAt by rental::rentedAt
    val knownAt by rental::knownAt
    val idleSince by rental::idleSince
    val isReclaimNoticed by rental::isReclaimNoticed
    val reclaimNoticeS by rental::reclaimNoticeS
    val isDeleting by rental::isDeleting
    val isListedFailed by rental::isListedFailed
    val isListedRunning by rental::isListedRunning

    val strikes get() = health.strikes
    val slowStrikes by health::slowStrikes
    val isQuarantined by health::isQuarantined
    val notBefore by health::notBefore

    /** Images that were used here with their sizes in GB, least recently used first. */
    val images get() = imageCache.images

    /** When its worker's lease was found to have expired. */
    var expiredAt = MonotonicTime(0)
        private set

    /** Every assignment not yet released, by the task's name as the worker writes it. */
    val live = LinkedHashMap<String, Assignment>()

    /** Rises with each change of what the scheduler sees of the machine, apart from whether it is usable. */
    var changes = 0
        private set

    /** What [live] takes, kept as it changes: a scheduling cycle must not add up every task of every machine. */
    var used = Resources.NONE
        private set(value) {
            field = value
            changes++
        }

    /** The job that this machine is reserved for, and preempted where need be. */
    var reservedFor: JobId? = null
        private set(value) {
            field = value
            changes++
        }

    /** When the reservation ends. */
    var reservedUntil = MonotonicTime(0)
        private set

    /** Whether tasks may be placed here at [now]. */
    fun isUsable(now: MonotonicTime) = state == MachineState.UP &&
        hasShownCurrentTerm &&
        unreachedSince == null &&
        !isReclaimNoticed &&
        !isDeleting &&
        !isQuarantined &&
        incarnation != null &&
        now >= notBefore

    /** Takes over the assignments of [before], which stood for this machine while it was known only by name. */
    fun inheritAssignments(before: Machine) {
        live.putAll(before.live)
        used = before.used
    }

    /** Counts [assignment] as being here. */
    internal fun addAssignment(assignment: Assignment) {
        live[assignment.taskName] = assignment
        used += assignment.job.perTask
    }

    /** Counts [assignment] no more; a machine without any is idle since [now]. */
    internal fun removeAssignment(assignment: Assignment, now: MonotonicTime) {
        if (live.remove(assignment.taskName) != null) used -= assignment.job.perTask
        if (live.isNotEmpty()) return
        rental.markIdle(now)
        // Rounding must not add up over a machine's life.
        used = Resources.NONE
    }

    /** Adds the images that an earlier leader knew of here, with their sizes in GB. */
    fun recallImages(known: Map<ImageId, Double>) {
        imageCache.recall(known)
        changes++
    }

    /** Records a use of [image], of [sizeGb], in a cache of [cacheGb]. */
    fun touchImage(image: ImageId, sizeGb: Double, cacheGb: Double) {
        changes++
        imageCache.touch(image, sizeGb, cacheGb)
    }

    /** Records that a heartbeat arrived at [now]: a machine that was not up is idle since then. */
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
     * Begins the worker's incarnation [next] as of [now]: nothing of it was answered yet, and what was sent to the one before
     * can be executed no more. The caller ends the assignments of the one before.
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
