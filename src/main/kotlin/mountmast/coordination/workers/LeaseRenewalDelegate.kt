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
 * Renews workers' leases without knowing the jobs: on behalf of a leader that was just elected and is too slow for all workers at once,
 * or at the leader before it has loaded its state. Thread-safe.
 */
class LeaseRenewalDelegate(private val election: LeaderElection, private val cancellations: CancellationBroadcast) {
    private val renewedMachines = ConcurrentHashMap.newKeySet<MachineId>()

    @Volatile
    private var delegatedUnder = FencingToken(0u)

    /**
     * Renews a worker's lease once on behalf of a leader that was just elected. Refers the worker to the leader, if one is known, where no
     * leader has delegated renewals, and for each further heartbeat of the worker.
     */
    fun renewOnBehalf(heartbeat: Heartbeat): HeartbeatOutcome {
        val token = election.delegatedToken()
        if (token == null || !claimRenewal(heartbeat, token)) return HeartbeatOutcome.Redirected(election.leader)
        return HeartbeatOutcome.Accepted(HeartbeatResponse(maxOf(token, heartbeat.token), stopCommandsFor(heartbeat)))
    }

    /** Claims the one renewal of the heartbeat's machine under [token]; it is refused to workers that have seen a newer leader. */
    private fun claimRenewal(heartbeat: Heartbeat, token: FencingToken): Boolean {
        if (token != delegatedUnder) {
            renewedMachines.clear()
            delegatedUnder = token
        }
        return heartbeat.token.term <= token.term && renewedMachines.size < MAX_RENEWALS && renewedMachines.add(heartbeat.machine)
    }

    /** Returns the commands that need no knowledge of the jobs: stops for tasks of jobs that were broadcast as cancelled. */
    fun stopCommandsFor(heartbeat: Heartbeat): List<WorkerCommand> = heartbeat.tasks.mapNotNull { reported ->
        val job = TaskId.parse(reported.task)?.job
        if (reported.state == TaskState.EXITED || job == null || job !in cancellations) {
            null
        } else {
            WorkerCommand(CommandType.STOP, reported.task, reported.attempt, 0.0)
        }
    }

    private companion object {
        const val MAX_RENEWALS = 10_000
    }
}
