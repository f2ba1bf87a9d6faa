package mountmast.coordination.workers

import mountmast.coordination.election.LeaderLease
import mountmast.coordination.election.LeaseTiming
import mountmast.coordination.state.ClusterState
import mountmast.coordination.state.Invariants
import mountmast.coordination.state.LossCause
import mountmast.coordination.state.Machine
import mountmast.coordination.state.MachineState
import mountmast.coordination.state.Phase
import mountmast.coordination.state.TermSignals
import mountmast.protocol.Clock
import mountmast.protocol.FencingToken
import mountmast.protocol.Heartbeat
import mountmast.protocol.HeartbeatResponse
import mountmast.protocol.MonotonicTime
import org.slf4j.LoggerFactory
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

private val log = LoggerFactory.getLogger("mountmast.leader")

/** Takes workers' reports, and tells whose lease is over. Guarded by [lock]. */
class HeartbeatHandler(
    private val lock: ReentrantLock,
    private val cluster: ClusterState,
    private val leaderLease: LeaderLease,
    private val reachability: ReachabilityMonitor,
    private val signals: TermSignals,
    private val timing: LeaseTiming,
    private val clock: Clock,
    private val invariants: Invariants = Invariants(),
) {
    private val reconciler = HeartbeatReconciler(cluster)

    /** The answers that left this node in this term. */
    val renewals = LeaseRenewalLog()

    /** Commands to the workers; set once, as each needs the other. */
    lateinit var dispatch: CommandDispatcher

    /** From when on reports are taken: null until the leader has read its state. */
    @Volatile
    var takenFrom: MonotonicTime? = null

    /** Takes a worker's report and tells the worker what is outstanding. */
    fun onHeartbeat(heartbeat: Heartbeat): HeartbeatResponse = lock.withLock {
        val now = clock.now()
        val readyAt = takenFrom ?: return NOTHING_RENEWED
        val isNews = take(heartbeat, now, isHeartbeat = true)
        val machine = cluster.machines[heartbeat.machine] ?: return NOTHING_RENEWED
        if (isNews) {
            if (reachability.note(machine, heartbeat, now, readyAt)) signals.wakePlacement()
        } else if (!isOvertaken(machine, heartbeat)) {
            // A copy that comes late: whoever sent it has long dropped the answer, and could not take this one.
            return NOTHING_RENEWED
        }
        renew(machine, heartbeat, now)
    }

    /**
     * Whether a report that is no news may still be awaited by its worker: while it waited here, the answer to a command came,
     * which bears a higher number. At a busy node that may happen to every report of a machine.
     */
    private fun isOvertaken(machine: Machine, heartbeat: Heartbeat) = machine.incarnation == heartbeat.incarnation &&
        machine.id !in cluster.tombstones &&
        heartbeat.sequence > machine.answeredHeartbeatSequence

    /**
     * The one place that answers a report so that its worker's lease is renewed. The lease is noted first: a renewal that this
     * leader did not know of had it call a living worker dead, and start its tasks a second time (inc 4000-machines).
     */
    private fun renew(machine: Machine, heartbeat: Heartbeat, now: MonotonicTime): HeartbeatResponse {
        machine.answeredHeartbeatSequence = heartbeat.sequence
        machine.leaseRenewedAt = now
        machine.answeredSequence = heartbeat.sequence
        val commands = dispatch.outstanding(machine, inHeartbeat = heartbeat.sequence)
        dispatch.fenceOffStoppedTasks(machine)
        return HeartbeatResponse(dispatch.token(machine), commands)
    }

    /** Takes a report, sent by itself or as the answer to a command; false where it is no news. The caller holds the lock. */
    fun take(heartbeat: Heartbeat, now: MonotonicTime, isHeartbeat: Boolean): Boolean {
        val before = cluster.machines[heartbeat.machine]
        val wasUsable = before?.usable(now) == true
        val lostAnswers = before?.let { unacknowledgedAnswers(it, heartbeat, now) } ?: 0
        if (!reconciler.take(heartbeat, now)) return false
        val machine = cluster.machines[heartbeat.machine] ?: return false
        if (isHeartbeat) {
            machine.unacknowledgedHeartbeats += lostAnswers
            machine.lastHeartbeatAt = now
        }
        val isOurs = heartbeat.token.term == leaderLease.token.term
        if (isOurs) machine.hasShownCurrentTerm = true
        dispatch.observeToken(machine, heartbeat.token)
        if (isHeartbeat && isOurs) withdrawStopped(machine, heartbeat)
        if (cluster.pendingChanges.isNotEmpty()) signals.wakeWriter()
        if (!wasUsable && machine.usable(now)) signals.wakePlacement()
        return true
    }

    /**
     * For how many unacknowledged reports a new session counts: a worker that is answered keeps its session, so a new one after
     * an answer means that it did not arrive.
     */
    private fun unacknowledgedAnswers(machine: Machine, heartbeat: Heartbeat, now: MonotonicTime): Int {
        val incarnation = machine.incarnation ?: return 0
        if (heartbeat.incarnation <= incarnation || machine.answeredSequence == null) return 0
        return if (now - machine.leaseRenewedAt < timing.leaseMs) ReachabilityMonitor.MAX_UNACKNOWLEDGED_HEARTBEATS else 1
    }

    /**
     * Ends assignments that are to be stopped and never got to the worker: its report under our token lacks them,
     * and no start of them can be under way any more.
     */
    private fun withdrawStopped(machine: Machine, heartbeat: Heartbeat) {
        for (assignment in machine.live.values) {
            if (assignment.phase != Phase.COMMITTED || assignment.terminationGraceS == null || assignment.reported != null) continue
            val inHeartbeat = assignment.startedInHeartbeat
            val mayArrive = assignment.deliveriesInFlight > 0 ||
                assignment.key in machine.mayStillStart ||
                (inHeartbeat != null && heartbeat.sequence <= inHeartbeat)
            // What the report lists has been noted as reported by now.
            if (!mayArrive) cluster.end(assignment, completed = false)
        }
    }

    /**
     * Calls dead the workers whose lease has provably run out. A leader that was cut off knows nothing of what its
     * successor answered: silence counts only as far as it is certain that nobody else led, [ledUntil].
     */
    fun expireSilent(ledUntil: MonotonicTime) = lock.withLock {
        val readyAt = takenFrom ?: return
        val now = clock.now()
        for (machine in cluster.machines.values) {
            if (!isLeaseExpired(machine, ledUntil, readyAt) || !hasNoRenewalSince(machine, ledUntil)) continue
            log.info("machine {} silent: its lease is over, {} tasks lost", machine.id, machine.live.size)
            cluster.endIncarnation(machine, null, LossCause.LEASE_EXPIRED)
            machine.state = MachineState.EXPIRED
            machine.expiredAt = now
            signals.wakeWriter()
        }
    }

    private fun isLeaseExpired(machine: Machine, ledUntil: MonotonicTime, readyAt: MonotonicTime): Boolean {
        if (machine.state != MachineState.UP && machine.state != MachineState.SILENT) return false
        // Others may have answered in our name until then, and so did this node before it knew the machines.
        val delegatedUntil = maxOf(leaderLease.electedAt + timing.delegationMs, readyAt)
        if (ledUntil - maxOf(machine.leaseRenewedAt, delegatedUntil) < timing.leaseExpiryMs) return false
        // Until the worker has shown our token, the leader before us may have answered it during its grace.
        return machine.hasShownCurrentTerm || ledUntil - readyAt >= timing.formerLeaderMs + timing.leaseExpiryMs
    }

    /** A lease is called over only where no answer that may have renewed it left this node meanwhile. */
    private fun hasNoRenewalSince(machine: Machine, ledUntil: MonotonicTime): Boolean {
        val leaseRenewedAt = renewals.lastRenewal(machine.id) ?: return true
        return invariants.check(ledUntil - leaseRenewedAt >= timing.leaseExpiryMs) {
            "the lease of ${machine.id} was to be called over ${ledUntil - leaseRenewedAt} ms after an answer that the ledger does not know of"
        }
    }

    /** Why this node had better not lead although the state service lets it, or null. */
    fun resignationReason(): String? = lock.withLock {
        val now = clock.now()
        val readyAt = takenFrom ?: return null
        val up = cluster.machines.values.filter { it.state == MachineState.UP && !it.deleting }
        if (now - readyAt < timing.quietMs || up.size < ReachabilityMonitor.MIN_MACHINES_TO_JUDGE_NODE) return null
        when {
            up.count { now - it.heardAt < timing.quietMs } * 2 < up.size -> "hardly any worker gets through to this node"
            reachability.areMostUnreached() -> "this node reaches hardly any worker"
            else -> null
        }
    }

    private companion object {
        /** Bears no token, so that no worker takes it and no lease is renewed. */
        val NOTHING_RENEWED = HeartbeatResponse(FencingToken(0u), emptyList())
    }
}
