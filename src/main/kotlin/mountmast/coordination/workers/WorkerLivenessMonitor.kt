package mountmast.coordination.workers

import mountmast.coordination.state.LossCause
import mountmast.coordination.state.Machine
import mountmast.coordination.state.MachineState
import mountmast.protocol.MonotonicTime
import org.slf4j.LoggerFactory
import kotlin.concurrent.withLock

private val log = LoggerFactory.getLogger("mountmast.leader")

/** Expires the leases of silent workers, and judges whether heartbeats reach this node at all. Guarded by the lock of the leader's term. */
class WorkerLivenessMonitor(private val context: WorkerContext, private val reachability: ReachabilityMonitor) {
    private val cluster = context.cluster
    private val timing = context.timing

    /** The responses with which this node renewed leases in this term. */
    val renewals = LeaseRenewalLog()

    /**
     * Marks the machines whose workers' leases have provably expired, and ends their assignments. A leader that was cut off does not know
     * which leases its successor renewed: silence counts only up to [ledUntil], the last moment at which certainly nobody else led
     * (inc-c485). Takes the lock of the leader's term. Test: `RecoveryTest`, "a cut-off leader scales nothing in when it comes back".
     */
    fun expireLeases(ledUntil: MonotonicTime) = context.lock.withLock {
        val readyAt = context.readyAt ?: return
        val now = context.clock.now()
        for (machine in cluster.machines.values) {
            if (!isLeaseExpired(machine, ledUntil, readyAt) || !isExpiryConfirmed(machine, ledUntil)) continue
            log.info("machine={} lease expired: {} tasks lost", machine.id, machine.live.size)
            cluster.assignments.endIncarnation(machine, null, LossCause.LEASE_EXPIRED)
            machine.expireLease(now)
            context.signals.wakeWriter()
        }
    }

    private fun isLeaseExpired(machine: Machine, ledUntil: MonotonicTime, readyAt: MonotonicTime): Boolean {
        if (machine.state != MachineState.UP && machine.state != MachineState.SILENT) return false
        // Until then other nodes may have renewed leases on our behalf, and so did this node before it knew the machines.
        val delegatedUntil = maxOf(context.leaderLease.electedAt + timing.delegationMs, readyAt)
        if (ledUntil - maxOf(machine.leaseRenewedAt, delegatedUntil) < timing.leaseExpiryMs) return false
        // Until the worker has shown our token, the leader before us may have renewed its lease during its grace.
        return machine.hasShownCurrentTerm || ledUntil - readyAt >= timing.formerLeaderGraceMs + timing.leaseExpiryMs
    }

    /**
     * Whether no response that may have renewed the lease left this node in the meantime. An invariant: a lease that is in doubt does not
     * expire (inc 4000-machines). Test: `LeaseRenewalTest`.
     */
    private fun isExpiryConfirmed(machine: Machine, ledUntil: MonotonicTime): Boolean {
        val renewedAt = renewals.lastRenewal(machine.id) ?: return true
        return context.invariants.check(ledUntil - renewedAt >= timing.leaseExpiryMs) {
            "machine=${machine.id} lease would expire ${ledUntil - renewedAt} ms after a renewal that the cluster state does not know of"
        }
    }

    /**
     * Returns why this node should resign although the store lets it lead: heartbeats of too few workers arrive, or its responses reach
     * too few, and their leases would expire. Returns null if there is no reason. Takes the lock of the leader's term. Tests:
     * `RecoveryTest`, "a leader that no worker reaches resigns" and "a node that cannot send to any worker resigns and scales nothing in".
     */
    fun resignationReason(): String? = context.lock.withLock {
        val now = context.clock.now()
        val readyAt = context.readyAt ?: return null
        val up = cluster.machines.values.filter { it.state == MachineState.UP && !it.isDeleting }
        if (now - readyAt < timing.silenceTimeoutMs || up.size < ReachabilityMonitor.MIN_MACHINES_TO_JUDGE_NODE) return null
        when {
            up.count { now - it.lastContactAt < timing.silenceTimeoutMs } * 2 < up.size -> "most workers' heartbeats do not reach this node"
            reachability.areMostUnreached() -> "this node's responses and commands do not reach most workers"
            else -> null
        }
    }
}
