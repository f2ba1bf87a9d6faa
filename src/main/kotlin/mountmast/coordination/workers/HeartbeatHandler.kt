package mountmast.coordination.workers

import mountmast.coordination.state.Assignment
import mountmast.coordination.state.Machine
import mountmast.coordination.state.Phase
import mountmast.protocol.FencingToken
import mountmast.protocol.Heartbeat
import mountmast.protocol.HeartbeatResponse
import mountmast.protocol.MonotonicTime
import kotlin.concurrent.withLock

/** Reconciles workers' heartbeats with the cluster state and answers them. Guarded by the lock of the leader's term. */
class HeartbeatHandler(
    private val context: WorkerContext,
    private val outstanding: OutstandingCommands,
    private val reachability: ReachabilityMonitor,
) {
    private val cluster = context.cluster
    private val reconciler = HeartbeatReconciler(cluster)

    private enum class Origin { HEARTBEAT, COMMAND_RESPONSE }

    /**
     * Reconciles [heartbeat] and returns the response: the outstanding commands under a token that renews the worker's lease, or a
     * response without a token, which renews nothing, if the heartbeat is a late copy or this leader has not loaded its state yet. Takes
     * the lock of the leader's term.
     */
    fun onHeartbeat(heartbeat: Heartbeat): HeartbeatResponse = context.lock.withLock {
        val now = context.clock.now()
        val readyAt = context.readyAt ?: return NOT_RENEWED
        val reconciliation = reconcile(heartbeat, now, Origin.HEARTBEAT)
        val machine = cluster.machines[heartbeat.machine] ?: return NOT_RENEWED
        when (reconciliation) {
            is HeartbeatReconciliation.Applied -> {
                val change = reachability.update(machine, heartbeat, now, readyAt)
                if (change == ReachabilityChange.RESTORED) context.signals.requestSchedulingCycle()
            }
            // A copy that arrives late: whoever sent it no longer waits for the response, and could not use this one.
            HeartbeatReconciliation.Stale -> if (!isOvertaken(machine, heartbeat)) return NOT_RENEWED
        }
        renew(machine, heartbeat, now)
    }

    /** Reconciles the heartbeat with which a worker answers a command request. The caller holds the lock of the leader's term. */
    fun onCommandResponse(heartbeat: Heartbeat, now: MonotonicTime) {
        reconcile(heartbeat, now, Origin.COMMAND_RESPONSE)
    }

    /**
     * Whether the worker may still wait for the response to a stale heartbeat: while the heartbeat waited here, the answer to a command
     * request arrived, which has a higher sequence number. At a busy node that may happen to every heartbeat of a machine
     * (inc 4000-machines). Test: `LeaseRenewalTest`.
     */
    private fun isOvertaken(machine: Machine, heartbeat: Heartbeat) = machine.incarnation == heartbeat.incarnation &&
        machine.id !in cluster.tombstones &&
        heartbeat.sequence > machine.answeredHeartbeatSequence

    /**
     * The one place that answers a heartbeat so that its worker's lease is renewed. The renewal is recorded first: one that this leader
     * did not know of made it declare a living worker's lease expired, and start its tasks a second time (inc 4000-machines). Test:
     * `LeaseRenewalTest`.
     */
    private fun renew(machine: Machine, heartbeat: Heartbeat, now: MonotonicTime): HeartbeatResponse {
        machine.worker.recordLeaseRenewal(heartbeat.sequence, now)
        val commands = outstanding.forHeartbeat(machine, heartbeat.sequence)
        outstanding.fenceOffStoppedTasks(machine)
        return HeartbeatResponse(outstanding.token(machine), commands)
    }

    private fun reconcile(heartbeat: Heartbeat, now: MonotonicTime, origin: Origin): HeartbeatReconciliation {
        val before = cluster.machines[heartbeat.machine]
        val wasUsable = before?.isUsable(now) == true
        val lostResponses = before?.let { lostResponses(it, heartbeat, now) } ?: 0
        val reconciliation = reconciler.reconcile(heartbeat, now)
        if (reconciliation !is HeartbeatReconciliation.Applied) return reconciliation
        val machine = reconciliation.machine
        if (origin == Origin.HEARTBEAT) {
            machine.reachability.countUnacknowledged(lostResponses)
            machine.worker.recordUnsolicitedHeartbeat(now)
        }
        val showsCurrentTerm = heartbeat.token.term == context.leaderLease.token.term
        if (showsCurrentTerm) machine.worker.confirmCurrentTerm()
        outstanding.observeToken(machine, heartbeat.token)
        if (origin == Origin.HEARTBEAT && showsCurrentTerm) withdrawStopped(machine, heartbeat)
        if (cluster.pendingChanges.isNotEmpty()) context.signals.wakeWriter()
        if (!wasUsable && machine.isUsable(now)) context.signals.requestSchedulingCycle()
        return reconciliation
    }

    /**
     * Returns how many responses a new incarnation of the worker shows to be lost: a worker that gets responses keeps its incarnation, so
     * a new one after a response means that it did not arrive.
     */
    private fun lostResponses(machine: Machine, heartbeat: Heartbeat, now: MonotonicTime): Int {
        val incarnation = machine.incarnation ?: return 0
        if (heartbeat.incarnation <= incarnation || machine.answeredSequence == null) return 0
        return if (now - machine.leaseRenewedAt < context.timing.workerLeaseMs) ReachabilityMonitor.MAX_UNACKNOWLEDGED_HEARTBEATS else 1
    }

    /**
     * Ends assignments that are to be stopped and never reached the worker: its heartbeat under our token lacks them, and no start of them
     * can be under way any more.
     */
    private fun withdrawStopped(machine: Machine, heartbeat: Heartbeat) {
        for (assignment in machine.live.values) {
            // What the heartbeat lists has been reconciled, so it counts as reported by now.
            val isStoppedUnseen = assignment.terminationGraceS != null && assignment.reported == null
            val isWithdrawable = assignment.phase == Phase.COMMITTED && isStoppedUnseen && !mayStillStart(assignment, machine, heartbeat)
            if (isWithdrawable) cluster.assignments.end(assignment, completed = false)
        }
    }

    private fun mayStillStart(assignment: Assignment, machine: Machine, heartbeat: Heartbeat): Boolean {
        val startedIn = assignment.startedInHeartbeat
        return assignment.deliveriesInFlight > 0 ||
            machine.delivery.hasUnansweredStart(assignment.taskName, assignment.attempt) ||
            (startedIn != null && heartbeat.sequence <= startedIn)
    }

    private companion object {
        /** Has no valid token, so that no worker accepts it and no lease is renewed. */
        val NOT_RENEWED = HeartbeatResponse(FencingToken(0u), emptyList())
    }
}
