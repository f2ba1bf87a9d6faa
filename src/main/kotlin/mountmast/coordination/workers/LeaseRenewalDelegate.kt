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
 * Answers workers without knowing the jobs: in the name of a leader that was elected a moment ago and is too slow for all
 * workers at once, or before a leader has read them. Thread-safe.
 */
class LeaseRenewalDelegate(private val election: LeaderElection, private val cancellations: CancellationBroadcast) {
    private val renewed = ConcurrentHashMap.newKeySet<MachineId>()

    @Volatile
    private var delegatedUnder = FencingToken(0u)

    /** Renews a worker's lease once for a leader just elected, or returns null; the worker's next report is sent there. */
    fun renewOnBehalf(heartbeat: Heartbeat): HeartbeatOutcome? {
        val token = election.delegatedToken() ?: return null
        if (token != delegatedUnder) {
            renewed.clear()
            delegatedUnder = token
        }
        if (heartbeat.token.term > token.term || renewed.size >= MAX_RENEWED || !renewed.add(heartbeat.machine)) return null
        return HeartbeatOutcome.Accepted(HeartbeatResponse(maxOf(token, heartbeat.token), stopCommandsFor(heartbeat)))
    }

    /** What can be told all the same: to stop what other nodes said is cancelled. */
    fun stopCommandsFor(heartbeat: Heartbeat): List<WorkerCommand> = heartbeat.tasks.mapNotNull { reported ->
        val job = TaskId.parse(reported.task)?.job
        if (reported.state == TaskState.EXITED || job == null || job !in cancellations) {
            null
        } else {
            WorkerCommand(CommandType.STOP, reported.task, reported.attempt, 0.0)
        }
    }

    private companion object {
        const val MAX_RENEWED = 10_000
    }
}
