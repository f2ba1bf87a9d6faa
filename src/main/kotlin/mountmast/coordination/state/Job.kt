package mountmast.coordination.state

import it.unimi.dsi.fastutil.ints.Int2IntOpenHashMap
import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap
import mountmast.protocol.Attempt
import mountmast.protocol.HeartbeatSequence
import mountmast.protocol.JobId
import mountmast.protocol.JobSpec
import mountmast.protocol.MachineId
import mountmast.protocol.ModRevision
import mountmast.protocol.MonotonicTime
import mountmast.protocol.Resources
import mountmast.protocol.Shape
import mountmast.protocol.TaskState
import mountmast.protocol.Urgency
import mountmast.protocol.WallTime
import mountmast.protocol.WorkerIncarnation
import mountmast.protocol.Zone
import java.util.BitSet

/** How far an assignment has come. Until it is released it counts as being on its machine. */
enum class Phase {
    /** Decided, not yet known to be in the store: must not be sent. */
    INTENDED,

    /** In the store: its start may be sent, any number of times. */
    COMMITTED,

    /** Known to be off its machine, but the store still lists it: counts until the store does not. */
    ENDED,

    /** Counts no more. */
    RELEASED,
}

/** A task on a machine, in one session and attempt. */
class Assignment(
    val job: Job,
    val index: Int,
    val machine: MachineId,
    val incarnation: WorkerIncarnation,
    val attempt: Attempt,
    val zone: Zone,
    var phase: Phase,
    val placedAt: MonotonicTime,
) {
    val taskName = "${job.id}/$index"

    /** What names it to the worker. */
    val key = taskName to attempt

    /** Last state that the worker reported, or null before the first report that shows it. */
    var reported: TaskState? = null
    var runningSince: MonotonicTime? = null

    /** Set once the task is to be stopped: how long it may save. */
    var terminationGraceS: Double? = null
    var completed = false

    /** Whether it is stopped to make room for another. */
    var preempted = false

    /** Whether a transaction that lists it is on its way, and whether one was carried out. */
    var beingWritten = false
    var written = false

    var isStraggler = false

    /** Direct commands with its start that wait for their answer. */
    var deliveriesInFlight = 0

    /** Latest report that was answered with its start; the next report shows whether that was executed. */
    var startedInHeartbeat: HeartbeatSequence? = null
}

/** A job that is not over. */
class Job(val spec: JobSpec, val submitted: WallTime, var modRevision: ModRevision) {
    val id: JobId get() = spec.id
    val perTask: Resources = spec.perTask
    var cancelled = false
        private set

    /** Whether the job's record in the store says so; a notice of another node may come before that is seen. */
    var cancelRecorded = false
        private set

    /** The cancellation was committed no earlier than this. */
    var cancelledAfter = WallTime(0)
        private set

    /** Notes that the job is cancelled, as its record or only a notice says: its tasks are stopped without time to save. */
    fun cancel(after: WallTime, recorded: Boolean) {
        if (!cancelled) {
            cancelled = true
            cancelledAfter = after
            // Nobody gains from what a cancelled job's tasks do.
            for (assignment in live.values) assignment.terminationGraceS = 0.0
        }
        cancelRecorded = cancelRecorded || recorded
    }

    /** What it waits for. */
    val unmetDependencies = UnmetDependencies()

    /** Whether every job that it waits for is known to be done: before that none of its tasks may start. */
    val isReleased: Boolean get() = unmetDependencies.isListKnown && unmetDependencies.open.isEmpty()

    /** What the jobs that need this one ask of it. */
    var inheritedPriority = InheritedPriority.NONE
        set(value) {
            field = value
            schedulingSpec = if (effectiveUrgency == spec.urgency) spec else spec.copy(urgency = effectiveUrgency)
        }
    val effectiveUrgency: Urgency get() = minOf(spec.urgency, inheritedPriority.urgency)

    /** When it should be done, by its own user or for the jobs that need it. */
    val effectiveDue: WallTime? get() = InheritedPriority.earlier(ownDue, inheritedPriority.due)
    val ownDue: WallTime? = spec.deadlineS?.let { WallTime(submitted.ms + (it * MS_PER_S).toLong()) }

    /** The job as it is scheduled: with the highest urgency of those that need it. */
    var schedulingSpec = spec
        private set

    /** From when its waiting counts: from the end of the last job that it waited for, or from its submission. */
    val waitingFrom: WallTime get() = unmetDependencies.lastDoneAt?.let { maxOf(it, submitted) } ?: submitted

    /** Tasks whose completion is known. */
    val done = BitSet()

    /** Tasks that may be placed: neither done nor assigned. */
    val open = BitSet(spec.tasks).apply { set(0, spec.tasks) }
    var openCount = spec.tasks
        private set
    var doneCount = 0
        private set
    val live = Int2ObjectOpenHashMap<Assignment>()

    /** How often each of its tasks gave way to others. */
    val preemptions = Int2IntOpenHashMap()

    /** Runs of its completed tasks. */
    var runs = 0
    var runSumS = 0.0

    /** Machines that this job's tasks ran slowly on. */
    val slowOn = HashSet<MachineId>()

    /** Machines on which a task failed since one of the job's tasks last completed. */
    val failedOn = LinkedHashSet<MachineId>()
    var failures = 0
    var notBefore = MonotonicTime(Long.MIN_VALUE)
    var learnedAt = MonotonicTime(0)

    /** When a task was last placed or the job became known, for telling that it stalls. */
    var lastProgress = MonotonicTime(0)
    var lastStallReport: MonotonicTime? = null
    var calledLate = false

    /**
     * Fails wherever it runs: backed off, and without a claim on the guarantee. A job with a mistake never completes
     * a task, so one that has is only unlucky with its machines.
     */
    val poisoned: Boolean get() = doneCount == 0 && failedOn.size >= POISON_MACHINES

    val isComplete: Boolean get() = spec.shape == Shape.ARRAY && doneCount == spec.tasks

    /** Whether every assignment is known to have ended. */
    fun nothingLives() = live.values.all { it.phase == Phase.ENDED }

    /** The first [count] open tasks. */
    fun firstOpen(count: Int): IntArray {
        var index = -1
        return IntArray(count) {
            index = open.nextSetBit(index + 1)
            index
        }
    }

    fun setDone(index: Int) {
        if (done.get(index)) return
        done.set(index)
        doneCount++
        setOpen(index, false)
    }

    fun setOpen(index: Int, isOpen: Boolean) {
        if (open.get(index) == isOpen) return
        open.set(index, isOpen)
        openCount += if (isOpen) 1 else -1
    }

    companion object {
        /** An error mostly means a faulty machine; on this many machines it means the job. */
        const val POISON_MACHINES = 3
        private const val MS_PER_S = 1000
    }
}
