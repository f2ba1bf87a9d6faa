package mountmast.coordination.state

import mountmast.protocol.Attempt
import mountmast.protocol.FencingToken
import mountmast.protocol.MonotonicTime
import mountmast.protocol.Resources
import mountmast.protocol.TeamId
import mountmast.protocol.WorkerIncarnation

/**
 * Moves assignments through their life cycle, from the placement decision to the release. Guarded by the lock of the leader's term.
 *
 * An assignment is ended only on evidence that cannot be outdated: the worker reports that the attempt has exited, the worker's
 * incarnation has ended, or the machine is deleted. A heartbeat that merely does not list a task proves nothing, since the start
 * command may still be on its way. Even with that evidence the assignment keeps its resources until the store no longer lists it,
 * because the next leader would restore it from the store and start the task again.
 */
class AssignmentLifecycle internal constructor(private val cluster: ClusterState, private val losses: TaskLosses) {
    private val usage = TeamUsage()

    /**
     * The number of the last attempt. Numbers start at the term shifted by [ATTEMPT_BITS]; each term has only one leader, so no number
     * is ever used twice.
     */
    private var lastAttempt = 0uL

    /** Numbers the attempts from here on within the term of [token]. */
    fun beginTerm(token: FencingToken) {
        lastAttempt = token.term shl ATTEMPT_BITS
    }

    /** The resources of all assignments of [team] that are not released. */
    fun usageOf(team: TeamId): Resources = usage.usageOf(team)

    /**
     * Assigns the task [index] of [job] to [machine], whose incarnation and zone must be known. The start command may be sent only
     * once the journal lists the assignment.
     */
    fun assign(job: Job, index: Int, machine: Machine, now: MonotonicTime): Assignment {
        val placement = Placement(machine.id, checkNotNull(machine.incarnation), checkNotNull(machine.zone))
        val assignment = Assignment(job, index, placement, Attempt(++lastAttempt), Phase.INTENDED)
        place(assignment, machine)
        machine.touchImage(job.spec.image, job.spec.imageGb, cluster.machineTypes[machine.type]?.cacheGb ?: 0.0)
        job.recordPlacement(now)
        cluster.pendingChanges += PendingChange.Started(assignment)
        return assignment
    }

    /**
     * Restores, at [now], an assignment that the journal lists as started. A machine that is not known yet is added by its name
     * only. An earlier leader may have received heartbeats from that machine, and renewed its worker's lease, until [now].
     */
    fun restore(job: Job, index: Int, placement: Placement, attempt: Attempt, now: MonotonicTime) {
        val machine = cluster.machines.getOrPut(placement.machine) {
            Machine(placement.machine, null, null, false, MachineState.SILENT).apply { worker.assumeHeartbeat(now) }
        }
        val assignment = Assignment(job, index, placement, attempt, Phase.COMMITTED)
        assignment.markJournaled()
        if (job.isCancelled) assignment.stopAtOnce()
        place(assignment, machine)
    }

    /** Adds [assignment] to its job, to [machine] and to the usage of its team. */
    private fun place(assignment: Assignment, machine: Machine) {
        val job = assignment.job
        job.unreleasedAssignments.put(assignment.index, assignment)
        job.setOpen(assignment.index, false)
        machine.addAssignment(assignment)
        usage.add(job.spec.team, job.perTask)
    }

    /**
     * Ends [assignment], whose task no longer runs on its machine. It is released once the store no longer lists it. Does nothing if
     * it has ended before.
     */
    fun end(assignment: Assignment, completed: Boolean) {
        if (assignment.phase >= Phase.ENDED) return
        assignment.markEnded(completed)
        val job = assignment.job
        if (completed) {
            cluster.completeTask(job, assignment.index)
        } else if (assignment.isPreempted) {
            job.countPreemption(assignment.index)
        }
        // An assignment that no transaction lists is released when its pending start is collected for the journal.
        if (assignment.isJournaled || assignment.isBeingJournaled) cluster.pendingChanges += PendingChange.Ended(assignment)
    }

    /** Ends the assignments on [machine] that belong to incarnations before [incarnation], or all of them if [incarnation] is null. */
    fun endIncarnation(machine: Machine, incarnation: WorkerIncarnation?, cause: LossCause) {
        for (assignment in machine.unreleasedAssignments.values) {
            val isEnded = incarnation == null || assignment.incarnation < incarnation
            if (!isEnded || assignment.phase >= Phase.ENDED) continue
            losses.record(cause)
            end(assignment, completed = false)
        }
    }

    /** Frees the resources of an ended assignment that the store no longer lists. Does nothing if the assignment was released before. */
    fun release(assignment: Assignment, now: MonotonicTime) {
        if (assignment.phase == Phase.RELEASED) return
        assignment.markReleased()
        val job = assignment.job
        job.unreleasedAssignments.remove(assignment.index)
        if (!job.done.get(assignment.index)) job.setOpen(assignment.index, true)
        cluster.machines[assignment.machine]?.let { machine ->
            machine.removeAssignment(assignment, now)
            if (machine.unreleasedAssignments.isEmpty() && machine.isDeleting && machine.id in cluster.tombstones) {
                cluster.machines.remove(machine.id)
            }
        }
        usage.subtract(job.spec.team, job.perTask)
    }

    private companion object {
        const val ATTEMPT_BITS = 32
    }
}
