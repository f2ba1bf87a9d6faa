package mountmast.transport

import com.sun.net.httpserver.HttpServer
import mountmast.protocol.Member
import mountmast.protocol.NodeId
import mountmast.protocol.PeerHeartbeat
import mountmast.protocol.Zone
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Test
import java.net.InetAddress
import java.net.InetSocketAddress

class PeerClientTest {
    @Test
    fun `a heartbeat is answered, and a malformed answer or none at all returns null`() {
        var isMalformed = false
        val own = PeerHeartbeat("n-2", 7, serves = true, leads = false)
        val server = HttpServer.create(InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0)
        val users = object : UserService {
            override fun submit(body: String, isForwarded: Boolean) = UserAnswer(201, "{}")
            override fun status(id: String, isForwarded: Boolean) = UserAnswer(404, "{}")
            override fun cancel(id: String, isForwarded: Boolean) = UserAnswer(200, "{}")
            override fun isReady() = true
        }
        val wellFormed = org.http4k.server.HttpExchangeHandler(peerRoutes(users) { own })
        server.createContext("/") { exchange ->
            if (!isMalformed) return@createContext wellFormed.handle(exchange)
            exchange.sendResponseHeaders(200, 3)
            exchange.responseBody.use { it.write(byteArrayOf(-1, -1, -1)) }
        }
        server.start()
        val member = Member(NodeId("n-2"), Zone("a"), InetSocketAddress(InetAddress.getLoopbackAddress(), server.address.port))
        val heartbeat = PeerHeartbeat("n-1", 3, serves = false, leads = true)
        assertEquals(own, HttpPeerClient().exchangeHeartbeats(member, heartbeat))
        isMalformed = true
        assertNull(HttpPeerClient().exchangeHeartbeats(member, heartbeat))
        server.stop(0)
        assertNull(HttpPeerClient().exchangeHeartbeats(member, heartbeat))
    }
}
