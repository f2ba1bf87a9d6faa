package mountmast.soak

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import kotlin.concurrent.thread

/** What a [LinkProxy] blocks: data in either direction or in both, or new connections. */
enum class LinkFault { NONE, REQUESTS_HELD, RESPONSES_HELD, BOTH_HELD, CONNECTIONS_REFUSED }

/**
 * A TCP proxy on loopback that can hold data back in either direction, refuse connections or delay data. Data that was held back is
 * delivered once the fault ends.
 */
class LinkProxy(private val targetPort: Int) : AutoCloseable {
    private val server = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    private val sockets = ConcurrentHashMap.newKeySet<Socket>()

    /** The fault that this link has at present. */
    @Volatile
    var fault = LinkFault.NONE

    /** The delay of each chunk of data, in milliseconds. */
    @Volatile
    var delayMs = 0L

    /** The port to connect to in place of the target's. */
    val port: Int get() = server.localPort

    /** Starts accepting connections and returns this proxy. */
    fun start() = apply { thread(name = "proxy", isDaemon = true) { acceptAll() } }

    private fun acceptAll() {
        while (!server.isClosed) {
            try {
                val client = server.accept()
                if (fault == LinkFault.CONNECTIONS_REFUSED) client.close() else connect(client)
            } catch (e: IOException) {
                // The proxy was closed, or the target does not accept connections.
            }
        }
    }

    private fun connect(client: Socket) {
        val target = try {
            Socket(InetAddress.getLoopbackAddress(), targetPort)
        } catch (e: IOException) {
            client.close()
            return
        }
        sockets += client
        sockets += target
        thread(name = "proxy-requests", isDaemon = true) {
            copyData(client, target) { fault == LinkFault.REQUESTS_HELD || fault == LinkFault.BOTH_HELD }
        }
        thread(name = "proxy-answers", isDaemon = true) {
            copyData(target, client) { fault == LinkFault.RESPONSES_HELD || fault == LinkFault.BOTH_HELD }
        }
    }

    private fun copyData(from: Socket, to: Socket, isHeld: () -> Boolean) {
        val buffer = ByteArray(BUFFER_BYTES)
        try {
            while (true) {
                val count = from.getInputStream().read(buffer)
                if (count < 0) break
                while (isHeld() && !server.isClosed) Thread.sleep(HOLD_POLL_MS)
                if (delayMs > 0) Thread.sleep(delayMs)
                to.getOutputStream().write(buffer, 0, count)
            }
        } catch (e: IOException) {
            // The client, the target or the proxy closed the connection.
        }
        sockets -= from
        sockets -= to
        from.close()
        to.close()
    }

    override fun close() {
        server.close()
        sockets.forEach { it.close() }
    }

    private companion object {
        const val BACKLOG = 256
        const val BUFFER_BYTES = 16 * 1024
        const val HOLD_POLL_MS = 20L
    }
}
