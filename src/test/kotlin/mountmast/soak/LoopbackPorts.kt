package mountmast.soak

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.atomic.AtomicInteger

/**
 * Allocates ports for processes that are stopped and restarted. The ports lie below the system's ephemeral range: an ephemeral
 * port of another run once coincided with the port of a stopped controller, and the other run answered that controller's users.
 */
object LoopbackPorts {
    private const val FIRST_PORT = 20_000
    private const val PORT_COUNT = 10_000

    /** The distance between the first ports of consecutive process ids. Another process could take a port between its check and its use. */
    private const val PORTS_BETWEEN_PROCESSES = 97
    private val nextOffset = AtomicInteger((ProcessHandle.current().pid() * PORTS_BETWEEN_PROCESSES % PORT_COUNT).toInt())

    /** Returns [count] ports that no process listens on; each port is returned once. */
    fun allocate(count: Int): List<Int> = List(count) { allocateOne() }

    private fun allocateOne(): Int {
        repeat(PORT_COUNT) {
            val port = FIRST_PORT + Math.floorMod(nextOffset.getAndIncrement(), PORT_COUNT)
            if (isFree(port)) return port
        }
        error("no loopback port is free")
    }

    private fun isFree(port: Int): Boolean = try {
        ServerSocket(port, 1, InetAddress.getLoopbackAddress()).close()
        true
    } catch (e: IOException) {
        false
    }
}
