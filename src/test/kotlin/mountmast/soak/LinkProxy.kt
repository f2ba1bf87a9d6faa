package mountmast.soak

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import kotlin.concurrent.thread

/** Which way a [LinkProxy] lets nothing pass. */
enum class Cut { NONE, REQUESTS, ANSWERS, BOTH, REFUSED }

/** One TCP link on loopback, which can be cut in either direction, refused, or slowed down. What a cut holds is delivered after it. */
class LinkProxy(private val targetPort: Int) : AutoCloseable {
    private val server = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    private val sockets = ConcurrentHashMap.newKeySet<Socket>()

    /** What does not pass at present. */
    @Volatile
    var cut = Cut.NONE

    /** How long each piece of data is held up. */
    @Volatile
    var delayMs = 0L

    /** The port that stands for the target's. */
    val port: Int get() = server.localPort

    /** Starts taking connections. */
    fun start() = apply { thread(name = "proxy", isDaemon = true) { acceptAll() } }

    private fun acceptAll() {
        while (!server.isClosed) {
            try {
                val client = server.accept()
                if (cut == Cut.REFUSED) client.close() else connect(client)
            } catch (e: IOException) {
                // The proxy was closed, or nobody listens behind it.
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
        thread(name = "proxy-requests", isDaemon = true) { pump(client, target) { cut == Cut.REQUESTS || cut == Cut.BOTH } }
        thread(name = "proxy-answers", isDaemon = true) { pump(target, client) { cut == Cut.ANSWERS || cut == Cut.BOTH } }
    }

    private fun pump(from: Socket, to: Socket, isHeld: () -> Boolean) {
        val buffer = ByteArray(BUFFER_BYTES)
        try {
            while (true) {
                val count = from.getInputStream().read(buffer)
                if (count < 0) break
                while (isHeld() && !server.isClosed) Thread.sleep(HOLD_STEP_MS)
                if (delayMs > 0) Thread.sleep(delayMs)
                to.getOutputStream().write(buffer, 0, count)
            }
        } catch (e: IOException) {
            // Either side has closed its end.
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
        const val HOLD_STEP_MS = 20L
    }
}
