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

/** What the other nodes said of themselves lately, and requests passed on to one that can serve them. Thread-safe. */
class PeerMembership(
    private val members: List<Member>,
    private val peers: PeerClient,
    private val cancellations: CancellationBroadcast,
    private val clock: Clock,
    private val own: Own,
) {
    /** This node, as it greets and takes greetings. */
    interface Own {
        /** What this node says of itself. */
        fun ownHeartbeat(): PeerHeartbeat

        /** Another node said [heartbeat], by itself or in answer. */
        fun onPeerHeartbeat(heartbeat: PeerHeartbeat)
    }

    private class ReceivedHeartbeat(val heartbeat: PeerHeartbeat, val at: MonotonicTime)

    private val heard = ConcurrentHashMap<NodeId, ReceivedHeartbeat>()

    /** Whether all others were greeted once: before, this node cannot tell whether any of them serves. */
    @Volatile
    var hasExchangedHeartbeats = false
        private set

    /** How many other nodes serve users, as far as is known. */
    fun serving(): Int = fresh().count { it.serves }

    private fun fresh(): List<PeerHeartbeat> = heard.values.filter { clock.now() - it.at < FRESH_MS }.map { it.heartbeat }

    /** Greets all other nodes. */
    fun exchangeHeartbeats() {
        members.forEach(::exchangeHeartbeatWith)
        hasExchangedHeartbeats = true
    }

    /** Greets [node] out of turn, if it was heard from lately. */
    fun exchangeHeartbeatIfAlive(node: NodeId) {
        if (fresh().any { it.node == node.text }) members.firstOrNull { it.node == node }?.let(::exchangeHeartbeatWith)
    }

    private fun exchangeHeartbeatWith(member: Member) {
        val told = cancellations.pendingFor(member.node)
        val answer = peers.exchangeHeartbeats(member, own.ownHeartbeat().copy(cancelled = told.map { it.text })) ?: return
        cancellations.acknowledged(member.node, told)
        note(answer)
    }

    /** Another node greets; returns this node's greeting. */
    fun onHeartbeat(from: PeerHeartbeat): PeerHeartbeat {
        note(from)
        return own.ownHeartbeat()
    }

    private fun note(heartbeat: PeerHeartbeat) {
        heard[NodeId(heartbeat.node)] = ReceivedHeartbeat(heartbeat, clock.now())
        own.onPeerHeartbeat(heartbeat)
    }

    /** Has another node serve [request]; null where none can. */
    fun forward(request: ForwardedRequest): UserAnswer? {
        val able = fresh().firstOrNull { it.serves } ?: return null
        val member = members.firstOrNull { it.node.text == able.node } ?: return null
        val answer = peers.forward(member, request) ?: return null
        return UserAnswer(answer.status, answer.body, answer.retryAfterS)
    }

    private companion object {
        const val FRESH_MS = 6000L
    }
}
