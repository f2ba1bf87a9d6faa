package mountmast.coordination.state

import mountmast.protocol.Attempt
import mountmast.protocol.FencingToken
import mountmast.protocol.MonotonicTime
import mountmast.protocol.Resources
import mountmast.protocol.TeamId
import mountmast.protocol.WorkerIncarnation

/**
 * The steps of an assignment, from the decision to its release. Guarded as its [ClusterState] is.
 *
 * A task is freed only on evidence that cannot be outdated: the worker says that the attempt has exited, the worker's
 * incarnation has ended, or the machine is deleted. A heartbeat that merely lacks a task proves nothing, since its start may be
 * under way. Even then the task counts until the store no longer lists it, because the next leader would start it again
 * from there.
 */
class AssignmentLifecycle internal constructor(private val cluster: ClusterState, private val losses: TaskLosses) {
    private val usage = TeamUsage()

    /** Begins the numbers of this term's attempts: a term is led once, so none is ever used twice. */
    private var lastAttempt = 0uL

    /** Sets the term in which attempts are given. */
    fun beginTerm(token: FencingToken) {
        lastAttempt = token.term shl ATTEMPT_BITS
    }

    /** What the tasks of [team] take that may be on a machine. */
    fun usageOf(team: TeamId): Resources = usage.of(team)

    /**
     * Assigns the task [index] of [job] to [machine], whose incarnation and zone are known. Nothing may be sent before the
     * journal lists the assignment.
     */
    fun assign(job: Job, index: Int, machine: Machine, now: MonotonicTime): Assignment {
        val placement = Placement(machine.id, checkNotNull(machine.incarnation), checkNotNull(machine.zone))
        val assignment = Assignment(job, index, placement, Attempt(++lastAttempt), Phase.INTENDED)
        place(assignment, machine)
        machine.touchImage(job.spec.image, job.spec.imageGb, cluster.types[machine.type]?.cacheGb ?: 0.0)
        job.recordPlacement(now)
        cluster.pendingChanges += PendingChange.Started(assignment)
        return assignment
    }

    /**
     * Restores, as of [now], an assignment that the journal lists as started. Its machine is known by name from then on, and may
     * have been heard and answered by an earlier leader until [now].
     */
    fun restore(job: Job, index: Int, placement: Placement, attempt: Attempt, now: MonotonicTime) {
        val machine = cluster.machines.getOrPut(placement.machine) {
            Machine(placement.machine, null, null, false, MachineState.SILENT).apply { worker.assumeHeartbeat(now) }
        }
        val assignment = Assignment(job, index, placement, attempt, Phase.COMMITTED)
        assignment.markJournaled()
        if (job.cancelled) assignment.stopAtOnce()
        place(assignment, machine)
    }

    /** Counts [assignment] as being on [machine]. */
    private fun place(assignment: Assignment, machine: Machine) {
        val job = assignment.job
        job.live.put(assignment.index, assignment)
        job.setOpen(assignment.index, false)
        machine.addAssignment(assignment)
        usage.add(job.spec.team, job.perTask)
    }

    /** Records that [assignment] is off its machine; it is released once the store says so too. Does nothing if it has ended. */
    fun end(assignment: Assignment, completed: Boolean) {
        if (assignment.phase >= Phase.ENDED) return
        assignment.markEnded(completed)
        val job = assignment.job
        if (completed) {
            cluster.completeTask(job, assignment.index)
        } else if (assignment.preempted) {
            job.countPreemption(assignment.index)
        }
        // What was only intended is released when its turn to be written comes.
        if (assignment.written || assignment.isBeingJournaled) cluster.pendingChanges += PendingChange.Ended(assignment)
    }

    /** Ends every assignment on [machine] of an incarnation before [incarnation], or all of them if that is null. */
    fun endIncarnation(machine: Machine, incarnation: WorkerIncarnation?, cause: LossCause) {
        for (assignment in machine.live.values) {
            val isEnded = incarnation == null || assignment.incarnation < incarnation
            if (!isEnded || assignment.phase >= Phase.ENDED) continue
            losses.record(cause)
            end(assignment, completed = false)
        }
    }

    /** Releases what an ended assignment took, once the store no longer lists it. Does nothing if it was released. */
    fun release(assignment: Assignment, now: MonotonicTime) {
        if (assignment.phase == Phase.RELEASED) return
        assignment.markReleased()
        val job = assignment.job
        job.live.remove(assignment.index)
        if (!job.done.get(assignment.index)) job.setOpen(assignment.index, true)
        cluster.machines[assignment.machine]?.let { machine ->
            machine.removeAssignment(assignment, now)
            if (machine.live.isEmpty() && machine.isDeleting && machine.id in cluster.tombstones) cluster.machines.remove(machine.id)
        }
        usage.subtract(job.spec.team, job.perTask)
    }

    private companion object {
        const val ATTEMPT_BITS = 32
    }
}
