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

/** A job that is not finished, as submitted at [submitted]. Guarded as its [ClusterState] is. */
class Job(val spec: JobSpec, val submitted: WallTime, modRevision: ModRevision) {
    /** The latest modification revision of its record that is known. */
    var modRevision = modRevision
        internal set

    val id: JobId get() = spec.id

    /** What each of its tasks takes. */
    val perTask: Resources = spec.perTask

    /** Whether it is cancelled, by its record or by another node's broadcast. */
    var cancelled = false
        private set

    /** Whether its record in the store says that it is cancelled; another node's broadcast may come before that is seen. */
    var isCancellationRecorded = false
        private set

    /** The cancellation was committed no earlier than this. */
    var cancelledAfter = WallTime(0)
        private set

    /**
     * Cancels the job, as its record says if [recorded], or else only a broadcast: its tasks are stopped without time to save. The
     * cancellation was committed no earlier than [after].
     */
    fun cancel(after: WallTime, recorded: Boolean) {
        if (!cancelled) {
            cancelled = true
            cancelledAfter = after
            // Nobody gains from what a cancelled job's tasks do.
            for (assignment in live.values) assignment.stopAtOnce()
        }
        isCancellationRecorded = isCancellationRecorded || recorded
    }

    /** Which of its prerequisites are not known to be done. */
    val unmetDependencies = UnmetDependencies()

    /** Whether every prerequisite is known to be done: before that none of its tasks may start. */
    val isReleased: Boolean get() = unmetDependencies.isListKnown && unmetDependencies.open.isEmpty()

    /** What its dependents require of it. */
    var inheritedPriority = InheritedPriority.NONE
        internal set(value) {
            field = value
            schedulingSpec = if (effectiveUrgency == spec.urgency) spec else spec.copy(urgency = effectiveUrgency)
        }

    /** The highest urgency among its own and that of its dependents. */
    val effectiveUrgency: Urgency get() = minOf(spec.urgency, inheritedPriority.urgency)

    /** When it should be done, by its own deadline or for its dependents; null if nobody requires it. */
    val effectiveDue: WallTime? get() = InheritedPriority.earlier(ownDue, inheritedPriority.due)

    /** When it should be done by its own deadline, or null if it has none. */
    val ownDue: WallTime? = spec.deadlineS?.let { WallTime(submitted.ms + (it * MS_PER_S).toLong()) }

    /** The job as it is scheduled: with its [effectiveUrgency]. */
    var schedulingSpec = spec
        private set

    /** From when its waiting counts: from the end of its last prerequisite, or from its submission. */
    val waitingFrom: WallTime get() = unmetDependencies.lastDoneAt?.let { maxOf(it, submitted) } ?: submitted

    private val progress = TaskProgress(spec.tasks)

    /** Tasks whose completion is known. */
    val done get() = progress.done

    /** Tasks that may be placed: neither done nor assigned. */
    val open get() = progress.open

    /** How many tasks may be placed. */
    val openCount: Int get() = progress.openCount

    /** How many tasks are done. */
    val doneCount: Int get() = progress.doneCount

    /** Its assignments that are not released, by the task's index. */
    val live = Int2ObjectOpenHashMap<Assignment>()

    /** How often each of its tasks was preempted, by the task's index. */
    val preemptions = Int2IntOpenHashMap()

    /** How long its tasks ran. */
    val runStatistics = RunStatistics()
    val runs by runStatistics::runs
    val runSumS by runStatistics::runSumS
    val slowOn get() = runStatistics.slowOn

    /** How its tasks failed lately. */
    val recentFailures = JobFailures()
    val failedOn get() = recentFailures.machines
    val failures by recentFailures::count
    val notBefore by recentFailures::notBefore

    /** When a task was last placed or the job became known or was released, for detecting that it stalls. */
    var lastProgress = MonotonicTime(0)
        private set

    /** When operators were last informed that it stalls; null once it goes on. */
    var lastStallReport: MonotonicTime? = null
        private set

    /** Whether operators were informed that it is late. */
    var isReportedLate = false
        private set

    /**
     * Whether it fails wherever it runs: it is backed off, and has no claim on the guarantee. A job with a mistake never completes
     * a task, so one that has is only unlucky with its machines.
     */
    val isPoisoned: Boolean get() = doneCount == 0 && failedOn.size >= POISON_MACHINES

    /** Whether it is an array job all of whose tasks are done; a service never completes. */
    val isComplete: Boolean get() = spec.shape == Shape.ARRAY && doneCount == spec.tasks

    /** Whether none of its assignments lives: each one is known to have ended. */
    fun hasNoLiveAssignments() = live.values.all { it.phase == Phase.ENDED }

    /** The first [count] open tasks. */
    fun firstOpen(count: Int): IntArray = progress.firstOpen(count)

    /** Records that the task [index] is done: it is not open any more. */
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

    /** Records that the job became ready to run at [now], as it became known or was released. */
    fun recordProgress(now: MonotonicTime) {
        lastProgress = now
    }

    /** Records that a task was placed at [now]: the job does not stall. */
    fun recordPlacement(now: MonotonicTime) {
        lastProgress = now
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
        /** An error mostly means a faulty machine; on this many machines it means the job. */
        const val POISON_MACHINES = 3
        private const val MS_PER_S = 1000
    }
}
