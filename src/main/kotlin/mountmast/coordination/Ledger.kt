package mountmast.coordination

import mountmast.protocol.Attempt
import mountmast.protocol.ExitCause
import mountmast.protocol.ImageId
import mountmast.protocol.JobId
import mountmast.protocol.MachineId
import mountmast.protocol.MachineType
import mountmast.protocol.MonotonicTime
import mountmast.protocol.Resources
import mountmast.protocol.Session
import mountmast.protocol.Stamp
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

/**
 * Everything the leader knows: jobs, tasks, machines and what each team uses. Not thread-safe: guarded by the
 * [LeaderTerm]'s lock, and does no I/O.
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
    val tombstones = LinkedHashMap<MachineId, MonotonicTime>()
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

    /** Begins the numbers of this term's attempts: a term is led once, so none is ever used twice. */
    private var lastAttempt = 0uL

    /** Sets the term in which attempts are given. */
    fun beginTerm(term: Term) {
        lastAttempt = term.election shl ATTEMPT_BITS
    }

    /** What the tasks of [team] take that may be on a machine. */
    fun use(team: TeamId): Resources = uses[team] ?: Resources.NONE

    /** Takes in a job record as the store has it; all changes before [knownUpTo] had been taken in until now. */
    fun putJob(record: JobRecord, stamp: Stamp, now: MonotonicTime, knownUpTo: WallTime = WallTime(0)): Job {
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
        jobs.values.filter { it.cancelled && !it.nothingLives() }.minOfOrNull { it.cancelledAfter }?.let { minOf(it, knownUpTo) }
            ?: knownUpTo

    /** Rebuilds from what earlier leaders wrote. */
    fun replay(now: MonotonicTime) = object : JournalReader {
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
                Machine(machine, null, null, false, MachineState.SILENT).apply {
                    answeredAt = now
                    heardAt = now
                }
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
     * What the store holds by now of tasks and machines. What ended since is listed as live, and what is only intended is
     * left out: the journal tells of both from here on.
     */
    fun describe(): String {
        val text = JournalText()
        for (job in jobs.values) {
            for (ranges in Ranges.encode(job.done, LONGEST_RANGES)) text.done(job.id, ranges)
            for (times in job.evictions.int2IntEntrySet()) text.evictedBefore("${job.id}/${times.intKey}", times.intValue)
            for (it in job.live.values) if (it.written) text.started(it.taskName, it.machine, it.session, it.attempt, it.zone)
        }
        return text.take()
    }

    /** Intends to run a task on a machine. Nothing may be sent before the journal says so. */
    fun assign(job: Job, index: Int, machine: Machine, now: MonotonicTime): Assignment {
        val assignment = Assignment(
            job,
            index,
            machine.id,
            checkNotNull(machine.session),
            Attempt(++lastAttempt),
            checkNotNull(machine.zone),
            Phase.INTENDED,
            now,
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
    fun release(assignment: Assignment, now: MonotonicTime) {
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
                if (machine.deleting && machine.id in tombstones) machines.remove(machine.id)
            }
        }
        uses.merge(job.spec.team, job.perTask) { a, b -> a - b }
    }

    /** Forgets a job that is over, with whatever it still had. */
    fun dropJob(job: Job, now: MonotonicTime) {
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
    fun markDeleted(id: MachineId, now: MonotonicTime) {
        tombstones[id] = now
        val machine = machines[id] ?: return
        endSession(machine, null)
        if (machine.live.isEmpty()) machines.remove(id) else machine.deleting = true
    }

    /**
     * Takes in a worker's report. Returns false where it is older than what is known already.
     * What it says of exits and sessions is final, so it needs no proof of being recent.
     */
    fun report(report: WorkerReport, now: MonotonicTime): Boolean {
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
        if (session != null && (report.session < session || (report.session == session && report.reportNumber <= machine.reportNumber))) {
            return false
        }
        if (session == null || report.session > session) {
            endSession(machine, report.session)
            machine.mayStillStart.clear()
            machine.session = report.session
            machine.sessionSince = now
            machine.answeredReport = null
            // A session that nobody answered yet lives a full lease from its beginning, which may have been just now.
            machine.answeredAt = now
        }
        if (machine.state != MachineState.UP) {
            machine.state = MachineState.UP
            machine.idleSince = now
        }
        machine.reportNumber = report.reportNumber
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

    private fun readTasks(machine: Machine, report: WorkerReport, now: MonotonicTime) {
        val unknownTasks = ArrayList<UnknownTask>()
        for (reported in report.tasks) {
            val assignment = machine.live[reported.task]
            if (assignment == null || assignment.attempt != reported.attempt || assignment.session != report.session) {
                unknownTasks += UnknownTask(
                    reported.task,
                    reported.attempt,
                    reported.state == TaskState.EXITED,
                    reported.cause == ExitCause.DONE,
                )
                continue
            }
            if (assignment.phase >= Phase.ENDED) continue
            if (reported.state == TaskState.RUNNING && assignment.runningSince == null) assignment.runningSince = now
            assignment.reported = reported.state
            if (reported.state == TaskState.EXITED) exited(machine, assignment, reported.cause, now)
        }
        machine.unknownTasks = unknownTasks
    }

    private fun exited(machine: Machine, assignment: Assignment, cause: ExitCause?, now: MonotonicTime) {
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
    fun runEstimateS(job: Job): Double = if (job.spec.estimateS > 0) job.spec.estimateS else meanRunS[job.spec.team] ?: UNKNOWN_RUN_S

    private companion object {
        const val ATTEMPT_BITS = 32
        const val LONGEST_RANGES = 300
        const val REFUSED_PAUSE_MS = 1000L
        const val UNKNOWN_RUN_S = 60.0
    }
}
