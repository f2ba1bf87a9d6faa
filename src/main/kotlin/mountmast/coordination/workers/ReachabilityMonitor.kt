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

/** How a heartbeat changed whether its machine counts as unreachable. */
enum class ReachabilityChange {
    NONE,

    /** Responses and commands no longer seem to reach the machine: no more tasks are placed on it. */
    LOST,

    /** Responses and commands reach the machine again: tasks may be placed on it. */
    RESTORED,
}

/**
 * Detects machines whose heartbeats arrive while responses and commands do not reach them. Guarded by the lock of the leader's term.
 */
class ReachabilityMonitor(private val cluster: ClusterState, private val leaderLease: LeaderLease, private val timing: LeaseTiming) {
    /** Whether a heartbeat lacks an effect of earlier responses, and whether it shows one; both may be false. */
    private class Evidence(val isResponseEffectMissing: Boolean, val isResponseEffectShown: Boolean)

    /**
     * Updates the reachability of [machine] from [heartbeat], which this leader, ready since [readyAt], is about to answer.
     *
     * A heartbeat is unacknowledged if it shows that an earlier response did not arrive: the worker's token is still lower than this
     * leader's, or the heartbeat does not list a start that the response carried. The caller also counts the lost responses
     * that a new incarnation of the worker shows. A heartbeat that shows the effect of a response resets the count.
     *
     * A machine with a count of [MAX_UNACKNOWLEDGED_HEARTBEATS] is unreachable: no more tasks are placed on it, and it is scaled in if it
     * stays unreachable. Test: `RecoveryTest`, "an unreachable machine gets no more work and is scaled in, and its tasks run elsewhere".
     */
    fun update(machine: Machine, heartbeat: Heartbeat, now: MonotonicTime, readyAt: MonotonicTime): ReachabilityChange {
        val evidence = collectEvidence(machine, heartbeat, now)
        when {
            // A newly elected leader responds so slowly that workers time out, so lost responses do not show that workers are
            // unreachable (docs/incidents/inc-0e16.md). Test: `RecoveryTest`, "a leader just elected does not take its own slow responses
            // for unreachable workers".
            now - readyAt < NEW_LEADER_SETTLING_MS -> machine.reachability.clearUnacknowledged()
            evidence.isResponseEffectMissing -> machine.reachability.countUnacknowledged()
            evidence.isResponseEffectShown -> machine.reachability.clearUnacknowledged()
        }
        return when {
            machine.unacknowledgedHeartbeats >= MAX_UNACKNOWLEDGED_HEARTBEATS && machine.unreachableSince == null -> {
                machine.reachability.markUnreachable(now)
                log.info("machine={} unreachable: its heartbeats arrive, but responses and commands seem not to reach it", machine.id)
                ReachabilityChange.LOST
            }
            machine.unacknowledgedHeartbeats == 0 && machine.unreachableSince != null -> {
                machine.reachability.markReachable()
                log.info("machine={} reachable again: responses and commands seem to reach it", machine.id)
                ReachabilityChange.RESTORED
            }
            else -> ReachabilityChange.NONE
        }
    }

    private fun collectEvidence(machine: Machine, heartbeat: Heartbeat, now: MonotonicTime): Evidence {
        val answeredSequence = machine.answeredSequence
        val isTokenBehind = answeredSequence != null && answeredSequence < heartbeat.sequence && heartbeat.token < leaderLease.token
        val hasOutlivedLease = now - machine.incarnationSince > timing.leaseExpiryMs && heartbeat.token.term == leaderLease.token.term
        val sentStarts = machine.unreleasedAssignments.values.filter { wasStartSentBefore(it, heartbeat) }
        val (missing, shown) = sentStarts.partition { it.reportedState == null }
        for (assignment in shown) assignment.startDelivery.confirm()
        return Evidence(isTokenBehind || missing.isNotEmpty(), hasOutlivedLease || shown.isNotEmpty())
    }

    /** Whether the response to an earlier heartbeat of the same incarnation carried the start of [assignment]. */
    private fun wasStartSentBefore(assignment: Assignment, heartbeat: Heartbeat): Boolean {
        val startSentIn = assignment.startSentInAnswerTo ?: return false
        return assignment.phase == Phase.COMMITTED && assignment.incarnation == heartbeat.incarnation && heartbeat.sequence > startSentIn
    }

    /**
     * Whether so many machines are unreachable that the fault must be this node's, which cannot send. The caller holds the lock of the
     * leader's term. Test: `RecoveryTest`, "a node that cannot send to any worker resigns and scales nothing in".
     */
    fun areMostMachinesUnreachable(): Boolean {
        val up = cluster.machines.values.count { it.state == MachineState.UP && !it.isDeleting }
        val unreachable = cluster.machines.values.count { it.unreachableSince != null && !it.isDeleting }
        return unreachable >= MIN_MACHINES_TO_JUDGE_NODE && unreachable * 2 > up
    }

    companion object {
        /** Number of unacknowledged heartbeats from which a machine counts as unreachable; see [update]. */
        const val MAX_UNACKNOWLEDGED_HEARTBEATS = 2

        /** With fewer machines than this, unreachable machines or missing heartbeats do not count as a fault of this node. */
        const val MIN_MACHINES_TO_JUDGE_NODE = 3
        private const val NEW_LEADER_SETTLING_MS = 15_000L
    }
}
