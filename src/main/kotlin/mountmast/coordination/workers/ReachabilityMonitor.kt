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

/**
 * Detects machines whose reports arrive while answers and commands do not reach them. Guarded as its [ClusterState] is.
 */
class ReachabilityMonitor(private val cluster: ClusterState, private val leaderLease: LeaderLease, private val timing: LeaseTiming) {
    /** What a report tells of whether earlier answers arrived; both may be false. */
    private class Evidence(val isEffectMissing: Boolean, val isEffectShown: Boolean)

    /**
     * Takes note of [heartbeat], which this leader is about to answer; true where the machine is reached again and may have work.
     *
     * An answer did not arrive if the worker's token lags behind ours, or a start that it told is not shown; the caller counts
     * sessions that rise although the worker was answered. A machine with [MAX_UNACKNOWLEDGED_HEARTBEATS] such reports in a row gets no more
     * work, and is returned if that lasts. A report that shows an answer's effect clears it.
     */
    fun note(machine: Machine, heartbeat: Heartbeat, now: MonotonicTime, readyAt: MonotonicTime): Boolean {
        val evidence = evidence(machine, heartbeat, now)
        when {
            // A node that has just begun answers so slowly that workers drop its answers: that says nothing of them.
            now - readyAt < SETTLING_MS -> machine.unacknowledgedHeartbeats = 0
            evidence.isEffectMissing -> machine.unacknowledgedHeartbeats++
            evidence.isEffectShown -> machine.unacknowledgedHeartbeats = 0
        }
        if (machine.unacknowledgedHeartbeats >= MAX_UNACKNOWLEDGED_HEARTBEATS && machine.unreachedSince == null) {
            machine.unreachedSince = now
            log.info("machine {} reports, but nothing seems to reach it", machine.id)
            return false
        }
        val isReachedAgain = machine.unacknowledgedHeartbeats == 0 && machine.unreachedSince != null
        if (isReachedAgain) {
            machine.unreachedSince = null
            log.info("machine {} is reached again", machine.id)
        }
        return isReachedAgain
    }

    private fun evidence(machine: Machine, heartbeat: Heartbeat, now: MonotonicTime): Evidence {
        val answered = machine.answeredSequence
        val isTokenBehind = answered != null && answered < heartbeat.sequence && heartbeat.token < leaderLease.token
        val outlivesLease = now - machine.incarnationSince > timing.leaseExpiryMs && heartbeat.token.term == leaderLease.token.term
        val toldStarts = machine.live.values.filter { isToldBefore(it, heartbeat) }
        val (missing, shown) = toldStarts.partition { it.reported == null }
        for (assignment in shown) assignment.startedInHeartbeat = null
        return Evidence(isTokenBehind || missing.isNotEmpty(), outlivesLease || shown.isNotEmpty())
    }

    /** Whether the start of [assignment] was in the answer to a report of the same session before this one. */
    private fun isToldBefore(assignment: Assignment, heartbeat: Heartbeat): Boolean {
        val answered = assignment.startedInHeartbeat ?: return false
        return assignment.phase == Phase.COMMITTED && assignment.incarnation == heartbeat.incarnation && heartbeat.sequence > answered
    }

    /** Whether so many workers hear nothing that it must be this node, which cannot send. The caller holds the lock. */
    fun areMostUnreached(): Boolean {
        val up = cluster.machines.values.count { it.state == MachineState.UP && !it.deleting }
        val unreached = cluster.machines.values.count { it.unreachedSince != null && !it.deleting }
        return unreached >= MIN_MACHINES_TO_JUDGE_NODE && unreached * 2 > up
    }

    companion object {
        /** Reports in a row that show nothing of the answers before them. */
        const val MAX_UNACKNOWLEDGED_HEARTBEATS = 2

        /** Of so few machines nothing can be told about the node itself. */
        const val MIN_MACHINES_TO_JUDGE_NODE = 3
        private const val SETTLING_MS = 15_000L
    }
}
