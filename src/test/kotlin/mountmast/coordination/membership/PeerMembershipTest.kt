package mountmast.coordination.membership

import mountmast.protocol.ForwardedRequest
import mountmast.protocol.ForwardedResponse
import mountmast.protocol.JobId
import mountmast.protocol.Member
import mountmast.protocol.NodeId
import mountmast.protocol.PeerHeartbeat
import mountmast.protocol.Zone
import mountmast.standin.VirtualTime
import mountmast.transport.PeerClient
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.net.InetSocketAddress

class PeerMembershipTest {
    private val time = VirtualTime()
    private val clock = time.clock(0.0, 0)
    private val peer = NodeId("node-1")
    private val cancellations = CancellationBroadcast(listOf(peer), clock, 60_000)
    private val job = JobId("j-000001")

    private object LocalNode : PeerMembership.LocalNode {
        override fun ownHeartbeat() = PeerHeartbeat("node-0", 0, serves = true, leads = false)

        override fun onPeerHeartbeat(peerHeartbeat: PeerHeartbeat) = Unit
    }

    private class RecordingPeers(var response: PeerHeartbeat?) : PeerClient {
        val heartbeats = ArrayList<PeerHeartbeat>()

        override fun exchangeHeartbeats(to: Member, heartbeat: PeerHeartbeat): PeerHeartbeat? {
            heartbeats += heartbeat
            return response
        }

        override fun forward(to: Member, request: ForwardedRequest) = ForwardedResponse(200, to.node.text)
    }

    private fun membership(peers: PeerClient) =
        PeerMembership(listOf(Member(peer, Zone("zone"), InetSocketAddress("127.0.0.1", 1))), peers, cancellations, clock, LocalNode)

    private fun heartbeat(serves: Boolean) = PeerHeartbeat(peer.text, 0, serves, leads = false)

    @Test
    fun `a peer counts as serving until its heartbeat is six seconds old`() {
        val membership = membership(RecordingPeers(heartbeat(serves = true)))
        assertFalse(membership.hasExchangedHeartbeats)
        assertEquals(PeerServiceState.UNKNOWN, membership.serviceOf(peer))
        membership.exchangeHeartbeats()
        assertTrue(membership.hasExchangedHeartbeats)
        assertEquals(1, membership.countPeers(PeerServiceState.SERVING))
        time.advance(5999)
        assertEquals(1, membership.countPeers(PeerServiceState.SERVING))
        time.advance(1)
        assertEquals(0, membership.countPeers(PeerServiceState.SERVING))
        assertEquals(PeerServiceState.UNKNOWN, membership.serviceOf(peer))
    }

    @Test
    fun `a peer that says it cannot serve is not taken for one that does not respond`() {
        val membership = membership(RecordingPeers(heartbeat(serves = false)))
        membership.exchangeHeartbeats()
        assertEquals(PeerServiceState.NOT_SERVING, membership.serviceOf(peer))
        time.advance(6000)
        assertEquals(PeerServiceState.UNKNOWN, membership.serviceOf(peer))
    }

    @Test
    fun `a heartbeat that a peer sent tells nothing of whether it serves, as it may be minutes old`() {
        val membership = membership(RecordingPeers(response = null))
        for (serves in listOf(false, true)) {
            membership.onHeartbeat(heartbeat(serves))
            assertEquals(PeerServiceState.UNKNOWN, membership.serviceOf(peer))
            assertNull(membership.forward(ForwardedRequest("GET", "/", "")))
        }
    }

    @Test
    fun `cancellations are sent with each heartbeat until one is answered`() {
        val unanswered = RecordingPeers(response = null)
        cancellations.broadcast(job)
        repeat(2) { membership(unanswered).exchangeHeartbeats() }
        assertEquals(listOf(listOf(job.text), listOf(job.text)), unanswered.heartbeats.map { it.cancelledJobs })

        val answered = RecordingPeers(heartbeat(serves = true))
        repeat(2) { membership(answered).exchangeHeartbeats() }
        assertEquals(listOf(listOf(job.text), emptyList()), answered.heartbeats.map { it.cancelledJobs })
    }

    @Test
    fun `a silent peer gets no heartbeat out of turn`() {
        val peers = RecordingPeers(heartbeat(serves = true))
        val membership = membership(peers)
        membership.exchangeHeartbeatIfAlive(peer)
        assertEquals(0, peers.heartbeats.size)
        membership.onHeartbeat(heartbeat(serves = false))
        membership.exchangeHeartbeatIfAlive(peer)
        assertEquals(1, peers.heartbeats.size)
    }

    @Test
    fun `a request is forwarded only to a peer that serves`() {
        val peers = RecordingPeers(heartbeat(serves = false))
        val membership = membership(peers)
        val request = ForwardedRequest("GET", "/", "")
        membership.exchangeHeartbeats()
        assertNull(membership.forward(request))
        peers.response = heartbeat(serves = true)
        membership.exchangeHeartbeats()
        assertEquals(200, membership.forward(request)?.status)
    }
}
