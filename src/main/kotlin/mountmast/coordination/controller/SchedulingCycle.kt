package mountmast.coordination.controller

import mountmast.coordination.scheduling.Preemption
import mountmast.coordination.scheduling.Scheduler
import mountmast.coordination.scheduling.SchedulingPlan
import mountmast.coordination.scheduling.SchedulingPolicy
import mountmast.coordination.scheduling.Start
import mountmast.coordination.scheduling.UnplacedTasks
import mountmast.coordination.state.Assignment
import mountmast.coordination.state.ClusterState
import mountmast.coordination.state.Job
import mountmast.coordination.state.Machine
import mountmast.coordination.state.MachineState
import mountmast.coordination.state.PendingChange
import mountmast.coordination.state.Phase
import mountmast.coordination.state.TermSignals
import mountmast.coordination.workers.CommandDispatcher
import mountmast.protocol.Clock
import mountmast.protocol.JobId
import mountmast.protocol.MachineId
import mountmast.protocol.MonotonicTime
import mountmast.protocol.TeamId
import org.slf4j.LoggerFactory

private val log = LoggerFactory.getLogger("mountmast.leader")

/**
 * Applies what the [Scheduler] plans to the cluster state, and drains machines that their tasks have to leave. Guarded by the
 * lock of its [ClusterState].
 */
internal class SchedulingCycle(
    private val cluster: ClusterState,
    private val snapshots: SnapshotCache,
    private val dispatch: CommandDispatcher,
    private val signals: TermSignals,
    policy: SchedulingPolicy,
    private val clock: Clock,
) {
    private val scheduler = Scheduler(policy)
    private val stalledJobReporter = StalledJobReporter(cluster)
    private var assurance: Map<TeamId, Double> = emptyMap()
    private var maintainedAt = MonotonicTime(Long.MIN_VALUE / 2)

    /** Open tasks that found no machine in the last cycle. */
    var unplacedTasks: List<UnplacedTasks> = emptyList()
        private set

    /** Runs one cycle of a leader that has loaded its state at [readyAt]. */
    fun run(readyAt: MonotonicTime) {
        signals.beginCycle()
        val now = clock.now()
        releaseReservations(now)
        if (now - maintainedAt >= MAINTENANCE_MS) maintain(readyAt, now)
        val plan = scheduler.plan(snapshots.snapshot(now, assurance))
        assurance = plan.assurance
        unplacedTasks = plan.unplaced
        for (start in plan.starts) place(start, plan, now)
        for (preemption in plan.preemptions) preempt(preemption, now)
        for (reservation in plan.reservations) reserve(reservation.machine, reservation.forJob, now)
        if (cluster.pendingChanges.isNotEmpty()) signals.wakeWriter()
    }

    private fun place(start: Start, plan: SchedulingPlan, now: MonotonicTime) {
        val job = cluster.jobs[start.job]?.takeIf { it.isReleased } ?: return
        val machine = cluster.machines[start.machine] ?: return
        if (log.isDebugEnabled) logStart(start, job, machine, plan)
        cluster.assignments.assign(job, start.index, machine, now)
    }

    private fun logStart(start: Start, job: Job, machine: Machine, plan: SchedulingPlan) = log.debug(
        "task={}/{} starts on machine={}, which {} its image; team={} has assurance {}",
        start.job,
        start.index,
        start.machine,
        if (job.spec.image in machine.images) "holds" else "must fetch",
        job.spec.team,
        plan.assurance[job.spec.team],
    )

    /** Does what need not be done in each cycle. */
    private fun maintain(readyAt: MonotonicTime, now: MonotonicTime) {
        maintainedAt = now
        drainReclaimed(now)
        cluster.health.detectStragglers(now)
        drainQuarantined()
        dispatch.announceToWorkers(readyAt, now)
        stalledJobReporter.logStalledJobs(unplacedTasks, now)
        stalledJobReporter.logLateJobs { job -> snapshots.untilS(job.ownDue) }
    }

    private fun reserve(id: MachineId, forJob: JobId, now: MonotonicTime) {
        val machine = cluster.machines[id] ?: return
        machine.reserveFor(forJob, until = now + RESERVATION_MS)
    }

    private fun preempt(preemption: Preemption, now: MonotonicTime) {
        val machine = cluster.machines[preemption.machine] ?: return
        reserve(machine.id, preemption.forJob, now)
        log.info("machine={} drained for job={}: {} tasks preempted", machine.id, preemption.forJob, preemption.victims.size)
        val victims = ArrayList<String>()
        for (assignment in machine.live.values) {
            if (assignment.terminationGraceS != null) continue
            assignment.preempt()
            victims += assignment.taskName
        }
        // The cycle's preemptions are committed in one transaction, together with its starts.
        victims.chunked(VICTIMS_PER_ENTRY).forEach { cluster.pendingChanges += PendingChange.Reserved(machine.id, preemption.forJob, it) }
        dispatch.queue(machine.id)
    }

    /** Stops tasks that would not complete before the cloud reclaims their machine, so that they save and go on elsewhere. */
    private fun drainReclaimed(now: MonotonicTime) {
        for (machine in cluster.machines.values) {
            if (machine.isReclaimNoticed) drain(machine) { snapshots.remainingS(it, now) >= machine.reclaimNoticeS }
        }
    }

    /** The tasks of a failing or slow machine are better begun again elsewhere; it is scaled in once it is empty. */
    private fun drainQuarantined() {
        for (machine in cluster.machines.values) if (machine.isQuarantined) drain(machine) { true }
    }

    private inline fun drain(machine: Machine, mustLeave: (Assignment) -> Boolean) {
        if (machine.state != MachineState.UP) return
        for (assignment in machine.live.values) {
            val isStopping = assignment.terminationGraceS != null
            if (isStopping || assignment.phase != Phase.COMMITTED || !mustLeave(assignment)) continue
            assignment.stopGracefully()
            dispatch.queue(machine.id)
        }
    }

    private fun releaseReservations(now: MonotonicTime) {
        for (machine in cluster.machines.values) {
            val state = cluster.jobs[machine.reservedFor ?: continue]
            val needsMachine = state != null && !state.isCancelled && state.openCount > 0
            if (!needsMachine || now > machine.reservedUntil) machine.releaseReservation()
        }
    }

    private companion object {
        const val RESERVATION_MS = 30_000L
        const val MAINTENANCE_MS = 1000L
        const val VICTIMS_PER_ENTRY = 16
    }
}
