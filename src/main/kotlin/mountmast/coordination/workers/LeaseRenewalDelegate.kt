package mountmast.coordination.workers

import mountmast.coordination.election.LeaderElection
import mountmast.coordination.membership.CancellationBroadcast
import mountmast.protocol.CommandType
import mountmast.protocol.FencingToken
import mountmast.protocol.Heartbeat
import mountmast.protocol.HeartbeatResponse
import mountmast.protocol.MachineId
import mountmast.protocol.TaskId
import mountmast.protocol.TaskState
import mountmast.protocol.WorkerCommand
import mountmast.transport.HeartbeatOutcome
import java.util.concurrent.ConcurrentHashMap

/**
 * Answers workers' heartbeats without knowing the jobs, so that the workers' leases are renewed: on behalf of a newly elected leader,
 * which is too slow to answer all workers at once, or on the leader itself before it has loaded its state. Thread-safe.
 */
class LeaseRenewalDelegate(private val election: LeaderElection, private val cancellations: CancellationBroadcast) {
    private val renewedMachines = ConcurrentHashMap.newKeySet<MachineId>()

    @Volatile
    private var delegationToken = FencingToken(0u)

    /**
     * Renews the lease of the worker that sent [heartbeat] on behalf of a newly elected leader, at most once per worker and leader. If the
     * lease may not be renewed, refers the worker to the leader or, if none is known, to any other node.
     */
    fun renewLeaseForLeader(heartbeat: Heartbeat): HeartbeatOutcome {
        val token = election.delegatedToken()
        if (token == null || !claimRenewal(heartbeat, token)) return HeartbeatOutcome.Redirected(election.leader)
        return HeartbeatOutcome.Accepted(HeartbeatResponse(maxOf(token, heartbeat.token), stopCommandsFor(heartbeat)))
    }

    /**
     * Returns whether the lease of the worker that sent [heartbeat] may be renewed under [token], and records that renewal. A worker's
     * lease is renewed at most once per token, and not if the worker has seen a newer term.
     */
    private fun claimRenewal(heartbeat: Heartbeat, token: FencingToken): Boolean {
        if (token != delegationToken) {
            renewedMachines.clear()
            delegationToken = token
        }
        return heartbeat.token.term <= token.term && renewedMachines.size < MAX_RENEWED_MACHINES && renewedMachines.add(heartbeat.machine)
    }

    /** Returns stop commands for the tasks in [heartbeat] whose jobs were broadcast as cancelled; this requires no other job state. */
    fun stopCommandsFor(heartbeat: Heartbeat): List<WorkerCommand> = heartbeat.tasks.mapNotNull { reported ->
        val job = TaskId.parse(reported.task)?.job
        if (reported.state == TaskState.EXITED || job == null || job !in cancellations) {
            null
        } else {
            WorkerCommand(CommandType.STOP, reported.task, reported.attempt, 0.0)
        }
    }

    private companion object {
        const val MAX_RENEWED_MACHINES = 10_000
    }
}
