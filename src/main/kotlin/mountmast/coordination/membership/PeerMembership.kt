package mountmast.coordination.membership

import mountmast.protocol.Clock
import mountmast.protocol.ForwardedRequest
import mountmast.protocol.Member
import mountmast.protocol.MonotonicTime
import mountmast.protocol.NodeId
import mountmast.protocol.PeerHeartbeat
import mountmast.transport.PeerClient
import mountmast.transport.UserAnswer
import java.util.concurrent.ConcurrentHashMap

/**
 * Exchanges heartbeats with the other nodes, keeps the latest heartbeat of each, and forwards users' requests to a node that can
 * serve them. Thread-safe, without a lock. A peer that cannot be reached is skipped; no exception is thrown.
 */
class PeerMembership(
    private val members: List<Member>,
    private val peerClient: PeerClient,
    private val cancellations: CancellationBroadcast,
    private val clock: Clock,
    private val localNode: LocalNode,
) {
    /** This node, as a sender and receiver of peer heartbeats. */
    interface LocalNode {
        /** Returns the heartbeat that this node sends now, without cancellations. */
        fun ownHeartbeat(): PeerHeartbeat

        /** Called with each [peerHeartbeat] of another node, whether received as a request or as the response to one. */
        fun onPeerHeartbeat(peerHeartbeat: PeerHeartbeat)
    }

    private class ReceivedHeartbeat(val heartbeat: PeerHeartbeat, val receivedAt: MonotonicTime)

    private val latestHeartbeats = ConcurrentHashMap<NodeId, ReceivedHeartbeat>()

    /** Whether this node has tried to send a heartbeat to every other node; before that, it is unknown whether any of them serves users. */
    @Volatile
    var hasExchangedHeartbeats = false
        private set

    /** Returns how many other nodes serve users, according to their heartbeats received in the last six seconds. */
    fun countServing(): Int = freshHeartbeats().count { it.serves }

    /** Returns of how many other nodes a heartbeat was received in the last six seconds. */
    fun countHeard(): Int = freshHeartbeats().size

    /** Describes for the log, for each other node, the last heartbeat received from it. */
    fun describeHeartbeats(): String = members.joinToString { member ->
        val latest = latestHeartbeats[member.node]
        if (latest == null) "nothing of ${member.node}" else "${member.node} ${describe(latest)}"
    }

    private fun describe(received: ReceivedHeartbeat) = "${clock.now() - received.receivedAt} ms ago, serves=${received.heartbeat.serves}"

    private fun freshHeartbeats(): List<PeerHeartbeat> =
        latestHeartbeats.values.filter { clock.now() - it.receivedAt < MAX_HEARTBEAT_AGE_MS }.map { it.heartbeat }

    /** Exchanges heartbeats with all other nodes, one after another. */
    fun exchangeHeartbeats() {
        members.forEach(::exchangeHeartbeatWith)
        hasExchangedHeartbeats = true
    }

    /** Exchanges heartbeats with [node] at once, provided that a heartbeat of that node was received in the last six seconds. */
    fun exchangeHeartbeatIfAlive(node: NodeId) {
        if (freshHeartbeats().any { it.node == node.text }) members.firstOrNull { it.node == node }?.let(::exchangeHeartbeatWith)
    }

    private fun exchangeHeartbeatWith(member: Member) {
        val cancelled = cancellations.unacknowledgedBy(member.node)
        val response =
            peerClient.exchangeHeartbeats(member, localNode.ownHeartbeat().copy(cancelledJobs = cancelled.map { it.text })) ?: return
        cancellations.acknowledge(member.node, cancelled)
        recordHeartbeat(response)
    }

    /** Records the [heartbeat] of another node and returns this node's own as the response. */
    fun onHeartbeat(heartbeat: PeerHeartbeat): PeerHeartbeat {
        recordHeartbeat(heartbeat)
        return localNode.ownHeartbeat()
    }

    private fun recordHeartbeat(heartbeat: PeerHeartbeat) {
        latestHeartbeats[NodeId(heartbeat.node)] = ReceivedHeartbeat(heartbeat, clock.now())
        localNode.onPeerHeartbeat(heartbeat)
    }

    /** Forwards [request] to a node that serves users. Returns the node's answer, or null if no node serves or it does not answer. */
    fun forward(request: ForwardedRequest): UserAnswer? {
        val servingHeartbeat = freshHeartbeats().firstOrNull { it.serves } ?: return null
        val member = members.firstOrNull { it.node.text == servingHeartbeat.node } ?: return null
        val response = peerClient.forward(member, request) ?: return null
        return UserAnswer(response.status, response.body, response.retryAfterS)
    }

    private companion object {
        /** A heartbeat up to three peer heartbeat intervals old counts as fresh. */
        const val MAX_HEARTBEAT_AGE_MS = 6000L
    }
}
