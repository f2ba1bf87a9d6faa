package mountmast.coordination.workers

import mountmast.coordination.state.LossCause
import mountmast.coordination.state.Machine
import mountmast.coordination.state.MachineState
import mountmast.protocol.MonotonicTime
import org.slf4j.LoggerFactory
import kotlin.concurrent.withLock

private val log = LoggerFactory.getLogger("mountmast.leader")

/**
 * Declares the leases of silent workers expired, and detects that this node cannot communicate with most workers. Guarded by the lock of
 * the leader's term.
 */
class WorkerLivenessMonitor(private val context: WorkerContext, private val reachabilityMonitor: ReachabilityMonitor) {
    private val cluster = context.cluster
    private val timing = context.timing

    /** The renewals of workers' leases in this node's responses during this term. */
    val renewalLog = LeaseRenewalLog()

    /**
     * Marks the machines whose workers' leases have provably expired, and ends their assignments. A leader that was partitioned does not
     * know which leases a successor renewed, so a worker's silence counts only up to [confirmedUntil], the time up to which certainly no
     * other node was leader (docs/incidents/inc-c485.md). Takes the lock of the leader's term. Test: `RecoveryTest`, "a cut-off leader
     * scales nothing in when it comes back".
     */
    fun expireLeases(confirmedUntil: MonotonicTime) = context.lock.withLock {
        val readyAt = context.readyAt ?: return
        val now = context.clock.now()
        for (machine in cluster.machines.values) {
            if (!isLeaseExpired(machine, confirmedUntil, readyAt) || !isExpiryConfirmed(machine, confirmedUntil)) continue
            log.info("machine={} lease expired: {} tasks lost", machine.id, machine.unreleasedAssignments.size)
            cluster.assignments.endIncarnation(machine, null, LossCause.LEASE_EXPIRED)
            machine.expireLease(now)
            context.signals.wakeWriter()
        }
    }

    private fun isLeaseExpired(machine: Machine, confirmedUntil: MonotonicTime, readyAt: MonotonicTime): Boolean {
        if (machine.state != MachineState.UP && machine.state != MachineState.SILENT) return false
        // Other nodes may renew leases on behalf of this leader for a while after its election, and this node itself renews leases before
        // it has loaded its state. The cluster state does not contain those renewals.
        val unrecordedRenewalsUntil = maxOf(context.leaderLease.electedAt + timing.delegationMs, readyAt)
        if (confirmedUntil - maxOf(machine.leaseRenewedAt, unrecordedRenewalsUntil) < timing.leaseExpiryMs) return false
        // Until the worker has shown this term's token, the previous leader may have renewed the worker's lease in its own grace period.
        return machine.hasShownCurrentTerm || confirmedUntil - readyAt >= timing.formerLeaderGraceMs + timing.leaseExpiryMs
    }

    /**
     * Whether [renewalLog], too, shows that the lease of [machine] has expired by [confirmedUntil]. The log includes responses from
     * before this leader had loaded its state. If it shows a later renewal, an invariant is violated and the lease is not declared expired
     * (docs/incidents/4000-machines.md). Test: `LeaseRenewalTest`.
     */
    private fun isExpiryConfirmed(machine: Machine, confirmedUntil: MonotonicTime): Boolean {
        val renewedAt = renewalLog.lastRenewalTime(machine.id) ?: return true
        return context.invariantChecker.check(confirmedUntil - renewedAt >= timing.leaseExpiryMs) {
            "machine=${machine.id} lease would expire ${confirmedUntil - renewedAt} ms after a renewal missing from the cluster state"
        }
    }

    /**
     * Returns why this node should resign although it holds its lease in the store, or null if there is no reason: too few workers'
     * heartbeats reach this node, or its responses reach too few workers, so that the workers' leases would expire. Takes the lock of the
     * leader's term. Tests: `RecoveryTest`, "a leader that no worker reaches resigns" and "a node that cannot send to any worker resigns
     * and scales nothing in".
     */
    fun resignationReason(): String? = context.lock.withLock {
        val now = context.clock.now()
        val readyAt = context.readyAt ?: return null
        val up = cluster.machines.values.filter { it.state == MachineState.UP && !it.isDeleting }
        if (now - readyAt < timing.silenceTimeoutMs || up.size < ReachabilityMonitor.MIN_MACHINES_TO_JUDGE_NODE) return null
        when {
            up.count { now - it.lastContactAt < timing.silenceTimeoutMs } * 2 < up.size -> "most workers' heartbeats do not reach this node"
            reachabilityMonitor.areMostMachinesUnreachable() -> "this node's responses and commands do not reach most workers"
            else -> null
        }
    }
}
