package mountmast

import com.sun.net.httpserver.HttpServer
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import java.net.InetAddress
import java.net.InetSocketAddress

class CommandLineToolTest {
    private val tool = CommandLineTool { _, _ -> }

    private fun run(vararg args: String) = tool.run(arrayOf(*args))

    @Test
    fun `usage errors exit with 2, help and version with 0`() {
        assertEquals(0, run("--help"))
        assertEquals(0, run("--version"))
        assertEquals(2, run())
        assertEquals(2, run("--nope"))
        assertEquals(2, run("status", "j-1"))
        assertEquals(2, run("status", "j-1", "--node", "nowhere"))
        assertEquals(2, run("submit", "/no/such/file", "--node", "127.0.0.1:9"))
        assertEquals(2, run("--config", "/no/such/file"))
    }

    @Test
    fun `successful responses exit with 0, error responses and no response with 1`() {
        var status = 200
        val server = HttpServer.create(InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0)
        server.createContext("/") { exchange ->
            exchange.sendResponseHeaders(status, 2)
            exchange.responseBody.use { it.write("{}".toByteArray()) }
        }
        server.start()
        val node = "127.0.0.1:${server.address.port}"
        assertEquals(0, run("status", "j-1", "--node", node))
        assertEquals(0, run("cancel", "j-1", "--node", node))
        for (errorStatus in listOf(404, 422, 503)) {
            status = errorStatus
            assertEquals(1, run("status", "j-1", "--node", node))
        }
        server.stop(0)
        assertEquals(1, run("status", "j-1", "--node", node))
    }
}
