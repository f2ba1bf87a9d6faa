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
import mountmast.protocol.HeartbeatSequence
import mountmast.protocol.MonotonicTime
import mountmast.protocol.ReportedTask
import mountmast.protocol.TaskState
import org.slf4j.LoggerFactory

private val log = LoggerFactory.getLogger("mountmast.ledger")

/**
 * Brings what workers report into [cluster]. What a report says of exits and sessions is final, so it needs no proof of being
 * recent. Guarded as the ledger is.
 */
class HeartbeatReconciler(private val cluster: ClusterState) {
    /** Returns false where the report is older than what is known already. */
    fun take(heartbeat: Heartbeat, now: MonotonicTime): Boolean {
        if (heartbeat.machine in cluster.tombstones) return false
        val machine = knownMachine(heartbeat, now)
        if (!isNews(machine, heartbeat)) return false
        if (machine.incarnation.let { it == null || heartbeat.incarnation > it }) beginIncarnation(machine, heartbeat, now)
        if (machine.state != MachineState.UP) {
            machine.state = MachineState.UP
            machine.idleSince = now
        }
        machine.sequence = heartbeat.sequence
        machine.address = heartbeat.address
        machine.heardAt = now
        heartbeat.reclaimNoticeS?.let { takeNotice(machine, it) }
        readTasks(machine, heartbeat, now)
        return true
    }

    /** The machine that reports; one that was known only by name gets its kind from the report. */
    private fun knownMachine(heartbeat: Heartbeat, now: MonotonicTime): Machine {
        val before = cluster.machines[heartbeat.machine]
        if (before?.type != null) return before
        val machine = Machine(heartbeat.machine, heartbeat.type, heartbeat.zone, heartbeat.spot, MachineState.UP)
        machine.rentedAt = before?.rentedAt ?: now
        machine.knownAt = before?.knownAt ?: now
        machine.idleSince = now
        before?.let(machine::takeOver)
        cluster.recalledImages.remove(heartbeat.machine)?.let(machine::recallImages)
        cluster.machines[heartbeat.machine] = machine
        return machine
    }

    private fun isNews(machine: Machine, heartbeat: Heartbeat): Boolean {
        val incarnation = machine.incarnation ?: return true
        return heartbeat.incarnation > incarnation || (heartbeat.incarnation == incarnation && heartbeat.sequence > machine.sequence)
    }

    private fun beginIncarnation(machine: Machine, heartbeat: Heartbeat, now: MonotonicTime) {
        cluster.endIncarnation(machine, heartbeat.incarnation, LossCause.NEW_INCARNATION)
        machine.mayStillStart.clear()
        machine.incarnation = heartbeat.incarnation
        machine.incarnationSince = now
        machine.answeredSequence = null
        machine.answeredHeartbeatSequence = HeartbeatSequence(0u)
        // A session that nobody answered yet lives a full lease from its beginning, which may have been just now.
        machine.leaseRenewedAt = now
    }

    private fun takeNotice(machine: Machine, reclaimNoticeS: Double) {
        if (machine.reclaimNoticed) return
        machine.reclaimNoticed = true
        machine.reclaimNoticeS = reclaimNoticeS
        log.info("machine {} will be taken in {} s", machine.id, reclaimNoticeS)
    }

    private fun readTasks(machine: Machine, heartbeat: Heartbeat, now: MonotonicTime) {
        val unassignedTasks = ArrayList<UnassignedTask>()
        for (reported in heartbeat.tasks) {
            val assignment = machine.live[reported.task]?.takeIf { it.attempt == reported.attempt && it.incarnation == heartbeat.incarnation }
            if (assignment == null) unassignedTasks += unknown(reported) else readTask(machine, assignment, reported, now)
        }
        machine.unassignedTasks = unassignedTasks
    }

    private fun unknown(reported: ReportedTask) =
        UnassignedTask(reported.task, reported.attempt, reported.state == TaskState.EXITED, reported.cause == ExitCause.DONE)

    private fun readTask(machine: Machine, assignment: Assignment, reported: ReportedTask, now: MonotonicTime) {
        if (assignment.phase >= Phase.ENDED) return
        if (reported.state == TaskState.RUNNING && assignment.runningSince == null) assignment.runningSince = now
        assignment.reported = reported.state
        if (reported.state == TaskState.EXITED) exited(machine, assignment, reported.cause, now)
    }

    private fun exited(machine: Machine, assignment: Assignment, cause: ExitCause?, now: MonotonicTime) {
        val job = assignment.job
        cluster.end(assignment, completed = cause == ExitCause.DONE)
        when (cause) {
            ExitCause.DONE -> completed(machine, assignment, now)
            ExitCause.FAILED -> cluster.health.failed(machine, job, now)
            // The worker's room and the ledger's differ for a moment, for instance while a killed task saves.
            ExitCause.NO_ROOM, ExitCause.BUSY -> machine.notBefore = now + REFUSED_PAUSE_MS
            ExitCause.UNKNOWN -> job.notBefore = now + REFUSED_PAUSE_MS
            else -> {}
        }
    }

    private fun completed(machine: Machine, assignment: Assignment, now: MonotonicTime) {
        val job = assignment.job
        machine.strikes.clear()
        job.failedOn.clear()
        job.failures = 0
        val since = assignment.runningSince ?: return
        val runS = (now - since) / MS_PER_S
        cluster.learnRun(job.spec.team, runS)
        cluster.health.completedIn(machine, assignment, runS)
    }

    private companion object {
        const val REFUSED_PAUSE_MS = 1000L
        const val MS_PER_S = 1000.0
    }
}
