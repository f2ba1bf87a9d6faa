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
 * Applies the plans of the [Scheduler] to the cluster state, and drains reclaimed and quarantined machines. Guarded by the lock of
 * its [ClusterState].
 */
internal class SchedulingCycle(
    private val cluster: ClusterState,
    private val snapshotCache: SnapshotCache,
    private val commandDispatcher: CommandDispatcher,
    private val signals: TermSignals,
    policy: SchedulingPolicy,
    private val clock: Clock,
) {
    private val scheduler = Scheduler(policy)
    private val stalledJobReporter = StalledJobReporter(cluster)
    private var assuranceByTeam: Map<TeamId, Double> = emptyMap()
    private var lastMaintenanceAt = MonotonicTime(Long.MIN_VALUE / 2)

    /** Open tasks that the last cycle could not place. */
    var unplacedTasks: List<UnplacedTasks> = emptyList()
        private set

    /** Runs one cycle of a leader that loaded the cluster state at [readyAt]. */
    fun run(readyAt: MonotonicTime) {
        signals.beginCycle()
        val now = clock.now()
        releaseReservations(now)
        if (now - lastMaintenanceAt >= MAINTENANCE_INTERVAL_MS) runMaintenance(readyAt, now)
        val plan = scheduler.plan(snapshotCache.snapshot(now, assuranceByTeam))
        assuranceByTeam = plan.assurance
        unplacedTasks = plan.unplaced
        for (start in plan.starts) placeTask(start, plan, now)
        for (preemption in plan.preemptions) preemptTasks(preemption, now)
        for (reservation in plan.reservations) reserveMachine(reservation.machine, reservation.forJob, now)
        if (cluster.pendingChanges.isNotEmpty()) signals.wakeWriter()
    }

    private fun placeTask(start: Start, plan: SchedulingPlan, now: MonotonicTime) {
        val job = cluster.jobs[start.job]?.takeIf { it.isReleased } ?: return
        val machine = cluster.machines[start.machine] ?: return
        if (log.isDebugEnabled) logStart(start, job, machine, plan)
        cluster.assignments.assign(job, start.index, machine, now)
    }

    private fun logStart(start: Start, job: Job, machine: Machine, plan: SchedulingPlan) = log.debug(
        "task={}/{} is placed on machine={}, which {} its image; team={} has assurance {}",
        start.job,
        start.index,
        start.machine,
        if (job.spec.image in machine.images) "holds" else "must fetch",
        job.spec.team,
        plan.assurance[job.spec.team],
    )

    /**
     * Drains reclaimed and quarantined machines, detects stragglers, queues announcements of this leader, and logs stalled and late jobs.
     * Due every [MAINTENANCE_INTERVAL_MS] only, not in each cycle.
     */
    private fun runMaintenance(readyAt: MonotonicTime, now: MonotonicTime) {
        lastMaintenanceAt = now
        drainReclaimed(now)
        cluster.health.detectStragglers(now)
        drainQuarantined()
        commandDispatcher.queueLeaderAnnouncements(readyAt, now)
        stalledJobReporter.logStalledJobs(unplacedTasks, now)
        stalledJobReporter.logLateJobs { job -> snapshotCache.secondsUntil(job.ownDue) }
    }

    private fun reserveMachine(id: MachineId, forJob: JobId, now: MonotonicTime) {
        val machine = cluster.machines[id] ?: return
        machine.reserveFor(forJob, until = now + RESERVATION_DURATION_MS)
    }

    private fun preemptTasks(preemption: Preemption, now: MonotonicTime) {
        val machine = cluster.machines[preemption.machine] ?: return
        reserveMachine(machine.id, preemption.forJob, now)
        log.info("machine={} drained for job={}: {} tasks preempted", machine.id, preemption.forJob, preemption.victims.size)
        val victims = ArrayList<String>()
        for (assignment in machine.unreleasedAssignments.values) {
            if (assignment.terminationGraceS != null) continue
            assignment.preempt()
            victims += assignment.taskName
        }
        // All preemptions of a cycle are committed in one transaction, together with its starts.
        victims.chunked(VICTIMS_PER_ENTRY).forEach { cluster.pendingChanges += PendingChange.Reserved(machine.id, preemption.forJob, it) }
        commandDispatcher.queueDelivery(machine.id)
    }

    /** Stops tasks that would not end before the cloud reclaims their machine, so that they save their state and resume elsewhere. */
    private fun drainReclaimed(now: MonotonicTime) {
        for (machine in cluster.machines.values) {
            if (machine.isReclaimNoticed) drainMachine(machine) { snapshotCache.remainingS(it, now) >= machine.reclaimNoticeS }
        }
    }

    /** Stops all tasks of quarantined machines, which fail or are slow: the tasks restart elsewhere, and empty machines are scaled in. */
    private fun drainQuarantined() {
        for (machine in cluster.machines.values) if (machine.isQuarantined) drainMachine(machine) { true }
    }

    private inline fun drainMachine(machine: Machine, mustStop: (Assignment) -> Boolean) {
        if (machine.state != MachineState.UP) return
        for (assignment in machine.unreleasedAssignments.values) {
            val isStopping = assignment.terminationGraceS != null
            if (isStopping || assignment.phase != Phase.COMMITTED || !mustStop(assignment)) continue
            assignment.stopGracefully()
            commandDispatcher.queueDelivery(machine.id)
        }
    }

    private fun releaseReservations(now: MonotonicTime) {
        for (machine in cluster.machines.values) {
            val job = cluster.jobs[machine.reservedFor ?: continue]
            val isReservationNeeded = job != null && !job.isCancelled && job.openCount > 0
            if (!isReservationNeeded || now > machine.reservedUntil) machine.releaseReservation()
        }
    }

    private companion object {
        const val RESERVATION_DURATION_MS = 30_000L
        const val MAINTENANCE_INTERVAL_MS = 1000L
        const val VICTIMS_PER_ENTRY = 16
    }
}
