package mountmast

import mountmast.coordination.controller.OperatorSettings
import mountmast.protocol.Settings
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.net.HttpURLConnection
import java.net.ServerSocket
import java.net.URI
import java.util.concurrent.CountDownLatch
import kotlin.concurrent.thread

class ThreadsTest {
    @Test
    fun `a node for the largest fleet stays below a hundred threads, with hundreds of requests at once`() {
        val (public, peer) = ServerSocket(0).use { a -> ServerSocket(0).use { b -> a.localPort to b.localPort } }
        val before = Thread.getAllStackTraces().keys.toSet()
        start(Settings.parse(settings(public, peer)), OperatorSettings())
        val go = CountDownLatch(1)
        val askers = List(300) {
            thread {
                go.await()
                val ready = URI("http://127.0.0.1:$public/ready").toURL().openConnection() as HttpURLConnection
                runCatching { ready.responseCode }
            }
        }
        go.countDown()
        var most = 0
        while (askers.any { it.isAlive }) {
            val own = Thread.getAllStackTraces().keys.filter { it !in before && it !in askers }
            most = maxOf(most, own.size)
            Thread.sleep(5)
        }
        // 4 read, 56 and 4 serve, 4 answer peers, 12 + 16 + 8 take the steps; the rest are the JDK's own.
        assertTrue(most in 34..110, "$most threads")
    }

    private fun settings(public: Int, peer: Int) = """
        node = "n-0"
        site = "z"
        serve_on = "127.0.0.1:$public"
        peer_listen = "127.0.0.1:$peer"
        [endpoints]
        cloud = "127.0.0.1:$peer"
        state = "127.0.0.1:$peer"
        [deployment]
        size = 1
        [[deployment.teams]]
        name = "t"
        cpus = 1.0
        cpus_max = 1.0
        gpus = 0.0
        gpus_max = 0.0
        [deployment.workers]
        report_s = 5.0
        lease_s = 26.5
        cancel_s = 56.5
        [deployment.state]
        rps = 500.0
        write_rps = 80.0
        value_kb = 8.0
        txn_ops = 16
        [deployment.cloud]
        rps = 7.0
        list_lag_s = 10.0
        [deployment.resources]
        max_connections = 3265
    """.trimIndent()
}
