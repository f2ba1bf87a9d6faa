package mountmast.coordination.membership

import mountmast.protocol.Clock
import mountmast.protocol.Member
import mountmast.protocol.MonotonicTime
import mountmast.protocol.NodeId
import mountmast.protocol.PeerHello
import mountmast.protocol.RelayRequest
import mountmast.transport.Peers
import mountmast.transport.UserAnswer
import java.util.concurrent.ConcurrentHashMap

/** What the other nodes said of themselves lately, and requests passed on to one that can serve them. Thread-safe. */
class PeerStates(
    private val members: List<Member>,
    private val peers: Peers,
    private val notices: CancellationNotices,
    private val clock: Clock,
    private val own: Own,
) {
    /** This node, as it greets and takes greetings. */
    interface Own {
        /** What this node says of itself. */
        fun hello(): PeerHello

        /** Another node said [hello], by itself or in answer. */
        fun onHello(hello: PeerHello)
    }

    private class Heard(val hello: PeerHello, val at: MonotonicTime)

    private val heard = ConcurrentHashMap<NodeId, Heard>()

    /** Whether all others were greeted once: before, this node cannot tell whether any of them serves. */
    @Volatile
    var hasGreeted = false
        private set

    /** How many other nodes serve users, as far as is known. */
    fun serving(): Int = fresh().count { it.serves }

    private fun fresh(): List<PeerHello> = heard.values.filter { clock.now() - it.at < FRESH_MS }.map { it.hello }

    /** Greets all other nodes. */
    fun greetAll() {
        members.forEach(::greet)
        hasGreeted = true
    }

    /** Greets [node] out of turn, if it was heard from lately. */
    fun greetIfHeard(node: NodeId) {
        if (fresh().any { it.node == node.text }) members.firstOrNull { it.node == node }?.let(::greet)
    }

    private fun greet(member: Member) {
        val told = notices.pendingFor(member.node)
        val answer = peers.hello(member, own.hello().copy(cancelled = told.map { it.text })) ?: return
        notices.acknowledged(member.node, told)
        note(answer)
    }

    /** Another node greets; returns this node's greeting. */
    fun greeted(from: PeerHello): PeerHello {
        note(from)
        return own.hello()
    }

    private fun note(hello: PeerHello) {
        heard[NodeId(hello.node)] = Heard(hello, clock.now())
        own.onHello(hello)
    }

    /** Has another node serve [request]; null where none can. */
    fun relay(request: RelayRequest): UserAnswer? {
        val able = fresh().firstOrNull { it.serves } ?: return null
        val member = members.firstOrNull { it.node.text == able.node } ?: return null
        val answer = peers.relay(member, request) ?: return null
        return UserAnswer(answer.status, answer.body, answer.retryAfterS)
    }

    private companion object {
        const val FRESH_MS = 6000L
    }
}
