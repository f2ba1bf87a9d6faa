package mountmast.transport

import org.http4k.core.HttpHandler
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.server.Http4kServer
import org.http4k.server.asServer
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNotEquals
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
        val handling = AtomicInteger()
        var maxHandling = 0
        val server = { _: org.http4k.core.Request ->
            synchronized(handling) { maxHandling = maxOf(maxHandling, handling.incrementAndGet()) }
            entered.countDown()
            release.await(20, TimeUnit.SECONDS)
            handling.decrementAndGet()
            Response(Status.OK).body("served")
        }.startWithBulkheads()
        val at = server.address()
        val outcomes = ConcurrentLinkedQueue<String>()
        fun sendRequest() = thread {
            outcomes += try {
                HttpCaller().call(at, "GET", "/", null, 15_000).text
            } catch (e: NoAnswerException) {
                "refused"
            }
        }
        val first = List(THREADS) { sendRequest() }
        assertTrue(entered.await(10, TimeUnit.SECONDS))
        val rest = List(WAITING + 6) { sendRequest() }
        while (outcomes.size < 6) Thread.sleep(10)
        assertEquals(List(6) { "refused" }, outcomes.toList())
        release.countDown()
        (first + rest).forEach { it.join() }
        assertEquals(THREADS + WAITING, outcomes.count { it == "served" })
        assertEquals(THREADS, maxHandling)
        assertEquals("served", HttpCaller().call(at, "GET", "/", null, 5000).text)
        server.stop()
    }

    @Test
    fun `a full bulkhead refuses at once with a Retry-After header, and requests to other paths are served`() {
        val entered = CountDownLatch(1)
        val release = CountDownLatch(1)
        var queued = { 0 }
        val bulkhead = RequestBulkhead("/slow", threadCount = 1, maxWaiting = 2, QueueMetrics(Timing(), Counter()) { queued = it })
        val server = { request: org.http4k.core.Request ->
            if (request.uri.path == "/slow") {
                entered.countDown()
                release.await(20, TimeUnit.SECONDS)
            }
            Response(Status.OK).body("served")
        }.startWithBulkheads(bulkhead)
        val at = server.address()
        val answers = ConcurrentLinkedQueue<Int>()
        fun sendSlowRequest() = thread { answers += HttpCaller().call(at, "GET", "/slow", null, 30_000).status }
        val first = sendSlowRequest()
        assertTrue(entered.await(10, TimeUnit.SECONDS))
        // As many requests as the server has threads wait, and none of these threads is held. Further requests are sent one after the
        // other, as concurrent ones could exceed the server's own bound.
        val rest = List(2) { sendSlowRequest() }
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
        val bulkhead = RequestBulkhead("/slow", threadCount = 1, maxWaiting = 10, metrics, maxWaitMs = 300)
        val server = { _: org.http4k.core.Request ->
            handled.incrementAndGet()
            entered.countDown()
            release.await(20, TimeUnit.SECONDS)
            Response(Status.OK).body("served")
        }.startWithBulkheads(bulkhead)
        val at = server.address()
        val answers = ConcurrentLinkedQueue<Int>()
        fun sendRequest() = thread { answers += HttpCaller().call(at, "GET", "/slow", null, 30_000).status }
        val first = sendRequest()
        assertTrue(entered.await(10, TimeUnit.SECONDS))
        val late = List(2) { sendRequest() }
        while (queued() < 2) Thread.sleep(10)
        Thread.sleep(400)
        release.countDown()
        (late + first).forEach { it.join() }
        assertEquals(listOf(200, 503, 503), answers.sorted())
        assertEquals(1, handled.get())
        assertEquals(2, metrics.refusedRequests.value)
        assertEquals(200, HttpCaller().call(at, "GET", "/slow", null, 5000).status)
        server.stop()
    }

    /** Guards against: a handler that ends by an error and leaves its sender to wait. `ConnectionSlotsTest` looks at the connections. */
    @Test
    fun `in whatever way a handler ends, its request is answered or its connection is closed, with and without a bulkhead`() {
        val failures = listOf(StackOverflowError("on purpose"), AssertionError("on purpose"), InterruptedException("on purpose"))
        val bulkhead = RequestBulkhead("/lane", threadCount = 1, maxWaiting = 2)
        val failing: HttpHandler = { request ->
            request.query("fail")?.let { throw failures[it.toInt()] }
            Response(Status.OK).body("served")
        }
        for (server in listOf(failing.startWithBulkheads(bulkhead), answerExceptions(failing).startWithBulkheads(bulkhead))) {
            fun send(path: String): Int? = try {
                HttpCaller().call(server.address(), "GET", path, null, 2000).status
            } catch (e: NoAnswerException) {
                assertFalse("timed out" in e.message.orEmpty(), "$path: neither answered nor closed")
                null
            }
            repeat(THREADS + WAITING + 1) {
                for (path in listOf("/", "/lane")) for (failure in failures.indices) assertNotEquals(200, send("$path?fail=$failure"))
            }
            assertEquals(listOf(200, 200), listOf(send("/"), send("/lane")))
            server.stop()
        }
    }

    @Test
    fun `a handler that overflows the stack or is interrupted is answered with 500`() {
        val request = org.http4k.core.Request(org.http4k.core.Method.GET, "/")
        for (failure in listOf(StackOverflowError("on purpose"), InterruptedException("on purpose"))) {
            assertEquals(500, answerExceptions { throw failure }(request).status.code)
        }
    }

    private fun HttpHandler.startWithBulkheads(vararg bulkheads: RequestBulkhead): Http4kServer = asServer(
        BoundedServer(InetSocketAddress(InetAddress.getLoopbackAddress(), 0), "test", THREADS, WAITING, bulkheads.toList()),
    ).start()

    private fun Http4kServer.address() = InetSocketAddress(InetAddress.getLoopbackAddress(), port())

    private companion object {
        const val THREADS = 2
        const val WAITING = 3
    }
}
