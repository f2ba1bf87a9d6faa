package mountmast.transport

import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.server.asServer
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.net.InetAddress
import java.net.InetSocketAddress
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

class BoundedServerTest {
    @Test
    fun `beyond its threads and waiting requests a server refuses at once, and serves again afterwards`() {
        val entered = CountDownLatch(THREADS)
        val release = CountDownLatch(1)
        val inside = AtomicInteger()
        var mostInside = 0
        val server = { _: org.http4k.core.Request ->
            synchronized(inside) { mostInside = maxOf(mostInside, inside.incrementAndGet()) }
            entered.countDown()
            release.await(20, TimeUnit.SECONDS)
            inside.decrementAndGet()
            Response(Status.OK).body("served")
        }.asServer(BoundedServer(InetSocketAddress(InetAddress.getLoopbackAddress(), 0), "test", THREADS, WAITING)).start()
        val at = InetSocketAddress(InetAddress.getLoopbackAddress(), server.port())
        val outcomes = ConcurrentLinkedQueue<String>()
        fun ask() = thread {
            outcomes += try {
                HttpCaller().call(at, "GET", "/", null, 15_000).text
            } catch (e: NoAnswerException) {
                "refused"
            }
        }
        val first = List(THREADS) { ask() }
        assertTrue(entered.await(10, TimeUnit.SECONDS))
        val rest = List(WAITING + 6) { ask() }
        while (outcomes.size < 6) Thread.sleep(10)
        assertEquals(List(6) { "refused" }, outcomes.toList())
        release.countDown()
        (first + rest).forEach { it.join() }
        assertEquals(THREADS + WAITING, outcomes.count { it == "served" })
        assertEquals(THREADS, mostInside)
        assertEquals("served", HttpCaller().call(at, "GET", "/", null, 5000).text)
        server.stop()
    }

    private companion object {
        const val THREADS = 2
        const val WAITING = 3
    }
}
