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
    fun `a node for the largest fleet has at most 110 threads, with hundreds of requests at once`() {
        val (public, peer) = ServerSocket(0).use { first -> ServerSocket(0).use { second -> first.localPort to second.localPort } }
        val before = Thread.getAllStackTraces().keys.toSet()
        start(Settings.parse(settings(public, peer)), OperatorSettings())
        val startSignal = CountDownLatch(1)
        val clients = List(300) {
            thread {
                startSignal.await()
                val connection = URI("http://127.0.0.1:$public/ready").toURL().openConnection() as HttpURLConnection
                runCatching { connection.responseCode }
            }
        }
        startSignal.countDown()
        var maxThreads = 0
        while (clients.any { it.isAlive }) {
            val nodeThreads = Thread.getAllStackTraces().keys.filter { it !in before && it !in clients }
            maxThreads = maxOf(maxThreads, nodeThreads.size)
            Thread.sleep(5)
        }
        // For users' requests and heartbeats: 4 threads read, 56 and 4 handle. For peers: 4. For the node's and leader's loops: 12, and 16
        // that deliver commands and 8 that announce the leader. The rest belong to the JDK.
        assertTrue(maxThreads in 34..110, "$maxThreads threads")
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
