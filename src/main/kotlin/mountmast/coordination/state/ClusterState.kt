package mountmast.coordination.state

import mountmast.protocol.Attempt
import mountmast.protocol.FencingToken
import mountmast.protocol.ImageId
import mountmast.protocol.JobId
import mountmast.protocol.MachineId
import mountmast.protocol.MachineType
import mountmast.protocol.MachineTypes
import mountmast.protocol.ModRevision
import mountmast.protocol.MonotonicTime
import mountmast.protocol.Resources
import mountmast.protocol.TeamId
import mountmast.protocol.TypeId
import mountmast.protocol.WallTime
import mountmast.protocol.WorkerIncarnation
import mountmast.storage.JobRecord
import mountmast.storage.JournalText
import mountmast.storage.Ranges

/**
 * Everything the leader knows: jobs, tasks, machines and what each team uses. Not thread-safe: guarded by the
 * lock of the leader's term, and does no I/O.
 *
 * The ledger frees a task only on evidence that cannot be outdated: the worker says that the attempt has exited,
 * its session is over, or the machine is deleted. A report that merely lacks a task proves nothing, since its start
 * may be under way. Even then the task counts until the store no longer lists it, because the next leader would
 * start it again from there.
 */
class ClusterState(private val runDecay: Double, private val losses: TaskLosses = TaskLosses()) {
    val jobs = LinkedHashMap<JobId, Job>()
    val machines = LinkedHashMap<MachineId, Machine>()

    /** Machines that were deleted, kept so that stale lists and late reports do not bring them back. */
    val tombstones = LinkedHashMap<MachineId, MonotonicTime>()
    val types = LinkedHashMap<TypeId, MachineType>()

    /** Images of machines that were not heard from yet, as the leader before noted them. */
    val recalledImages = HashMap<MachineId, Map<ImageId, Double>>()
    private val uses = HashMap<TeamId, Resources>()

    /** Mean run time of each team's tasks, recent ones counting more; for jobs without an estimate. */
    val meanRunS = HashMap<TeamId, Double>()

    /** Which machines and jobs fail or are slow. */
    val health = Health(this)

    /** What is still to be written. */
    val pendingChanges = ArrayDeque<PendingChange>()

    /** Jobs that are complete or cancelled; over once nothing of them lives. */
    val finishing = LinkedHashSet<Job>()

    /** Begins the numbers of this term's attempts: a term is led once, so none is ever used twice. */
    private var lastAttempt = 0uL

    /** Sets the term in which attempts are given. */
    fun beginTerm(token: FencingToken) {
        lastAttempt = token.term shl ATTEMPT_BITS
    }

    /** Takes over the machine types as the cloud or the store has them. */
    fun replaceTypes(machineTypes: MachineTypes) {
        types.clear()
        for (type in machineTypes.types) types[type.id] = type
    }

    /** What the tasks of [team] take that may be on a machine. */
    fun use(team: TeamId): Resources = uses[team] ?: Resources.NONE

    /** Takes in a job record as the store has it; all changes before [knownUpTo] had been taken in until now. */
    fun putJob(record: JobRecord, modRevision: ModRevision, now: MonotonicTime, knownUpTo: WallTime = WallTime(0)): Job {
        val job = jobs.getOrPut(record.spec.id) {
            Job(record.spec, record.submitted, modRevision).apply {
                learnedAt = now
                recordProgress(now)
            }
        }
        job.modRevision = modRevision
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

    /**
     * What the store holds by now of tasks and machines. What ended since is listed as live, and what is only intended is
     * left out: the journal tells of both from here on.
     */
    fun describe(): String {
        val text = JournalText()
        for (job in jobs.values) {
            for (ranges in Ranges.encode(job.done, LONGEST_RANGES)) text.done(job.id, ranges)
            for (times in job.preemptions.int2IntEntrySet()) text.preemptedBefore("${job.id}/${times.intKey}", times.intValue)
            for (it in job.live.values) if (it.written) text.started(it.taskName, it.machine, it.incarnation, it.attempt, it.zone)
        }
        return text.take()
    }

    /** Intends to run a task on a machine. Nothing may be sent before the journal says so. */
    fun assign(job: Job, index: Int, machine: Machine, now: MonotonicTime): Assignment {
        val assignment = Assignment(
            job,
            index,
            Placement(machine.id, checkNotNull(machine.incarnation), checkNotNull(machine.zone)),
            Attempt(++lastAttempt),
            Phase.INTENDED,
            now,
        )
        place(assignment, machine)
        machine.touchImage(job.spec.image, job.spec.imageGb, types[machine.type]?.cacheGb ?: 0.0)
        job.recordPlacement(now)
        pendingChanges += PendingChange.Started(assignment)
        return assignment
    }

    /** Notes that [assignment] takes its room on [machine]. */
    internal fun place(assignment: Assignment, machine: Machine) {
        val job = assignment.job
        job.live.put(assignment.index, assignment)
        job.setOpen(assignment.index, false)
        machine.live[assignment.taskName] = assignment
        machine.used += job.perTask
        uses.merge(job.spec.team, job.perTask) { a, b -> a + b }
    }

    /**
     * Restores, as of [now], an assignment that the journal lists as started. Its machine is known by name from then on, and may
     * have been heard and answered by an earlier leader until [now].
     */
    fun restoreAssignment(job: Job, index: Int, placement: Placement, attempt: Attempt, now: MonotonicTime) {
        val machine = machines.getOrPut(placement.machine) {
            Machine(placement.machine, null, null, false, MachineState.SILENT).apply { worker.assumeHeartbeat(now) }
        }
        val assignment = Assignment(job, index, placement, attempt, Phase.COMMITTED, now)
        assignment.markJournaled()
        if (job.cancelled) assignment.stopAtOnce()
        place(assignment, machine)
    }

    /** Adds [machine], or puts it in the place of the one that was known only by its name, with the images recalled for it. */
    fun putMachine(machine: Machine) {
        recalledImages.remove(machine.id)?.let(machine::recallImages)
        machines[machine.id] = machine
    }

    /** Records that the task [index] of [job] is done; a job that is complete by that is to be finished. */
    fun completeTask(job: Job, index: Int) {
        job.setDone(index)
        finishIfComplete(job)
    }

    /** Has [job] finished if all of its tasks are done. */
    fun finishIfComplete(job: Job) {
        if (job.isComplete) finishing += job
    }

    /** Forgets the machines that were deleted more than [ageMs] before [now]. */
    fun forgetTombstones(ageMs: Long, now: MonotonicTime) {
        val forgotten = tombstones.entries.takeWhile { now - it.value > ageMs }.map { it.key }
        tombstones.keys.removeAll(forgotten.toSet())
    }

    /** Notes that an assignment is off its machine; it is released once the store says so too. */
    fun end(assignment: Assignment, completed: Boolean) {
        if (assignment.phase >= Phase.ENDED) return
        assignment.phase = Phase.ENDED
        assignment.completed = completed
        val job = assignment.job
        if (completed) {
            completeTask(job, assignment.index)
        } else if (assignment.preempted) {
            job.countPreemption(assignment.index)
        }
        // What was only intended is released when its turn to be written comes.
        if (assignment.written || assignment.beingWritten) pendingChanges += PendingChange.Ended(assignment)
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
                machine.rental.markIdle(now)
                // Rounding must not add up over a machine's life.
                machine.used = Resources.NONE
                if (machine.deleting && machine.id in tombstones) machines.remove(machine.id)
            }
        }
        uses.merge(job.spec.team, job.perTask) { a, b -> a - b }
    }

    /** Forgets a job that is over, with whatever it still had. */
    fun removeJob(job: Job, now: MonotonicTime) {
        for (assignment in job.live.values.toList()) release(assignment, now)
        jobs.remove(job.id)
        finishing.remove(job)
    }

    /** Ends every assignment on [machine] that belongs to a session before [incarnation], or all where it is null. */
    fun endIncarnation(machine: Machine, incarnation: WorkerIncarnation?, cause: LossCause) {
        for (assignment in machine.live.values) {
            val isEnded = incarnation == null || assignment.incarnation < incarnation
            if (!isEnded || assignment.phase >= Phase.ENDED) continue
            losses.note(cause)
            end(assignment, completed = false)
        }
    }

    /** Removes a machine that the cloud has deleted. */
    fun markDeleted(id: MachineId, now: MonotonicTime) {
        tombstones[id] = now
        val machine = machines[id] ?: return
        endIncarnation(machine, null, LossCause.MACHINE_DELETED)
        if (machine.live.isEmpty()) machines.remove(id) else machine.rental.beginDeletion()
    }

    /** A task of [team] ran for [runS]. */
    fun learnRun(team: TeamId, runS: Double) {
        meanRunS.merge(team, runS) { old, new -> old * runDecay + new * (1 - runDecay) }
    }

    /** Estimate of the whole run of one of the job's tasks, in seconds. */
    fun runEstimateS(job: Job): Double = if (job.spec.estimateS > 0) job.spec.estimateS else meanRunS[job.spec.team] ?: UNKNOWN_RUN_S

    private companion object {
        const val ATTEMPT_BITS = 32
        const val LONGEST_RANGES = 300
        const val UNKNOWN_RUN_S = 60.0
    }
}
