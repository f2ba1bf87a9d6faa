package mountmast.coordination.state

import it.unimi.dsi.fastutil.ints.Int2IntOpenHashMap
import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap
import mountmast.protocol.JobId
import mountmast.protocol.JobSpec
import mountmast.protocol.ModRevision
import mountmast.protocol.MonotonicTime
import mountmast.protocol.Resources
import mountmast.protocol.Shape
import mountmast.protocol.Urgency
import mountmast.protocol.WallTime

/** A job that is not finished and was submitted at [submitted]. Guarded by the lock of the leader's term. */
class Job(val spec: JobSpec, val submitted: WallTime, modRevision: ModRevision) {
    /** The latest known modification revision of the job's record. */
    var modRevision = modRevision
        internal set

    val id: JobId get() = spec.id

    /** The resources that each task of the job takes. */
    val perTask: Resources = spec.perTask

    /** Whether the job is cancelled, according to its record or to a broadcast of another node. */
    var isCancelled = false
        private set

    /** Whether the job's record in the store says that it is cancelled. Another node's broadcast may arrive before that record is read. */
    var isCancellationRecorded = false
        private set

    /** A lower bound of the time at which the job's cancellation was committed; meaningful only if the job is cancelled. */
    var cancelledAfter = WallTime(0)
        private set

    /**
     * Cancels the job and stops its tasks without a grace period. [isRecorded] tells whether the job's record says that it is cancelled,
     * or only a broadcast. The cancellation was committed no earlier than [committedAfter].
     */
    fun cancel(committedAfter: WallTime, isRecorded: Boolean) {
        if (!isCancelled) {
            isCancelled = true
            cancelledAfter = committedAfter
            // The results of a cancelled job are not needed, so its tasks get no time to save their progress.
            for (assignment in unreleasedAssignments.values) assignment.stopAtOnce()
        }
        isCancellationRecorded = isCancellationRecorded || isRecorded
    }

    /** The job's prerequisites that are not known to be done. */
    val unmetDependencies = UnmetDependencies()

    /** Whether all prerequisites of the job are known to be done. None of the job's tasks may start before that. */
    val isReleased: Boolean get() = unmetDependencies.isListKnown && unmetDependencies.open.isEmpty()

    /** The urgency and due time that the job's dependents require. */
    var inheritedPriority = InheritedPriority.NONE
        internal set(value) {
            field = value
            schedulingSpec = if (effectiveUrgency == spec.urgency) spec else spec.copy(urgency = effectiveUrgency)
        }

    /** The higher of the job's own urgency and the one that it inherits from its dependents. */
    val effectiveUrgency: Urgency get() = minOf(spec.urgency, inheritedPriority.urgency)

    /** When the job should be done, the earlier of its own deadline and the due time that it inherits; null if it has neither. */
    val effectiveDue: WallTime? get() = InheritedPriority.earlier(ownDue, inheritedPriority.due)

    /** When the job should be done according to its own deadline; null if it has none. */
    val ownDue: WallTime? = spec.deadlineS?.let { WallTime(submitted.ms + (it * MS_PER_S).toLong()) }

    /** The job's specification for the scheduler, with [effectiveUrgency] as the urgency. */
    var schedulingSpec = spec
        private set

    /** The start of the job's waiting time: the end of its last prerequisite, or its submission if that was later. */
    val waitingFrom: WallTime get() = unmetDependencies.lastDoneAt?.let { maxOf(it, submitted) } ?: submitted

    private val progress = TaskProgress(spec.tasks)

    /** Tasks whose completion is known. */
    val done get() = progress.done

    /** Tasks that may be placed: neither done nor assigned. */
    val openTasks get() = progress.open

    /** How many tasks may be placed. */
    val openCount: Int get() = progress.openCount

    /** How many tasks are done. */
    val doneCount: Int get() = progress.doneCount

    /** The job's assignments that are not released, by the task's index. */
    val unreleasedAssignments = Int2ObjectOpenHashMap<Assignment>()

    /** How often each task of the job was preempted, by the task's index. */
    val preemptions = Int2IntOpenHashMap()

    /** The run times of the job's completed tasks. */
    val runStatistics = RunStatistics()
    val runCount by runStatistics::runCount
    val totalRunS by runStatistics::totalRunS
    val slowMachines get() = runStatistics.slowMachines

    /** The job's failures since one of its tasks last completed. */
    val recentFailures = JobFailures()
    val failedMachines get() = recentFailures.machines
    val notBefore by recentFailures::notBefore

    /** When a task of the job was last placed, or the job became known or was released. Used to detect jobs that stall. */
    var lastProgressAt = MonotonicTime(0)
        private set

    /** When operators were last informed that the job stalls; null if it has not stalled since a task was last placed. */
    var lastStallReport: MonotonicTime? = null
        private set

    /** Whether operators were informed that the job is late. */
    var isReportedLate = false
        private set

    /**
     * Whether the job fails on every machine. Such a job is backed off and has no claim on its team's guarantee. A job with a defect
     * never completes a task, so if a task has completed, the failures are blamed on the machines.
     */
    val isPoisoned: Boolean get() = doneCount == 0 && failedMachines.size >= MIN_FAILED_MACHINES

    /**
     * Whether the job is on trial: its tasks failed on [MIN_FAILED_MACHINES] machines, some of which may have been removed since, and none
     * has completed. One task of it is attempted at a time, on machines that are requested for the job ever more rarely.
     */
    val isOnTrial: Boolean get() = doneCount == 0 && recentFailures.machineCount >= MIN_FAILED_MACHINES

    /** How many more tasks of the job may be placed now, as far as the job's failures are concerned. */
    val placeableCount: Int get() = if (isOnTrial) minOf(openCount, maxOf(0, 1 - unreleasedAssignments.size)) else openCount

    /** Whether a machine may be requested for the job at [now], as far as the job's failures are concerned. */
    fun mayRequestMachine(now: MonotonicTime): Boolean = !isOnTrial || now >= recentFailures.rentalNotBefore

    /** Whether the job is an array job and all of its tasks are done. A service never completes. */
    val isComplete: Boolean get() = spec.shape == Shape.ARRAY && doneCount == spec.tasks

    /** Whether all assignments of the job that are not released have ended, so that none of its tasks runs. */
    fun hasNoLiveAssignments() = unreleasedAssignments.values.all { it.phase == Phase.ENDED }

    /** The indices of the first [count] open tasks; there must be as many. */
    fun firstOpen(count: Int): IntArray = progress.firstOpen(count)

    /** Records that the task [index] is done, and therefore no longer open. */
    fun setDone(index: Int) = progress.setDone(index)

    /** Sets whether the task [index] may be placed. */
    fun setOpen(index: Int, isOpen: Boolean) = progress.setOpen(index, isOpen)

    /** Records that the task [index] was preempted [times] times so far. */
    fun restorePreemptions(index: Int, times: Int) {
        preemptions.put(index, times)
    }

    /** Records that the task [index] was preempted once more. */
    fun countPreemption(index: Int) {
        preemptions.addTo(index, 1)
    }

    /** Records that the job became ready to run at [now], since it became known or was released. */
    fun recordReady(now: MonotonicTime) {
        lastProgressAt = now
    }

    /** Records that a task was placed at [now], so that the job does not stall. */
    fun recordPlacement(now: MonotonicTime) {
        lastProgressAt = now
        lastStallReport = null
    }

    /** Records that operators were informed at [now] that the job stalls. */
    fun recordStallReport(now: MonotonicTime) {
        lastStallReport = now
    }

    /** Records that operators were informed that the job is late. */
    fun recordLateReport() {
        isReportedLate = true
    }

    companion object {
        /** On how many machines a job must have failed to be blamed itself. A failure on fewer is usually due to a faulty machine. */
        const val MIN_FAILED_MACHINES = 3
        private const val MS_PER_S = 1000
    }
}
