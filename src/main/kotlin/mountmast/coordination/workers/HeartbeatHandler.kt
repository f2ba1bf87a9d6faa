package mountmast.coordination.workers

import mountmast.coordination.state.Assignment
import mountmast.coordination.state.Machine
import mountmast.coordination.state.Phase
import mountmast.protocol.FencingToken
import mountmast.protocol.Heartbeat
import mountmast.protocol.HeartbeatResponse
import mountmast.protocol.MonotonicTime
import org.slf4j.LoggerFactory
import kotlin.concurrent.withLock

private val log = LoggerFactory.getLogger("mountmast.workers")

/** Reconciles workers' heartbeats with the cluster state and answers them. Guarded by the lock of the leader's term. */
class HeartbeatHandler(
    private val context: WorkerContext,
    private val outstandingCommands: OutstandingCommands,
    private val reachabilityMonitor: ReachabilityMonitor,
) {
    private val cluster = context.cluster
    private val reconciler = HeartbeatReconciler(cluster)

    private enum class Origin { HEARTBEAT, COMMAND_RESPONSE }

    /**
     * Reconciles [heartbeat] with the cluster state and returns the response: the outstanding commands under a token that renews the
     * worker's lease. If the heartbeat is a late copy, its machine was deleted or this leader has not loaded its state yet, the response
     * has no valid token and does not renew the lease. Takes the lock of the leader's term.
     */
    fun onHeartbeat(heartbeat: Heartbeat): HeartbeatResponse = context.lock.withLock {
        val now = context.clock.now()
        val readyAt = context.readyAt ?: return NON_RENEWING_RESPONSE
        val reconciliation = reconcile(heartbeat, now, Origin.HEARTBEAT)
        val machine = cluster.machines[heartbeat.machine] ?: return NON_RENEWING_RESPONSE
        when (reconciliation) {
            is HeartbeatReconciliation.Applied -> {
                val change = reachabilityMonitor.update(machine, heartbeat, now, readyAt)
                if (change == ReachabilityChange.RESTORED) context.signals.requestSchedulingCycle()
            }
            HeartbeatReconciliation.Stale -> if (!isOvertaken(machine, heartbeat)) return respondToStale(machine, heartbeat, now)
        }
        renewLease(machine, heartbeat, now)
    }

    /** Reconciles [heartbeat], a worker's response to a command request. The caller holds the lock of the leader's term. */
    fun onCommandResponse(heartbeat: Heartbeat, now: MonotonicTime) {
        reconcile(heartbeat, now, Origin.COMMAND_RESPONSE)
    }

    /**
     * Whether the worker may still wait for the response to [heartbeat], which is stale: while the heartbeat was queued at this node, the
     * worker's response to a command request arrived, which has a higher sequence number. On a busy node that may happen to every
     * heartbeat of a machine (docs/incidents/4000-machines.md). Test: `LeaseRenewalTest`.
     */
    private fun isOvertaken(machine: Machine, heartbeat: Heartbeat) = machine.incarnation == heartbeat.incarnation &&
        machine.id !in cluster.tombstones &&
        !machine.worker.hasRestarted &&
        heartbeat.sequence > machine.answeredHeartbeatSequence

    /**
     * Returns the response to [heartbeat], which is stale and was not overtaken. Mostly it is a late copy: its sender no longer waits for a
     * response and could not use one. But if it shows no token, its worker may have restarted without its memory, in the first incarnation
     * once more, and would execute a late copy of any start command that the worker before it has executed. It is therefore shown a token
     * above those of all starts. Test: `LateCopiesTest`.
     */
    private fun respondToStale(machine: Machine, heartbeat: Heartbeat, now: MonotonicTime): HeartbeatResponse {
        val mayHaveRestarted = heartbeat.token == FencingToken.NONE && machine.id !in cluster.tombstones && !machine.worker.hasRestarted
        if (!mayHaveRestarted) return NON_RENEWING_RESPONSE
        val response = outstandingCommands.createFencingResponse(machine)
        machine.worker.suspectRestart(response.token, now)
        return response
    }

    /**
     * Returns a response to [heartbeat] that renews the worker's lease. Once a leader has loaded its state, it renews workers' leases here
     * only. The renewal is recorded before the response is sent: after a renewal that was not recorded, the leader declared the lease of a
     * live worker expired and started the worker's tasks a second time (docs/incidents/4000-machines.md). Test: `LeaseRenewalTest`.
     */
    private fun renewLease(machine: Machine, heartbeat: Heartbeat, now: MonotonicTime): HeartbeatResponse {
        machine.worker.recordLeaseRenewal(heartbeat.sequence, now)
        return outstandingCommands.createResponse(machine, heartbeat.sequence)
    }

    private fun reconcile(heartbeat: Heartbeat, now: MonotonicTime, origin: Origin): HeartbeatReconciliation {
        val knownMachine = cluster.machines[heartbeat.machine]
        if (knownMachine != null && isFromRestartedWorker(knownMachine, heartbeat)) return HeartbeatReconciliation.Stale
        val wasUsable = knownMachine?.isUsable(now) == true
        val lostResponses = knownMachine?.let { countLostResponses(it, heartbeat, now) } ?: 0
        val reconciliation = reconciler.reconcile(heartbeat, now)
        if (reconciliation !is HeartbeatReconciliation.Applied) return reconciliation
        val machine = reconciliation.machine
        if (origin == Origin.HEARTBEAT) {
            machine.reachability.countUnacknowledged(lostResponses)
            machine.worker.recordUnsolicitedHeartbeat(now)
        }
        val showsCurrentTerm = heartbeat.token.term == context.leaderLease.token.term
        if (showsCurrentTerm) machine.worker.confirmCurrentTerm()
        outstandingCommands.observeToken(machine, heartbeat.token)
        if (origin == Origin.HEARTBEAT && showsCurrentTerm) endUnstartedAssignments(machine, heartbeat)
        if (cluster.pendingChanges.isNotEmpty()) context.signals.wakeWriter()
        if (!wasUsable && machine.isUsable(now)) context.signals.requestSchedulingCycle()
        return reconciliation
    }

    /**
     * Whether the worker of [machine] has restarted without its memory, as [heartbeat] or an earlier one proves, and still is in the
     * incarnation that this leader knows from before. Its heartbeats cannot be told from those before by their sequence, so none is
     * applied and none gets a renewing response: its lease expires, and its next incarnation is known to have none of the tasks.
     */
    private fun isFromRestartedWorker(machine: Machine, heartbeat: Heartbeat): Boolean {
        val worker = machine.worker
        if (heartbeat.incarnation != worker.incarnation) return false
        if (!worker.hasRestarted && worker.provesRestart(heartbeat.sequence, heartbeat.token)) {
            worker.recordRestart()
            log.info("machine={} has a worker that restarted without its memory; it is ignored until its next incarnation", machine.id)
        }
        return worker.hasRestarted
    }

    /**
     * Returns how many lost responses to count if [heartbeat] begins a new incarnation of the worker of [machine], and 0 otherwise. A
     * worker that receives responses keeps its incarnation, so a new incarnation after a response shows that the response did not arrive.
     * If the lease that the last response renewed would still run, the result is [ReachabilityMonitor.MAX_UNACKNOWLEDGED_HEARTBEATS], and
     * 1 otherwise.
     */
    private fun countLostResponses(machine: Machine, heartbeat: Heartbeat, now: MonotonicTime): Int {
        val incarnation = machine.incarnation ?: return 0
        if (heartbeat.incarnation <= incarnation || machine.answeredSequence == null) return 0
        return if (now - machine.leaseRenewedAt < context.timing.workerLeaseMs) ReachabilityMonitor.MAX_UNACKNOWLEDGED_HEARTBEATS else 1
    }

    /**
     * Ends assignments that are to be stopped and whose start never reached the worker: [heartbeat], which shows this term's token, does
     * not list them, and no start of them can still be executed.
     */
    private fun endUnstartedAssignments(machine: Machine, heartbeat: Heartbeat) {
        for (assignment in machine.unreleasedAssignments.values) {
            // The heartbeat has been reconciled, so every attempt that it lists has a reported state by now.
            val isStoppedUnreported = assignment.terminationGraceS != null && assignment.reportedState == null
            val mayEnd = assignment.phase == Phase.COMMITTED && isStoppedUnreported && !mayStillStart(assignment, machine, heartbeat)
            if (mayEnd) cluster.assignments.end(assignment, completed = false)
        }
    }

    private fun mayStillStart(assignment: Assignment, machine: Machine, heartbeat: Heartbeat): Boolean {
        val startSentIn = assignment.startSentInAnswerTo
        return assignment.startRequestsInFlight > 0 ||
            machine.delivery.hasUnansweredStart(assignment.taskName, assignment.attempt) ||
            (startSentIn != null && heartbeat.sequence <= startSentIn)
    }

    private companion object {
        /** A response without a valid token: no worker accepts it, so it renews no lease. */
        val NON_RENEWING_RESPONSE = HeartbeatResponse(FencingToken.NONE, emptyList())
    }
}
