package mountmast.coordination.membership

import mountmast.protocol.Clock
import mountmast.protocol.ForwardedRequest
import mountmast.protocol.Member
import mountmast.protocol.MonotonicTime
import mountmast.protocol.NodeId
import mountmast.protocol.PeerHeartbeat
import mountmast.transport.PeerClient
import mountmast.transport.UserAnswer
import java.net.HttpURLConnection
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

    /** A [heartbeat] that was received at [receivedAt] or, as a response, was asked for at that time. */
    private class ReceivedHeartbeat(val heartbeat: PeerHeartbeat, val receivedAt: MonotonicTime)

    /** The latest heartbeat received from each node, whether as a request or as a response. */
    private val latestHeartbeats = ConcurrentHashMap<NodeId, ReceivedHeartbeat>()

    /**
     * For each node, its latest response to a heartbeat of this node, with the time at which that heartbeat was sent. Only responses tell
     * whether a node serves users: a response is at most as old as the exchange took, whereas the network may hold up a heartbeat that
     * another node sent for minutes.
     */
    private val latestResponses = ConcurrentHashMap<NodeId, ReceivedHeartbeat>()

    /** Whether this node has tried to send a heartbeat to every other node; before that, it is unknown whether any of them serves users. */
    @Volatile
    var hasExchangedHeartbeats = false
        private set

    /** Returns whether [node] serves users, by its response to a heartbeat that this node sent in the last six seconds. */
    fun serviceOf(node: NodeId): PeerServiceState {
        val response = latestResponses[node]
        return when {
            response == null || !isFresh(response) -> PeerServiceState.UNKNOWN
            response.heartbeat.serves -> PeerServiceState.SERVING
            else -> PeerServiceState.NOT_SERVING
        }
    }

    /** Returns how many other nodes are known to be in [state]. */
    fun countPeers(state: PeerServiceState): Int = members.count { serviceOf(it.node) == state }

    /** Describes for the log what is known of each other node. */
    fun describePeers(): String = members.joinToString { member ->
        val heard = latestHeartbeats[member.node]?.let { "heard ${clock.now() - it.receivedAt} ms ago" } ?: "not heard"
        "${member.node} ${serviceOf(member.node).text} ($heard)"
    }

    private fun isFresh(heartbeat: ReceivedHeartbeat) = clock.now() - heartbeat.receivedAt < MAX_HEARTBEAT_AGE_MS

    /** Exchanges heartbeats with all other nodes, one after another. */
    fun exchangeHeartbeats() {
        members.forEach(::exchangeHeartbeatWith)
        hasExchangedHeartbeats = true
    }

    /** Exchanges heartbeats with [node] at once, provided that a heartbeat of that node was received in the last six seconds. */
    fun exchangeHeartbeatIfAlive(node: NodeId) {
        if (latestHeartbeats[node]?.let(::isFresh) == true) members.firstOrNull { it.node == node }?.let(::exchangeHeartbeatWith)
    }

    private fun exchangeHeartbeatWith(member: Member) {
        val cancelled = cancellations.unacknowledgedBy(member.node)
        val heartbeat = localNode.ownHeartbeat().copy(cancelledJobs = cancelled.map { it.text })
        val sentAt = clock.now()
        val response = peerClient.exchangeHeartbeats(member, heartbeat) ?: return
        cancellations.acknowledge(member.node, cancelled)
        latestResponses[member.node] = ReceivedHeartbeat(response, sentAt)
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

    /**
     * Forwards [request] to the nodes that serve users, one after another, until one of them answers with another status than 503. A node
     * that does not answer counts as not responding until its next heartbeat. No further node is tried after [MAX_FORWARDING_MS], as the
     * user does not wait for it.
     *
     * Returns the answer, a 503 if no node had a better one, or null if no node serves or none answers.
     */
    fun forward(request: ForwardedRequest): UserAnswer? {
        val startedAt = clock.now()
        var refusal: UserAnswer? = null
        for (member in members.filter { serviceOf(it.node) == PeerServiceState.SERVING }) {
            if (clock.now() - startedAt >= MAX_FORWARDING_MS) break
            val answer = forwardTo(member, request)
            if (answer != null && answer.status != HttpURLConnection.HTTP_UNAVAILABLE) return answer
            refusal = refusal ?: answer
        }
        return refusal
    }

    private fun forwardTo(member: Member, request: ForwardedRequest): UserAnswer? {
        val lastResponse = latestResponses[member.node]
        val response = peerClient.forward(member, request)
        if (response == null) {
            if (lastResponse != null) latestResponses.remove(member.node, lastResponse)
            return null
        }
        return UserAnswer(response.status, response.body, response.retryAfterS)
    }

    private companion object {
        /** A heartbeat up to three peer heartbeat intervals old counts as fresh. */
        const val MAX_HEARTBEAT_AGE_MS = 6000L
        const val MAX_FORWARDING_MS = 1000L
    }
}
