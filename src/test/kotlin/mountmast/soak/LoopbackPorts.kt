package mountmast.soak

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.atomic.AtomicInteger

/**
 * Ports for processes that are started, ended and started again. They lie below those that the system gives to outgoing
 * connections: one of those, of another run, took the place of a controller that was down, and answered its users.
 */
object LoopbackPorts {
    private const val FIRST = 20_000
    private const val COUNT = 10_000

    /** Processes that run side by side begin far apart: between finding a port free and using it another could take it. */
    private const val APART = 97
    private val next = AtomicInteger((ProcessHandle.current().pid() * APART % COUNT).toInt())

    /** [count] ports that nobody listens on, each given once. */
    fun take(count: Int): List<Int> = List(count) { takeOne() }

    private fun takeOne(): Int {
        repeat(COUNT) {
            val port = FIRST + Math.floorMod(next.getAndIncrement(), COUNT)
            if (isFree(port)) return port
        }
        error("no port is free")
    }

    private fun isFree(port: Int): Boolean = try {
        ServerSocket(port, 1, InetAddress.getLoopbackAddress()).close()
        true
    } catch (e: IOException) {
        false
    }
}
