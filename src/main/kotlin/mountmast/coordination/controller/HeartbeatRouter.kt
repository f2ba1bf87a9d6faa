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
 * Answers a worker's heartbeat as the leader or on behalf of a leader that was just elected, and refers the worker to another node
 * if this node may do neither. Thread-safe; takes the lock of the leader's term.
 */
internal class HeartbeatRouter(
    private val election: LeaderElection,
    private val leaderComponents: CurrentLeaderComponents,
    private val leaseRenewalDelegate: LeaseRenewalDelegate,
    private val clock: Clock,
) : HeartbeatService {
    override fun onHeartbeat(heartbeat: Heartbeat): HeartbeatOutcome {
        election.observeToken(heartbeat.token)
        val leaderLease = election.leaderLease ?: return leaseRenewalDelegate.renewLeaseForLeader(heartbeat)
        // The election loop creates a term's components shortly after the election. Until then there are none, or those of a former
        // term.
        val leaderTerm = leaderComponents.get()?.leaderTerm?.takeIf { it.leaderLease === leaderLease }
        val isSuperseded = !election.mayRenewWorkerLeases() || heartbeat.token.term > leaderLease.token.term
        if (isSuperseded || leaderTerm == null || !leaderTerm.mayRenewWorkerLeases()) return HeartbeatOutcome.Redirected(null)
        return HeartbeatOutcome.Accepted(respond(heartbeat, leaderTerm, leaderLease))
    }

    private fun respond(heartbeat: Heartbeat, leaderTerm: LeaderTerm, leaderLease: LeaderLease): HeartbeatResponse {
        val receivedAt = clock.now()
        val response = if (leaderTerm.isLoaded) {
            leaderTerm.heartbeatHandler.onHeartbeat(heartbeat)
        } else {
            HeartbeatResponse(maxOf(leaderLease.token, heartbeat.token), leaseRenewalDelegate.stopCommandsFor(heartbeat))
        }
        if (response.token.number > 0u) leaderTerm.livenessMonitor.renewalLog.recordRenewal(heartbeat.machine, receivedAt)
        return response
    }
}
