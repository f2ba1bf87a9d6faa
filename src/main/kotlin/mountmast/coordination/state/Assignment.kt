package mountmast.coordination.state

import mountmast.protocol.Attempt
import mountmast.protocol.MachineId
import mountmast.protocol.MonotonicTime
import mountmast.protocol.TaskState
import mountmast.protocol.WorkerIncarnation
import mountmast.protocol.Zone

/** Where an attempt of a task runs: the machine, the incarnation of the machine's worker, and the machine's zone. */
data class Placement(val machine: MachineId, val incarnation: WorkerIncarnation, val zone: Zone)

/** One attempt of the task [index] of [job], in one incarnation of a machine's worker. Guarded by the lock of the leader's term. */
class Assignment(val job: Job, val index: Int, val placement: Placement, val attempt: Attempt, phase: Phase) {
    /** The step of its life cycle that the assignment has reached. */
    var phase = phase
        private set

    val machine: MachineId get() = placement.machine
    val incarnation: WorkerIncarnation get() = placement.incarnation
    val zone: Zone get() = placement.zone

    /** The task's name in messages to and from the worker: the job's ID, a slash and the task's index. */
    val taskName = "${job.id}/$index"

    /** The task's state in the last heartbeat that listed the attempt; null if no heartbeat has listed it yet. */
    var reportedState: TaskState? = null
        private set

    /** When the first heartbeat arrived that reports the attempt as running; null before that. */
    var runningSince: MonotonicTime? = null
        private set

    /** How long the task may take to save its progress while it is stopped, in seconds; null unless the task is to be stopped. */
    var terminationGraceS: Double? = null
        private set

    /** Whether the attempt ended because the task completed. */
    var isCompleted = false
        private set

    /** Whether the attempt is stopped, or was stopped, to free its machine for another job. */
    var isPreempted = false
        private set

    /** Whether a journal transaction that lists the attempt as started was sent and has no known outcome yet. */
    var isBeingJournaled = false
        private set

    /** Whether a journal transaction that lists the attempt as started was committed. */
    var isJournaled = false
        private set

    /** Whether the task is a straggler: it takes or took far longer than other tasks of its job on other machines. */
    var isStraggler = false
        private set

    /** Which messages to the worker carry the command to start this attempt. */
    val startDelivery = StartDelivery()
    val startRequestsInFlight by startDelivery::requestsInFlight
    val startSentInAnswerTo by startDelivery::lastAnsweredHeartbeat

    /** Records that a heartbeat which arrived at [now] lists the attempt with the state [state]. */
    fun recordReported(state: TaskState, now: MonotonicTime) {
        if (state == TaskState.RUNNING && runningSince == null) runningSince = now
        reportedState = state
    }

    /** Stops the task after a grace period in which it may save its progress, so that the next attempt continues from there. */
    fun stopGracefully() {
        terminationGraceS = job.spec.checkpointSaveS
    }

    /** Stops the task without a grace period to save its progress. */
    fun stopAtOnce() {
        terminationGraceS = 0.0
    }

    /** Stops the task to free its machine for another job. A task that is already being stopped keeps its grace period. */
    fun preempt() {
        terminationGraceS = terminationGraceS ?: job.spec.checkpointSaveS
        isPreempted = true
    }

    /** Records that the journal transaction that lists the attempt as started is about to be sent. */
    fun beginJournaling() {
        isBeingJournaled = true
    }

    /** Records that the journal transaction that lists the attempt as started was not committed and will not be. */
    fun abandonJournaling() {
        isBeingJournaled = false
    }

    /**
     * Records that the journal transaction that lists the attempt as started was committed. From then on its start command may be
     * sent, unless the attempt has ended in the meantime.
     */
    fun markJournaled() {
        isBeingJournaled = false
        isJournaled = true
        if (phase == Phase.INTENDED) phase = Phase.COMMITTED
    }

    /** Records that the attempt no longer runs on its machine, and whether the task completed. */
    internal fun markEnded(hasCompleted: Boolean) {
        phase = Phase.ENDED
        isCompleted = hasCompleted
    }

    /** Records that the resources of the attempt are free again. */
    internal fun markReleased() {
        phase = Phase.RELEASED
    }

    /** Records that the task took far longer than other tasks of its job on other machines. */
    internal fun markStraggler() {
        isStraggler = true
    }
}
