package mountmast.coordination.state

import mountmast.protocol.Attempt
import mountmast.protocol.MachineId
import mountmast.protocol.MonotonicTime
import mountmast.protocol.TaskState
import mountmast.protocol.WorkerIncarnation
import mountmast.protocol.Zone

/** Where an attempt runs: a machine, the incarnation of its worker, and its zone. */
data class Placement(val machine: MachineId, val incarnation: WorkerIncarnation, val zone: Zone)

/** One attempt of a task on a machine, in one incarnation of its worker. Guarded as its [ClusterState] is. */
class Assignment(val job: Job, val index: Int, val placement: Placement, val attempt: Attempt, phase: Phase) {
    /** How far it has come. */
    var phase = phase
        private set

    val machine: MachineId get() = placement.machine
    val incarnation: WorkerIncarnation get() = placement.incarnation
    val zone: Zone get() = placement.zone

    /** The task's name as the worker writes it. */
    val taskName = "${job.id}/$index"

    /** The state in the last heartbeat that listed the attempt, or null before the first one. */
    var reported: TaskState? = null
        private set

    /** When the worker first reported it as running. */
    var runningSince: MonotonicTime? = null
        private set

    /** Set once the task is to be stopped: how long it may save its progress, in seconds. */
    var terminationGraceS: Double? = null
        private set

    /** Whether it ended by completing. */
    var completed = false
        private set

    /** Whether it is stopped to free its machine for another job. */
    var preempted = false
        private set

    /** Whether a transaction that lists it is on its way. */
    var isBeingJournaled = false
        private set

    /** Whether a transaction that lists it was committed. */
    var written = false
        private set

    /** Whether it took far longer than others of its job elsewhere. */
    var isStraggler = false
        private set

    /** Messages to the worker that carry its start. */
    val startDelivery = StartDelivery()
    val deliveriesInFlight by startDelivery::inFlight
    val startedInHeartbeat by startDelivery::inHeartbeat

    /** Records that a heartbeat that arrived at [now] lists the attempt in [state]. */
    fun recordReported(state: TaskState, now: MonotonicTime) {
        if (state == TaskState.RUNNING && runningSince == null) runningSince = now
        reported = state
    }

    /** Stops the task and lets it save its progress, so that it goes on elsewhere. */
    fun drain() {
        terminationGraceS = job.spec.checkpointSaveS
    }

    /** Stops the task without time to save its progress. */
    fun stopAtOnce() {
        terminationGraceS = 0.0
    }

    /** Stops the task to free its machine for another job; one that is being stopped already keeps its grace period. */
    fun preempt() {
        terminationGraceS = terminationGraceS ?: job.spec.checkpointSaveS
        preempted = true
    }

    /** Records that the transaction that lists the attempt is about to be sent. */
    fun beginJournaling() {
        isBeingJournaled = true
    }

    /** Records that the transaction that lists the attempt came to nothing. */
    fun abandonJournaling() {
        isBeingJournaled = false
    }

    /** Records that the transaction that lists the attempt was committed: unless it has ended meanwhile, its start may be sent. */
    fun markJournaled() {
        isBeingJournaled = false
        written = true
        if (phase == Phase.INTENDED) phase = Phase.COMMITTED
    }

    /** Records that the attempt is off its machine, and whether it completed. */
    internal fun markEnded(isCompleted: Boolean) {
        phase = Phase.ENDED
        completed = isCompleted
    }

    /** Records that the attempt counts no more. */
    internal fun markReleased() {
        phase = Phase.RELEASED
    }

    /** Records that it took far longer than others of its job elsewhere. */
    internal fun markStraggler() {
        isStraggler = true
    }
}
