package mountmast.coordination.membership

import mountmast.protocol.ForwardedRequest
import mountmast.protocol.ForwardedResponse
import mountmast.protocol.Member
import mountmast.protocol.NodeId
import mountmast.protocol.PeerHeartbeat
import mountmast.protocol.Zone
import mountmast.standin.VirtualTime
import mountmast.transport.PeerClient
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Test
import java.net.InetSocketAddress

/** Requests forwarded to peers that said they serve users, and no longer do. */
class ForwardingTest {
    private val time = VirtualTime()
    private val clock = time.clock(0.0, 0)
    private val members = (1..3).map { Member(NodeId("node-$it"), Zone("zone"), InetSocketAddress("127.0.0.1", it)) }
    private val request = ForwardedRequest("GET", "/v1/jobs/j-000001", "")

    private object LocalNode : PeerMembership.LocalNode {
        override fun ownHeartbeat() = PeerHeartbeat("node-0", 0, serves = false, leads = false)

        override fun onPeerHeartbeat(peerHeartbeat: PeerHeartbeat) = Unit
    }

    /** Peers that all say that they serve users; [statuses] has the status with which each answers, null for a peer that does not. */
    private inner class Peers(var statuses: List<Int?>) : PeerClient {
        val asked = ArrayList<Int>()
        var silenceMs = 0L

        override fun exchangeHeartbeats(to: Member, heartbeat: PeerHeartbeat) = PeerHeartbeat(to.node.text, 0, serves = true, leads = false)

        override fun forward(to: Member, request: ForwardedRequest): ForwardedResponse? {
            val index = members.indexOf(to)
            asked += index
            val status = statuses[index]
            if (status == null) time.advance(silenceMs)
            return status?.let { ForwardedResponse(it, "from ${to.node}", 1) }
        }
    }

    private fun membershipOf(peers: Peers) =
        PeerMembership(members, peers, CancellationBroadcast(emptyList(), clock, 60_000), clock, LocalNode).apply { exchangeHeartbeats() }

    @Test
    fun `a peer that cannot serve any longer is passed over for one that can`() {
        // Its 503 was handed to the user, although another node served.
        val peers = Peers(listOf(503, 404, 200))
        assertEquals(404, membershipOf(peers).forward(request)?.status)
        assertEquals(listOf(0, 1), peers.asked)
    }

    @Test
    fun `if every peer refuses, the user gets the first refusal`() {
        val answer = membershipOf(Peers(listOf(503, 503, 503))).forward(request)
        assertEquals(503 to "from node-1", answer?.status to answer?.body)
    }

    @Test
    fun `a peer that does not answer is not asked again until its next heartbeat`() {
        // Each request waited for it in vain, for as long as its last heartbeat was fresh, and no other peer was asked.
        val peers = Peers(listOf(null, 200, 200)).apply { silenceMs = 1500 }
        val membership = membershipOf(peers)
        assertNull(membership.forward(request), "the user no longer waits when the first peer has not answered")
        assertEquals(PeerServiceState.UNKNOWN, membership.serviceOf(members[0].node))
        repeat(2) { assertEquals(200, membership.forward(request)?.status) }
        assertEquals(listOf(0, 1, 1), peers.asked)
        peers.statuses = listOf(200, 200, 200)
        membership.exchangeHeartbeats()
        membership.forward(request)
        assertEquals(listOf(0, 1, 1, 0), peers.asked)
    }

    @Test
    fun `a peer that refuses the connection costs no time, so the next one is asked`() {
        val peers = Peers(listOf(null, null, 200))
        assertEquals(200, membershipOf(peers).forward(request)?.status)
        assertEquals(listOf(0, 1, 2), peers.asked)
    }
}
