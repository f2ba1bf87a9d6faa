package mountmast.coordination.workers

import mountmast.coordination.state.Assignment
import mountmast.coordination.state.ClusterState
import mountmast.coordination.state.LossCause
import mountmast.coordination.state.Machine
import mountmast.coordination.state.MachineState
import mountmast.coordination.state.Phase
import mountmast.coordination.state.UnassignedTask
import mountmast.protocol.ExitCause
import mountmast.protocol.Heartbeat
import mountmast.protocol.MonotonicTime
import mountmast.protocol.ReportedTask
import mountmast.protocol.TaskState
import org.slf4j.LoggerFactory

private val log = LoggerFactory.getLogger("mountmast.ledger")

/** Whether [HeartbeatReconciler.reconcile] applied a heartbeat to the cluster state. */
sealed interface HeartbeatReconciliation {
    /** The heartbeat was newer than the last one reconciled for its machine; the state of [machine] now matches the heartbeat. */
    class Applied(val machine: Machine) : HeartbeatReconciliation

    /** The heartbeat is not newer than the last one reconciled for its machine, or its machine was deleted: nothing was changed. */
    data object Stale : HeartbeatReconciliation
}

/**
 * Reconciles the cluster state with workers' heartbeats. The exits and incarnations that a heartbeat reports are final, so a heartbeat is
 * applied without proof that it is recent. Guarded by the lock of the leader's term.
 */
class HeartbeatReconciler(private val cluster: ClusterState) {
    /** Applies [heartbeat], received at [now], to the cluster state unless it is stale. */
    fun reconcile(heartbeat: Heartbeat, now: MonotonicTime): HeartbeatReconciliation {
        if (heartbeat.machine in cluster.tombstones) return HeartbeatReconciliation.Stale
        val machine = findOrAddMachine(heartbeat, now)
        if (!isNewer(heartbeat, machine)) return HeartbeatReconciliation.Stale
        if (machine.incarnation.let { it == null || heartbeat.incarnation > it }) {
            cluster.assignments.endIncarnation(machine, heartbeat.incarnation, LossCause.NEW_INCARNATION)
            machine.beginIncarnation(heartbeat.incarnation, now)
        }
        machine.markUp(now)
        machine.worker.recordHeartbeat(heartbeat.sequence, heartbeat.address, now)
        heartbeat.reclaimNoticeS?.let { recordReclaimNotice(machine, it) }
        reconcileTasks(machine, heartbeat, now)
        return HeartbeatReconciliation.Applied(machine)
    }

    /** Returns the machine of [heartbeat], added if unknown. A machine known only by name gets its type and zone from the heartbeat. */
    private fun findOrAddMachine(heartbeat: Heartbeat, now: MonotonicTime): Machine {
        val knownMachine = cluster.machines[heartbeat.machine]
        if (knownMachine?.type != null) return knownMachine
        val machine = Machine(heartbeat.machine, heartbeat.type, heartbeat.zone, heartbeat.spot, MachineState.UP)
        machine.rental.recordRental(rented = knownMachine?.rentedAt ?: now, known = knownMachine?.knownAt ?: now)
        machine.rental.markIdle(now)
        knownMachine?.let(machine::inheritAssignments)
        cluster.putMachine(machine)
        return machine
    }

    private fun isNewer(heartbeat: Heartbeat, machine: Machine): Boolean {
        val incarnation = machine.incarnation ?: return true
        return heartbeat.incarnation > incarnation || (heartbeat.incarnation == incarnation && heartbeat.sequence > machine.sequence)
    }

    private fun recordReclaimNotice(machine: Machine, reclaimNoticeS: Double) {
        if (machine.isReclaimNoticed) return
        machine.rental.recordReclaimNotice(reclaimNoticeS)
        log.info("machine={} will be reclaimed by the cloud in {} s", machine.id, reclaimNoticeS)
    }

    private fun reconcileTasks(machine: Machine, heartbeat: Heartbeat, now: MonotonicTime) {
        val unassignedTasks = ArrayList<UnassignedTask>()
        for (reported in heartbeat.tasks) {
            val assignment = machine.unreleasedAssignments[reported.task]
                ?.takeIf { it.attempt == reported.attempt && it.incarnation == heartbeat.incarnation }
            if (assignment == null) unassignedTasks += toUnassignedTask(reported) else reconcileTask(machine, assignment, reported, now)
        }
        machine.worker.replaceUnassignedTasks(unassignedTasks)
    }

    private fun toUnassignedTask(reported: ReportedTask) =
        UnassignedTask(reported.task, reported.attempt, reported.state == TaskState.EXITED, reported.cause == ExitCause.DONE)

    private fun reconcileTask(machine: Machine, assignment: Assignment, reported: ReportedTask, now: MonotonicTime) {
        if (assignment.phase >= Phase.ENDED) return
        assignment.recordReported(reported.state, now)
        if (reported.state == TaskState.RUNNING) cluster.health.recordRunning(assignment, now)
        if (reported.state == TaskState.EXITED) endExitedAssignment(machine, assignment, reported.cause, now)
    }

    private fun endExitedAssignment(machine: Machine, assignment: Assignment, cause: ExitCause?, now: MonotonicTime) {
        val job = assignment.job
        cluster.assignments.end(assignment, completed = cause == ExitCause.DONE)
        when (cause) {
            ExitCause.DONE -> recordCompletion(machine, assignment, now)
            ExitCause.FAILED -> cluster.health.recordFailure(machine, job, runTimeS(assignment, now) ?: 0.0, now)
            // A worker's free capacity differs briefly from the cluster state, for example while a stopped task saves its progress.
            ExitCause.NO_ROOM, ExitCause.BUSY -> machine.health.pausePlacementUntil(now + REJECTION_PAUSE_MS)
            ExitCause.UNKNOWN -> job.recentFailures.pausePlacementUntil(now + REJECTION_PAUSE_MS)
            else -> {}
        }
    }

    private fun recordCompletion(machine: Machine, assignment: Assignment, now: MonotonicTime) {
        val job = assignment.job
        machine.health.clearFailures()
        job.recentFailures.clear()
        val runS = runTimeS(assignment, now) ?: return
        cluster.estimates.recordRun(job.spec.team, runS)
        cluster.health.recordCompletion(machine, assignment, runS)
    }

    /** Returns for how long the task of [assignment] has been reported as running at [now], in seconds; null if it never was. */
    private fun runTimeS(assignment: Assignment, now: MonotonicTime): Double? = assignment.runningSince?.let { (now - it) / MS_PER_S }

    private companion object {
        /**
         * How long after a worker has rejected a start no task is placed on its machine or, if the cause is [ExitCause.UNKNOWN], no task
         * of the job is placed on any machine.
         */
        const val REJECTION_PAUSE_MS = 1000L
        const val MS_PER_S = 1000.0
    }
}
