package mountmast.coordination.controller

import mountmast.coordination.election.LeaderElection
import mountmast.coordination.membership.CancellationBroadcast
import mountmast.coordination.membership.FormatNegotiation
import mountmast.coordination.membership.PeerMembership
import mountmast.protocol.FencingToken
import mountmast.protocol.JobId
import mountmast.protocol.NodeId
import mountmast.protocol.PeerHeartbeat
import mountmast.storage.FORMAT_VERSION

/** Creates the peer heartbeats of this node, and applies those of other nodes. Thread-safe. */
internal class LocalPeerState(
    private val node: NodeId,
    private val election: LeaderElection,
    private val cancellations: CancellationBroadcast,
    private val formats: FormatNegotiation,
    private val leaderComponents: CurrentLeaderComponents,
    /** Returns whether this node can serve users without forwarding their requests. */
    private val canServe: () -> Boolean,
) : PeerMembership.LocalNode {
    override fun ownHeartbeat() = PeerHeartbeat(
        node.text,
        election.highestToken.number.toLong(),
        canServe(),
        election.leaderLease != null,
        formatVersion = FORMAT_VERSION,
    )

    override fun onPeerHeartbeat(peerHeartbeat: PeerHeartbeat) {
        formats.recordVersion(NodeId(peerHeartbeat.node), peerHeartbeat.formatVersion)
        election.observeToken(FencingToken(peerHeartbeat.token.toULong()))
        val cancelled = peerHeartbeat.cancelledJobs.mapNotNull(JobId::parse)
        if (cancelled.isEmpty()) return
        cancellations.receive(cancelled)
        leaderComponents.get()?.leaderTerm?.jobs?.cancelByBroadcast(cancelled)
    }
}
