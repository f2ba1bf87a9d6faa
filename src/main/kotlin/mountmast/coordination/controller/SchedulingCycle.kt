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

/** Brings what the [Scheduler] plans into the ledger, and stops what has to leave its machine. Guarded as its [ClusterState] is. */
class SchedulingCycle(
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
    private var tidiedAt = MonotonicTime(Long.MIN_VALUE / 2)

    /** Open tasks that found no machine in the last pass. */
    var waiting: List<UnplacedTasks> = emptyList()
        private set

    /** One pass, of a leader that has read its state at [readyAt]. */
    fun run(readyAt: MonotonicTime) {
        signals.placementBegins()
        val now = clock.now()
        releaseReservations(now)
        if (now - tidiedAt >= TIDY_MS) tidy(readyAt, now)
        val plan = scheduler.plan(snapshots.take(now, assurance))
        assurance = plan.assurance
        waiting = plan.unplaced
        for (start in plan.starts) place(start, plan, now)
        for (preemption in plan.preemptions) preempt(preemption, now)
        for (reservation in plan.reservations) reserve(reservation.machine, reservation.forJob, now)
        if (cluster.pendingChanges.isNotEmpty()) signals.wakeWriter()
    }

    private fun place(start: Start, plan: SchedulingPlan, now: MonotonicTime) {
        val job = cluster.jobs[start.job]?.takeIf { it.isReleased } ?: return
        val machine = cluster.machines[start.machine] ?: return
        if (log.isDebugEnabled) tellStart(start, job, machine, plan)
        cluster.assign(job, start.index, machine, now)
    }

    private fun tellStart(start: Start, job: Job, machine: Machine, plan: SchedulingPlan) = log.debug(
        "{}/{} to {}, which {} its image; team {} has degree {}",
        start.job,
        start.index,
        start.machine,
        if (job.spec.image in machine.images) "holds" else "must fetch",
        job.spec.team,
        plan.assurance[job.spec.team],
    )

    /** What need not be looked at in each pass. */
    private fun tidy(readyAt: MonotonicTime, now: MonotonicTime) {
        tidiedAt = now
        drainReclaimed(now)
        cluster.health.detectStragglers(now)
        drainQuarantined()
        dispatch.announceToWorkers(readyAt, now)
        stalledJobReporter.tellStalls(waiting, now)
        stalledJobReporter.tellLate { job -> snapshots.untilS(job.ownDue) }
    }

    private fun reserve(id: MachineId, job: JobId, now: MonotonicTime) {
        val machine = cluster.machines[id] ?: return
        machine.reservedFor = job
        machine.reservedUntil = now + RESERVATION_MS
    }

    private fun preempt(preemption: Preemption, now: MonotonicTime) {
        val machine = cluster.machines[preemption.machine] ?: return
        reserve(machine.id, preemption.forJob, now)
        log.info("machine {} emptied for {}: {} tasks stopped", machine.id, preemption.forJob, preemption.victims.size)
        val victims = ArrayList<String>()
        for (assignment in machine.live.values) {
            if (assignment.terminationGraceS != null) continue
            assignment.terminationGraceS = assignment.job.spec.checkpointSaveS
            assignment.preempted = true
            victims += assignment.taskName
        }
        // The pass's evictions go out in one state write, together with its starts.
        victims.chunked(VICTIMS_PER_ENTRY).forEach { cluster.pendingChanges += PendingChange.Reserved(machine.id, preemption.forJob, it) }
        dispatch.queue(machine.id)
    }

    /** Stops what would not complete before the cloud takes its machine, so that it saves and goes on elsewhere. */
    private fun drainReclaimed(now: MonotonicTime) {
        for (machine in cluster.machines.values) {
            if (machine.reclaimNoticed) drain(machine) { snapshots.remainingS(it, now) >= machine.reclaimNoticeS }
        }
    }

    /** A sick or slow machine's tasks are better begun again elsewhere; it is returned once it is empty. */
    private fun drainQuarantined() {
        for (machine in cluster.machines.values) if (machine.quarantined) drain(machine) { true }
    }

    private inline fun drain(machine: Machine, which: (Assignment) -> Boolean) {
        if (machine.state != MachineState.UP) return
        for (assignment in machine.live.values) {
            if (assignment.terminationGraceS != null || assignment.phase != Phase.COMMITTED || !which(assignment)) continue
            assignment.terminationGraceS = assignment.job.spec.checkpointSaveS
            dispatch.queue(machine.id)
        }
    }

    private fun releaseReservations(now: MonotonicTime) {
        for (machine in cluster.machines.values) {
            val job = machine.reservedFor ?: continue
            val state = cluster.jobs[job]
            if (state == null || state.cancelled || state.openCount == 0 || now > machine.reservedUntil) machine.reservedFor = null
        }
    }

    private companion object {
        const val RESERVATION_MS = 30_000L
        const val TIDY_MS = 1000L
        const val VICTIMS_PER_ENTRY = 16
    }
}
