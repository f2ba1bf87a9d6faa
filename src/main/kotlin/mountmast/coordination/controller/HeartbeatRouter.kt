package mountmast.coordination.controller

import mountmast.coordination.election.LeaderElection
import mountmast.coordination.election.LeaderLease
import mountmast.coordination.workers.LeaseRenewalDelegate
import mountmast.protocol.Clock
import mountmast.protocol.Heartbeat
import mountmast.protocol.HeartbeatResponse
import mountmast.transport.HeartbeatOutcome
import mountmast.transport.HeartbeatService

/**
 * Answers a worker's heartbeat as the leader or in the name of one just elected, and sends the worker elsewhere if this
 * node may do neither. Thread-safe.
 */
internal class HeartbeatRouter(
    private val election: LeaderElection,
    private val leader: CurrentLeaderComponents,
    private val leaseRenewalDelegate: LeaseRenewalDelegate,
    private val clock: Clock,
) : HeartbeatService {
    override fun onHeartbeat(heartbeat: Heartbeat): HeartbeatOutcome {
        election.observeToken(heartbeat.token)
        val leaderLease = election.leaderLease ?: return leaseRenewalDelegate.renewOnBehalf(heartbeat)
        // The components follow the lease a moment later, and until then belong to no term or a former one.
        val leaderTerm = leader.get()?.leaderTerm?.takeIf { it.leaderLease === leaderLease }
        val isSuperseded = !election.mayRenewWorkerLeases() || heartbeat.token.term > leaderLease.token.term
        if (isSuperseded || leaderTerm == null || !leaderTerm.mayRenewWorkerLeases()) return HeartbeatOutcome.Redirected(null)
        return HeartbeatOutcome.Accepted(respond(heartbeat, leaderTerm, leaderLease))
    }

    private fun respond(heartbeat: Heartbeat, leaderTerm: LeaderTerm, leaderLease: LeaderLease): HeartbeatResponse {
        val receivedAt = clock.now()
        val response = if (leaderTerm.isLoaded) {
            leaderTerm.heartbeats.onHeartbeat(heartbeat)
        } else {
            HeartbeatResponse(maxOf(leaderLease.token, heartbeat.token), leaseRenewalDelegate.stopCommandsFor(heartbeat))
        }
        if (response.token.number > 0u) leaderTerm.liveness.renewals.record(heartbeat.machine, receivedAt)
        return response
    }
}
