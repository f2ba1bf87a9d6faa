package mountmast.coordination.controller

import mountmast.coordination.election.LeaderElection
import mountmast.coordination.membership.CancellationBroadcast
import mountmast.coordination.membership.PeerMembership
import mountmast.protocol.JobId

/** Announces cancellations that this node has committed: to the leader at once, to all peers with the next heartbeats. Thread-safe. */
internal class CancellationAnnouncer(
    private val cancellations: CancellationBroadcast,
    private val leaderComponents: CurrentLeaderComponents,
    private val election: LeaderElection,
    private val membership: PeerMembership,
) {
    /**
     * Queues the committed cancellation of job [id] for all peers, and applies it at once if this node leads; otherwise sends it to
     * the leader, if the leader is known and has sent a heartbeat lately. Called before the user gets the answer, so that a leader
     * that can be reached starts no task of the job afterwards.
     */
    fun announce(id: JobId) {
        cancellations.broadcast(id)
        val leaderTerm = leaderComponents.get()?.leaderTerm
        if (leaderTerm != null) return leaderTerm.jobs.cancelByBroadcast(listOf(id))
        val leadingNode = election.leader ?: return
        membership.exchangeHeartbeatIfAlive(leadingNode)
    }
}
