package mountmast.coordination.controller

import mountmast.coordination.election.LeaderElection
import mountmast.coordination.membership.CancellationBroadcast
import mountmast.coordination.membership.PeerMembership
import mountmast.protocol.JobId

/** Announces cancellations that this node committed to the leader and to all peers. Thread-safe. */
internal class CancellationAnnouncer(
    private val cancellations: CancellationBroadcast,
    private val leader: CurrentLeaderComponents,
    private val election: LeaderElection,
    private val membership: PeerMembership,
) {
    /**
     * Announces that the cancellation of job [id] is committed. The leader learns of it before the user does, if it can be
     * reached, so that no task of the job starts after the user was told.
     */
    fun announce(id: JobId) {
        cancellations.broadcast(id)
        val leaderTerm = leader.get()?.leaderTerm
        if (leaderTerm != null) return leaderTerm.jobs.cancelByBroadcast(listOf(id))
        val leadingNode = election.leader ?: return
        membership.exchangeHeartbeatIfAlive(leadingNode)
    }
}
