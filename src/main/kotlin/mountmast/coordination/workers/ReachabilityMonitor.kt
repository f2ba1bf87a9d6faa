package mountmast.coordination.workers

import mountmast.coordination.election.LeaderLease
import mountmast.coordination.election.LeaseTiming
import mountmast.coordination.state.Assignment
import mountmast.coordination.state.ClusterState
import mountmast.coordination.state.Machine
import mountmast.coordination.state.MachineState
import mountmast.coordination.state.Phase
import mountmast.protocol.Heartbeat
import mountmast.protocol.MonotonicTime
import org.slf4j.LoggerFactory

private val log = LoggerFactory.getLogger("mountmast.leader")

/** How a heartbeat changed what is known of whether its machine is reached. */
enum class ReachabilityChange {
    NONE,

    /** Responses and commands seem no longer to reach the machine: it gets no more work. */
    LOST,

    /** They reach it again: it may get work. */
    RESTORED,
}

/**
 * Detects machines whose heartbeats arrive while responses and commands do not reach them. Guarded by the lock of the leader's term.
 */
class ReachabilityMonitor(private val cluster: ClusterState, private val leaderLease: LeaderLease, private val timing: LeaseTiming) {
    /** What a heartbeat shows of earlier responses; both may be false. */
    private class Evidence(val isEffectMissing: Boolean, val isEffectShown: Boolean)

    /**
     * Updates [machine] for [heartbeat], which this leader, ready since [readyAt], is about to answer.
     *
     * A response did not arrive if the worker's token lags behind ours, or if a start in it is not shown; the caller counts incarnations
     * that rise although the worker was answered. A machine with [MAX_UNACKNOWLEDGED_HEARTBEATS] such heartbeats in a row gets no more
     * work, and is scaled in if that lasts. A heartbeat that shows a response's effect resets the count. Test: `RecoveryTest`, "an
     * unreached machine gets no more work and is scaled in, and its tasks run elsewhere".
     */
    fun update(machine: Machine, heartbeat: Heartbeat, now: MonotonicTime, readyAt: MonotonicTime): ReachabilityChange {
        val evidence = evidence(machine, heartbeat, now)
        when {
            // A node that has just begun to lead answers so slowly that workers drop its responses: that says nothing of them (inc-0e16).
            // Test: `RecoveryTest`, "a leader just elected does not take its own slow responses for unreached workers".
            now - readyAt < SETTLING_MS -> machine.reachability.clearUnacknowledged()
            evidence.isEffectMissing -> machine.reachability.countUnacknowledged()
            evidence.isEffectShown -> machine.reachability.clearUnacknowledged()
        }
        return when {
            machine.unacknowledgedHeartbeats >= MAX_UNACKNOWLEDGED_HEARTBEATS && machine.unreachableSince == null -> {
                machine.reachability.markUnreachable(now)
                log.info("machine={} unreached: its heartbeats arrive, but responses and commands seem not to reach it", machine.id)
                ReachabilityChange.LOST
            }
            machine.unacknowledgedHeartbeats == 0 && machine.unreachableSince != null -> {
                machine.reachability.markReachable()
                log.info("machine={} reached again", machine.id)
                ReachabilityChange.RESTORED
            }
            else -> ReachabilityChange.NONE
        }
    }

    private fun evidence(machine: Machine, heartbeat: Heartbeat, now: MonotonicTime): Evidence {
        val answered = machine.answeredSequence
        val isTokenBehind = answered != null && answered < heartbeat.sequence && heartbeat.token < leaderLease.token
        val outlivesLease = now - machine.incarnationSince > timing.leaseExpiryMs && heartbeat.token.term == leaderLease.token.term
        val commandedStarts = machine.live.values.filter { wasCommandedBefore(it, heartbeat) }
        val (missing, shown) = commandedStarts.partition { it.reportedState == null }
        for (assignment in shown) assignment.startDelivery.confirm()
        return Evidence(isTokenBehind || missing.isNotEmpty(), outlivesLease || shown.isNotEmpty())
    }

    /** Whether the start of [assignment] was in the response to an earlier heartbeat of the same incarnation. */
    private fun wasCommandedBefore(assignment: Assignment, heartbeat: Heartbeat): Boolean {
        val startedIn = assignment.startedInHeartbeat ?: return false
        return assignment.phase == Phase.COMMITTED && assignment.incarnation == heartbeat.incarnation && heartbeat.sequence > startedIn
    }

    /**
     * Whether so many machines are not reached that it must be this node, which cannot send. The caller holds the lock of the leader's
     * term. Test: `RecoveryTest`, "a node that cannot send to any worker resigns and scales nothing in".
     */
    fun areMostUnreached(): Boolean {
        val up = cluster.machines.values.count { it.state == MachineState.UP && !it.isDeleting }
        val unreached = cluster.machines.values.count { it.unreachableSince != null && !it.isDeleting }
        return unreached >= MIN_MACHINES_TO_JUDGE_NODE && unreached * 2 > up
    }

    companion object {
        /** Heartbeats in a row that show nothing of the responses before them. */
        const val MAX_UNACKNOWLEDGED_HEARTBEATS = 2

        /** Fewer machines than this allow no conclusion about the node itself. */
        const val MIN_MACHINES_TO_JUDGE_NODE = 3
        private const val SETTLING_MS = 15_000L
    }
}
