package mountmast.transport

import org.http4k.core.HttpHandler
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.server.Http4kServer
import org.http4k.server.asServer
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.net.HttpURLConnection
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.URI
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
        }.startWith()
        val at = server.address()
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

    @Test
    fun `a bulkhead that is full refuses at once with a time to come back, and keeps nobody else from being served`() {
        val entered = CountDownLatch(1)
        val release = CountDownLatch(1)
        var queued = { 0 }
        val bulkhead = RequestBulkhead("/slow", threads = 1, waiting = 2, QueueMetrics(Timing(), Counter()) { queued = it })
        val server = { request: org.http4k.core.Request ->
            if (request.uri.path == "/slow") {
                entered.countDown()
                release.await(20, TimeUnit.SECONDS)
            }
            Response(Status.OK).body("served")
        }.startWith(bulkhead)
        val at = server.address()
        val answers = ConcurrentLinkedQueue<Int>()
        fun askSlow() = thread { answers += HttpCaller().call(at, "GET", "/slow", null, 30_000).status }
        val first = askSlow()
        assertTrue(entered.await(10, TimeUnit.SECONDS))
        // More than the server has threads: none of them is held. They come one after the other, as the server's own bound is near.
        val rest = List(2) { askSlow() }
        while (queued() < 2) Thread.sleep(10)
        repeat(THREADS + 4) { assertEquals(503, HttpCaller().call(at, "GET", "/slow", null, 5000).status) }
        assertEquals(emptyList<Int>(), answers.toList())
        repeat(5) { assertEquals("served", HttpCaller().call(at, "GET", "/", null, 5000).text) }
        val refused = URI("http://127.0.0.1:${server.port()}/slow").toURL().openConnection() as HttpURLConnection
        assertEquals(503 to "1", refused.responseCode to refused.getHeaderField("Retry-After"))
        release.countDown()
        (rest + first).forEach { it.join() }
        assertEquals(3, answers.count { it == 200 })
        assertEquals(200, HttpCaller().call(at, "GET", "/slow", null, 5000).status)
        server.stop()
    }

    @Test
    fun `a request that has waited too long is refused without being handled, and the others are served`() {
        val entered = CountDownLatch(1)
        val release = CountDownLatch(1)
        val handled = AtomicInteger()
        var queued = { 0 }
        val metrics = QueueMetrics(Timing(), Counter()) { queued = it }
        val bulkhead = RequestBulkhead("/slow", threads = 1, waiting = 10, metrics, patienceMs = 300)
        val server = { _: org.http4k.core.Request ->
            handled.incrementAndGet()
            entered.countDown()
            release.await(20, TimeUnit.SECONDS)
            Response(Status.OK).body("served")
        }.startWith(bulkhead)
        val at = server.address()
        val answers = ConcurrentLinkedQueue<Int>()
        fun ask() = thread { answers += HttpCaller().call(at, "GET", "/slow", null, 30_000).status }
        val first = ask()
        assertTrue(entered.await(10, TimeUnit.SECONDS))
        val late = List(2) { ask() }
        while (queued() < 2) Thread.sleep(10)
        Thread.sleep(400)
        release.countDown()
        (late + first).forEach { it.join() }
        assertEquals(listOf(200, 503, 503), answers.sorted())
        assertEquals(1, handled.get())
        assertEquals(2, metrics.refused.value)
        assertEquals(200, HttpCaller().call(at, "GET", "/slow", null, 5000).status)
        server.stop()
    }

    private fun HttpHandler.startWith(vararg bulkheads: RequestBulkhead): Http4kServer = asServer(
        BoundedServer(InetSocketAddress(InetAddress.getLoopbackAddress(), 0), "test", THREADS, WAITING, bulkheads.toList()),
    ).start()

    private fun Http4kServer.address() = InetSocketAddress(InetAddress.getLoopbackAddress(), port())

    private companion object {
        const val THREADS = 2
        const val WAITING = 3
    }
}
