package mountmast.transport

import mountmast.protocol.Heartbeat
import org.http4k.server.asServer
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.Socket

/** Which answers end a user's connection. A user that is refused over a kept connection would otherwise come back to the same node. */
class UserConnectionTest {
    private var answer = UserAnswer(200, "{}")
    private var isReady = true

    private inner class Users : UserService {
        override fun submit(body: String, isForwarded: Boolean) = answer
        override fun status(id: String, isForwarded: Boolean) = answer
        override fun cancel(id: String, isForwarded: Boolean) = answer
        override fun isReady() = isReady
    }

    private val admission = AdmissionLimits(AdmissionLimit(1, 1), AdmissionLimit(1, 1))
    private val routes = publicRoutes(Users(), { _: Heartbeat -> HeartbeatOutcome.Redirected(null) }, admission)
    private val server = routes.asServer(BoundedServer(InetSocketAddress(InetAddress.getLoopbackAddress(), 0), "test", 2, 4)).start()

    @AfterEach
    fun stop() {
        server.stop()
    }

    /** Sends [method] for [path] and returns whether the server closes the connection after its answer. */
    private fun closes(method: String, path: String): Boolean = Socket(InetAddress.getLoopbackAddress(), server.port()).use { socket ->
        socket.soTimeout = READ_TIMEOUT_MS
        val request = "$method $path HTTP/1.1\r\nHost: loopback\r\nContent-Length: 2\r\n\r\n{}".encodeToByteArray()
        socket.getOutputStream().write(request)
        val header = generateSequence { readLine(socket) }.takeWhile { it.isNotEmpty() }.toList()
        assertEquals(answer.status.toString(), header.first().split(' ')[1])
        socket.getInputStream().readNBytes(header.first { it.startsWith("content-length:") }.substringAfter(": ").toInt())
        val isAnnounced = "connection: close" in header
        if (!isAnnounced) {
            socket.getOutputStream().write(request)
            assertEquals(answer.status.toString(), readLine(socket).split(' ')[1])
            return false
        }
        assertEquals(-1, socket.getInputStream().read(), "announced, but not closed")
        return true
    }

    private fun readLine(socket: Socket): String =
        generateSequence { socket.getInputStream().read().toChar() }.takeWhile { it != '\n' }.joinToString("").trim().lowercase()

    private fun closesAll(): List<Boolean> =
        listOf(closes("POST", "/v1/jobs"), closes("GET", "/v1/jobs/j-000001"), closes("POST", "/v1/jobs/j-000001/cancel"))

    @Test
    fun `a node that is not ready closes the connection of a user whose request it refuses`() {
        // Users of a cut-off node kept their connections to it until the load balancer reset them.
        isReady = false
        for (status in listOf(429, 503)) {
            answer = UserAnswer(status, errorBody("refused"), retryAfterS = 1)
            assertEquals(listOf(true, true, true), closesAll(), "status $status")
        }
    }

    @Test
    fun `a refusal by a node that is ready, and any other answer, leave the connection open`() {
        answer = UserAnswer(503, errorBody("refused"), retryAfterS = 1)
        assertEquals(listOf(false, false, false), closesAll())
        isReady = false
        for (status in listOf(200, 201, 400, 404, 422)) {
            answer = UserAnswer(status, "{}")
            assertEquals(listOf(false, false, false), closesAll(), "status $status")
        }
    }

    private companion object {
        const val READ_TIMEOUT_MS = 5000
    }
}
