package mountmast.transport

import org.http4k.core.HttpHandler
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.server.asServer
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.io.File
import java.net.InetAddress
import java.net.InetSocketAddress

/**
 * A connection that ends without an answer does not count as open for good (docs/incidents/review-4.md). The JDK's server reads its limits
 * when its classes are loaded, so the server runs in a process of its own.
 */
class ConnectionSlotsTest {
    private class ServerProcess : AutoCloseable {
        private val process = ProcessBuilder(
            File(System.getProperty("java.home"), "bin/java").path,
            "-cp",
            System.getProperty("java.class.path"),
            ConnectionSlotsServer::class.java.name,
        ).redirectError(ProcessBuilder.Redirect.DISCARD).start()
        private val address = InetSocketAddress(InetAddress.getLoopbackAddress(), process.inputStream.bufferedReader().readLine().toInt())

        fun isServing(): Boolean = try {
            HttpCaller().call(address, "GET", "/", null, 1000).isOk
        } catch (e: NoAnswerException) {
            false
        }

        /** Sends a request whose handler throws an error; there may be no answer. */
        fun sendFailing() {
            try {
                HttpCaller().call(address, "GET", "/error", null, 1000)
            } catch (e: NoAnswerException) {
                // The connection was closed, or the server has none left.
            }
        }

        override fun close() {
            process.destroyForcibly().waitFor()
        }
    }

    /** Guards against: requests whose handler threw an error shut a node for users and workers. */
    @Test
    fun `connections whose requests ended by an error are free again`() = ServerProcess().use { server ->
        assertTrue(server.isServing())
        repeat(2 * ConnectionSlotsServer.CONNECTIONS) { server.sendFailing() }
        val deadline = System.nanoTime() + MAX_RECOVERY_NANOS
        while (!server.isServing()) {
            assertTrue(System.nanoTime() < deadline, "the server accepts no connection any more")
            Thread.sleep(200)
        }
    }

    private companion object {
        /** Twice the time after which a request counts as unanswered. */
        const val MAX_RECOVERY_NANOS = 20_000_000_000L
    }
}

/** The program of [ConnectionSlotsTest]: prints its port and serves until it is killed. */
internal object ConnectionSlotsServer {
    const val CONNECTIONS = 10

    @JvmStatic
    fun main(args: Array<String>) {
        configureJdkServer(ConnectionBudget.of(2 * CONNECTIONS))
        val handler: HttpHandler = { request ->
            if (request.uri.path == "/error") throw StackOverflowError("on purpose")
            Response(Status.OK).body("served")
        }
        val address = InetSocketAddress(InetAddress.getLoopbackAddress(), 0)
        val bulkhead = RequestBulkhead.forOthers(threads = 2, maxWaiting = CONNECTIONS)
        println(handler.asServer(BoundedServer(address, "slots", 2, CONNECTIONS, listOf(bulkhead))).start().port())
        System.out.flush()
    }
}
