package mountmast.coordination

import it.unimi.dsi.fastutil.ints.Int2IntOpenHashMap
import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap
import mountmast.protocol.Attempt
import mountmast.protocol.ExitCause
import mountmast.protocol.ImageId
import mountmast.protocol.JobId
import mountmast.protocol.JobSpec
import mountmast.protocol.MachineId
import mountmast.protocol.MachineType
import mountmast.protocol.Moment
import mountmast.protocol.Resources
import mountmast.protocol.Session
import mountmast.protocol.Shape
import mountmast.protocol.Stamp
import mountmast.protocol.Tally
import mountmast.protocol.TaskId
import mountmast.protocol.TaskState
import mountmast.protocol.TeamId
import mountmast.protocol.Term
import mountmast.protocol.TypeId
import mountmast.protocol.WallTime
import mountmast.protocol.WorkerReport
import mountmast.protocol.Zone
import mountmast.storage.JobRecord
import mountmast.storage.JournalReader
import mountmast.storage.JournalText
import mountmast.storage.Ranges
import mountmast.storage.TaskEnd
import org.slf4j.LoggerFactory
import java.util.BitSet

private val log = LoggerFactory.getLogger("mountmast.ledger")

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
    val session: Session,
    val attempt: Attempt,
    val zone: Zone,
    var phase: Phase,
    val placedAt: Moment,
) {
    val taskName = "${job.id}/$index"

    /** What names it to the worker. */
    val key = taskName to attempt

    /** Last state that the worker reported, or null before the first report that shows it. */
    var reported: TaskState? = null
    var runningSince: Moment? = null

    /** Set once the task is to be stopped: how long it may save. */
    var stopGraceS: Double? = null
    var completed = false

    /** Whether it is stopped to make room for another. */
    var evicted = false

    /** Whether a transaction that lists it is on its way, and whether one was carried out. */
    var beingWritten = false
    var written = false

    var calledSlow = false

    /** Direct commands with its start that wait for their answer. */
    var postsOut = 0

    /** Latest report that was answered with its start; the next report shows whether that was executed. */
    var startedInBeat: Tally? = null
}

/** What the journal does not say yet, in the order in which it happened. */
sealed interface Unwritten {
    /** [assignment] was decided; its start may be sent once this is written. */
    class Started(val assignment: Assignment) : Unwritten

    /** [assignment] is off its machine; it counts until this is written. */
    class Ended(val assignment: Assignment) : Unwritten

    /** [machine] is kept for [job], and [victims] are stopped for that. */
    class Reserved(val machine: MachineId, val job: JobId, val victims: List<String>) : Unwritten
}

/** A job that is not over. */
class Job(val spec: JobSpec, val submitted: WallTime, var stamp: Stamp) {
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
            for (assignment in live.values) assignment.stopGraceS = 0.0
        }
        cancelRecorded = cancelRecorded || recorded
    }

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
    val evictions = Int2IntOpenHashMap()

    /** Runs of its completed tasks. */
    var runs = 0
    var runSumS = 0.0

    /** Machines that this job's tasks ran slowly on. */
    val slowOn = HashSet<MachineId>()

    /** Machines on which a task failed since one of the job's tasks last completed. */
    val failedOn = LinkedHashSet<MachineId>()
    var failures = 0
    var notBefore = Moment(Long.MIN_VALUE)
    var learnedAt = Moment(0)

    /** When a task was last placed or the job became known, for telling that it stalls. */
    var lastProgress = Moment(0)
    var lastStallReport: Moment? = null
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
    }
}

/** Where the journal stands in the store. */
class JournalState {
    /** Number of the next record. */
    var next = 1L

    /** What the latest whole snapshot holds, and which it is. */
    var snapshotUpTo = 0L
    var generation = 0L
    var snapshotStamp = Stamp.ABSENT
    val stamps = Array(LedgerWriter.JOURNAL_SLOTS) { Stamp.ABSENT }
}

/** What the ledger knows of a machine's condition. */
enum class MachineState {
    /** Rented, not yet heard from. */
    BOOTING,

    /** Its worker reports. */
    UP,

    /** Named in the store, but not heard from since this node leads. */
    SILENT,

    /** Its worker's lease has provably expired and nothing was heard since. */
    EXPIRED,
}

/** A rented machine. */
class Machine(val id: MachineId, val type: TypeId?, val zone: Zone?, val spot: Boolean, var state: MachineState) {
    var address: String? = null
    var session: Session? = null
    var tally = Tally(0u)

    var heardAt = Moment(0)

    /** When it last reported by itself: one that only answers commands hears nothing of its reports' answers. */
    var reportedAt = Moment(0)

    /** When its lease was found to be over. */
    var expiredAt = Moment(0)

    /** When a report was last answered, or the session became known: its lease runs from then at the latest. */
    var answeredAt = Moment(0)

    /** The report that this leader answered last, if any. */
    var answeredTally: Tally? = null
    var rentedAt = Moment(0)

    /** When this leader first knew of it. */
    var knownAt = Moment(0)
    var idleSince = Moment(0)
    var notBefore = Moment(Long.MIN_VALUE)

    /** The cloud will take it back. */
    var noticed = false

    /** What the cloud's notice said at first. */
    var noticeS = 0.0
    var deleting = false
    var listedFailed = false

    /** The list called it running when this leader first saw it; it counts only once it reports. */
    var listedRunning = false

    /** Every assignment not yet released, by the task's name as the worker writes it. */
    val live = LinkedHashMap<String, Assignment>()

    /** What [live] takes, kept as it changes: a pass must not add up every task of every machine. */
    var used = Resources.NONE

    /** Images that were used here, least recently used first. A guess: the worker does not report its cache. */
    val images = LinkedHashMap<ImageId, Double>()

    /** Tasks in the last report that the ledger has no assignment for. */
    var strangers = emptyList<Stranger>()

    /**
     * Attempts whose start was in commands that got no answer, and with how many fences those were sent. Such commands may
     * still be executed, minutes later, and a start repeated after `forget` runs the task again; so these are
     * not forgotten within this session, until the worker shows a higher token.
     */
    val mayStillStart = HashMap<Pair<String, Attempt>, Int>()

    /** By how much the token for this machine is above the reign's first. */
    var fences = 0

    /**
     * Whether the worker has shown our term: from then on it drops what earlier leaders say, and what it reports is
     * no copy from before this reign, which might be of a machine long gone.
     */
    var sawTerm = false

    /** Reports in a row that show nothing of what the answers before them said. */
    var unheard = 0

    /** Since when answers and commands seem not to reach the worker although its reports arrive. */
    var unreachedSince: Moment? = null
    var sessionSince = Moment(0)
    var postInFlight = false

    /** When it was last called away from a former leader. */
    var calledAt = Moment(0)
    var postNotBefore = Moment(Long.MIN_VALUE)

    /** The job that this machine is being emptied for. */
    var reservedFor: JobId? = null
    var reservedUntil = Moment(0)

    /** Failures of tasks here, without a completion in between. */
    val strikes = ArrayList<JobId>()

    /** Tasks in a row that took far longer here than others of their job elsewhere. */
    var slowStrikes = 0
    var quarantined = false

    fun usable(now: Moment) =
        state == MachineState.UP && sawTerm && unreachedSince == null && !noticed && !deleting && !quarantined &&
            session != null && now >= notBefore

    /** Takes over what was known of this machine before its kind was. */
    fun takeOver(before: Machine) {
        live.putAll(before.live)
        used = before.used
    }

    /** Takes over what an earlier leader thought this machine to hold. */
    fun recallImages(known: Map<ImageId, Double>) {
        for ((image, sizeGb) in known) images.putIfAbsent(image, sizeGb)
    }

    fun touchImage(image: ImageId, sizeGb: Double, cacheGb: Double) {
        images.remove(image)
        images[image] = sizeGb
        var used = images.values.sum()
        val oldest = images.entries.iterator()
        while (used > cacheGb && oldest.hasNext()) {
            used -= oldest.next().value
            oldest.remove()
        }
    }
}

/** A task on a machine that the ledger has no assignment for. */
class Stranger(val taskName: String, val attempt: Attempt, val exited: Boolean, val completed: Boolean)

/**
 * Everything the leader knows: jobs, tasks, machines and what each team uses. Not thread-safe: guarded by the
 * [Reign]'s lock, and does no I/O.
 *
 * The ledger frees a task only on evidence that cannot be outdated: the worker says that the attempt has exited,
 * its session is over, or the machine is deleted. A report that merely lacks a task proves nothing, since its start
 * may be under way. Even then the task counts until the store no longer lists it, because the next leader would
 * start it again from there.
 */
class Ledger(private val runDecay: Double) {
    val jobs = LinkedHashMap<JobId, Job>()
    val machines = LinkedHashMap<MachineId, Machine>()

    /** Machines that were deleted, kept so that stale lists and late reports do not bring them back. */
    val tombstones = LinkedHashMap<MachineId, Moment>()
    var types = LinkedHashMap<TypeId, MachineType>()

    /** Images of machines that were not heard from yet, as the leader before noted them. */
    val recalledImages = HashMap<MachineId, Map<ImageId, Double>>()
    private val uses = HashMap<TeamId, Resources>()

    /** Mean run time of each team's tasks, recent ones counting more; for jobs without an estimate. */
    val meanRunS = HashMap<TeamId, Double>()

    /** Which machines and jobs fail or are slow. */
    val health = Health(this)

    /** What is still to be written. */
    val unwritten = ArrayDeque<Unwritten>()

    /** Jobs that are complete or cancelled; over once nothing of them lives. */
    val finishing = LinkedHashSet<Job>()

    /** Begins the numbers of this reign's attempts: a term is led once, so none is ever used twice. */
    private var lastAttempt = 0uL

    /** Sets the term in which attempts are given. */
    fun reignIn(term: Term) {
        lastAttempt = term.reign shl ATTEMPT_BITS
    }

    /** What the tasks of [team] take that may be on a machine. */
    fun use(team: TeamId): Resources = uses[team] ?: Resources.NONE

    /** Takes in a job record as the store has it; all changes before [knownUpTo] had been taken in until now. */
    fun putJob(record: JobRecord, stamp: Stamp, now: Moment, knownUpTo: WallTime = WallTime(0)): Job {
        val job = jobs.getOrPut(record.spec.id) {
            Job(record.spec, record.submitted, stamp).apply {
                learnedAt = now
                lastProgress = now
            }
        }
        job.stamp = stamp
        if (record.cancelled && !job.cancelRecorded) {
            job.cancel(knownUpTo, recorded = true)
            finishing += job
        }
        return job
    }

    /** The low watermark of cancellations, where all changes before [knownUpTo] are taken in. */
    fun watermark(knownUpTo: WallTime): WallTime =
        jobs.values.filter { it.cancelled && !it.nothingLives() }.minOfOrNull { it.cancelledAfter }?.let { minOf(it, knownUpTo) } ?: knownUpTo

    /** Rebuilds from what earlier leaders wrote. */
    fun replay(now: Moment) = object : JournalReader {
        override fun done(job: JobId, ranges: String) {
            val known = jobs[job] ?: return
            val set = BitSet()
            if (!Ranges.decodeInto(ranges, set, known.spec.tasks)) log.error("unreadable ranges of {}: {}", job, ranges)
            set.stream().forEach(known::setDone)
            if (known.isComplete) finishing += known
        }

        override fun evictedBefore(task: TaskId, times: Int) {
            jobs[task.job]?.evictions?.put(task.index, times)
        }

        override fun started(task: TaskId, machine: MachineId, session: Session, attempt: Attempt, zone: Zone) {
            // A job that is over by now has no record any more, and nothing of it runs.
            val job = jobs[task.job] ?: return
            if (task.index >= job.spec.tasks || job.done.get(task.index)) return
            job.live.get(task.index)?.let { older ->
                log.error("{} is listed twice, on {} and {}", task, older.machine, machine)
                release(older, now)
            }
            val known = machines.getOrPut(machine) {
                Machine(machine, null, null, false, MachineState.SILENT).apply { answeredAt = now; heardAt = now }
            }
            val assignment = Assignment(job, task.index, machine, session, attempt, zone, Phase.COMMITTED, now)
            assignment.written = true
            if (job.cancelled) assignment.stopGraceS = 0.0
            add(assignment, known)
        }

        override fun ended(task: TaskId, end: TaskEnd) {
            val job = jobs[task.job] ?: return
            if (end == TaskEnd.DONE && task.index < job.spec.tasks) {
                job.setDone(task.index)
                if (job.isComplete) finishing += job
            }
            if (end == TaskEnd.EVICTED) job.evictions.addTo(task.index, 1)
            job.live.get(task.index)?.let { release(it, now) }
        }

        override fun reserved(machine: MachineId, job: JobId, victims: List<TaskId>) {
            for (victim in victims) {
                val assignment = jobs[victim.job]?.live?.get(victim.index) ?: continue
                assignment.stopGraceS = assignment.stopGraceS ?: assignment.job.spec.saveS
                assignment.evicted = true
            }
        }
    }

    /**
     * What the store holds by now of tasks and machines, in parts of about [mostLength] characters. What ended since
     * is listed as live, and what is only intended is left out: the journal tells of both from here on.
     */
    fun describe(mostLength: Int): List<String> {
        val parts = ArrayList<String>()
        val text = JournalText()
        fun entry(write: () -> Unit) {
            if (text.length >= mostLength) parts += text.take()
            write()
        }
        for (job in jobs.values) {
            for (ranges in Ranges.encode(job.done, LONGEST_RANGES)) entry { text.done(job.id, ranges) }
            for (times in job.evictions.int2IntEntrySet()) {
                entry { text.evictedBefore("${job.id}/${times.intKey}", times.intValue) }
            }
            for (it in job.live.values) {
                if (it.written) entry { text.started(it.taskName, it.machine, it.session, it.attempt, it.zone) }
            }
        }
        if (text.length > 0) parts += text.take()
        return parts
    }

    /** Intends to run a task on a machine. Nothing may be sent before the journal says so. */
    fun assign(job: Job, index: Int, machine: Machine, now: Moment): Assignment {
        val assignment = Assignment(
            job, index, machine.id, checkNotNull(machine.session), Attempt(++lastAttempt), checkNotNull(machine.zone),
            Phase.INTENDED, now,
        )
        add(assignment, machine)
        machine.touchImage(job.spec.image, job.spec.imageGb, types[machine.type]?.cacheGb ?: 0.0)
        job.lastProgress = now
        job.lastStallReport = null
        unwritten += Unwritten.Started(assignment)
        return assignment
    }

    private fun add(assignment: Assignment, machine: Machine) {
        val job = assignment.job
        job.live.put(assignment.index, assignment)
        job.setOpen(assignment.index, false)
        machine.live[assignment.taskName] = assignment
        machine.used += job.perTask
        uses.merge(job.spec.team, job.perTask) { a, b -> a + b }
    }

    /** Notes that an assignment is off its machine; it is released once the store says so too. */
    fun end(assignment: Assignment, completed: Boolean) {
        if (assignment.phase >= Phase.ENDED) return
        assignment.phase = Phase.ENDED
        assignment.completed = completed
        val job = assignment.job
        if (completed) {
            job.setDone(assignment.index)
            if (job.isComplete) finishing += job
        } else if (assignment.evicted) {
            job.evictions.addTo(assignment.index, 1)
        }
        // What was only intended is released when its turn to be written comes.
        if (assignment.written || assignment.beingWritten) unwritten += Unwritten.Ended(assignment)
    }

    /** Releases what an ended assignment held. Called when the store no longer lists it. */
    fun release(assignment: Assignment, now: Moment) {
        if (assignment.phase == Phase.RELEASED) return
        assignment.phase = Phase.RELEASED
        val job = assignment.job
        job.live.remove(assignment.index)
        if (!job.done.get(assignment.index)) job.setOpen(assignment.index, true)
        machines[assignment.machine]?.let { machine ->
            if (machine.live.remove(assignment.taskName) != null) machine.used -= job.perTask
            if (machine.live.isEmpty()) {
                machine.idleSince = now
                // Rounding must not add up over a machine's life.
                machine.used = Resources.NONE
            }
        }
        uses.merge(job.spec.team, job.perTask) { a, b -> a - b }
    }

    /** Forgets a job that is over, with whatever it still had. */
    fun dropJob(job: Job, now: Moment) {
        for (assignment in job.live.values.toList()) release(assignment, now)
        jobs.remove(job.id)
        finishing.remove(job)
    }

    /** Ends every assignment on [machine] that belongs to a session before [session], or all where it is null. */
    fun endSession(machine: Machine, session: Session?) {
        for (assignment in machine.live.values) {
            if (session == null || assignment.session < session) end(assignment, completed = false)
        }
    }

    /** Removes a machine that the cloud has deleted. */
    fun buryMachine(id: MachineId, now: Moment) {
        tombstones[id] = now
        val machine = machines[id] ?: return
        endSession(machine, null)
        if (machine.live.isEmpty()) machines.remove(id) else machine.deleting = true
    }

    /**
     * Takes in a worker's report. Returns false where it is older than what is known already.
     * What it says of exits and sessions is final, so it needs no proof of being recent.
     */
    fun report(report: WorkerReport, now: Moment): Boolean {
        if (report.machine in tombstones) return false
        var machine = machines[report.machine]
        if (machine == null || machine.type == null) {
            val known = Machine(report.machine, report.type, report.zone, report.spot, MachineState.UP)
            known.rentedAt = machine?.rentedAt ?: now
            known.knownAt = machine?.knownAt ?: now
            known.idleSince = now
            machine?.let(known::takeOver)
            recalledImages.remove(report.machine)?.let(known::recallImages)
            machines[report.machine] = known
            machine = known
        }
        val session = machine.session
        if (session != null && (report.session < session || (report.session == session && report.tally <= machine.tally))) {
            return false
        }
        if (session == null || report.session > session) {
            endSession(machine, report.session)
            machine.mayStillStart.clear()
            machine.session = report.session
            machine.sessionSince = now
            machine.answeredTally = null
            // A session that nobody answered yet lives a full lease from its beginning, which may have been just now.
            machine.answeredAt = now
        }
        if (machine.state != MachineState.UP) {
            machine.state = MachineState.UP
            machine.idleSince = now
        }
        machine.tally = report.tally
        machine.address = report.address
        machine.heardAt = now
        if (report.noticeS != null && !machine.noticed) {
            machine.noticed = true
            machine.noticeS = report.noticeS
            log.info("machine {} will be taken in {} s", machine.id, report.noticeS)
        }
        readTasks(machine, report, now)
        return true
    }

    private fun readTasks(machine: Machine, report: WorkerReport, now: Moment) {
        val strangers = ArrayList<Stranger>()
        for (reported in report.tasks) {
            val assignment = machine.live[reported.task]
            if (assignment == null || assignment.attempt != reported.attempt || assignment.session != report.session) {
                strangers += Stranger(
                    reported.task, reported.attempt, reported.state == TaskState.EXITED, reported.cause == ExitCause.DONE,
                )
                continue
            }
            if (assignment.phase >= Phase.ENDED) continue
            if (reported.state == TaskState.RUNNING && assignment.runningSince == null) assignment.runningSince = now
            assignment.reported = reported.state
            if (reported.state == TaskState.EXITED) exited(machine, assignment, reported.cause, now)
        }
        machine.strangers = strangers
    }

    private fun exited(machine: Machine, assignment: Assignment, cause: ExitCause?, now: Moment) {
        val job = assignment.job
        end(assignment, completed = cause == ExitCause.DONE)
        when (cause) {
            ExitCause.DONE -> {
                machine.strikes.clear()
                job.failedOn.clear()
                job.failures = 0
                assignment.runningSince?.let { since ->
                    val runS = (now - since) / 1000.0
                    learnRun(job.spec.team, runS)
                    health.completedIn(machine, assignment, runS)
                }
            }
            ExitCause.FAILED -> health.failed(machine, job, now)
            // The worker's room and the ledger's differ for a moment, for instance while a killed task saves.
            ExitCause.NO_ROOM, ExitCause.BUSY -> machine.notBefore = now + REFUSED_PAUSE_MS
            ExitCause.UNKNOWN -> job.notBefore = now + REFUSED_PAUSE_MS
            else -> {}
        }
    }

    private fun learnRun(team: TeamId, runS: Double) {
        meanRunS.merge(team, runS) { old, new -> old * runDecay + new * (1 - runDecay) }
    }

    /** Estimate of the whole run of one of the job's tasks, in seconds. */
    fun runEstimateS(job: Job): Double =
        if (job.spec.estimateS > 0) job.spec.estimateS else meanRunS[job.spec.team] ?: UNKNOWN_RUN_S

    private companion object {
        const val ATTEMPT_BITS = 32
        const val LONGEST_RANGES = 300
        const val REFUSED_PAUSE_MS = 1000L
        const val UNKNOWN_RUN_S = 60.0
    }
}
