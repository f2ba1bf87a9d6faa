package mountmast.storage

import com.sun.net.httpserver.HttpServer
import kotlinx.serialization.json.JsonPrimitive
import mountmast.protocol.Revision
import mountmast.protocol.StateLimits
import mountmast.protocol.StoreLeaseId
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.net.InetSocketAddress
import java.util.concurrent.atomic.AtomicInteger

class HttpStateStoreTest {
    private var status = 200
    private var answer = """{"ledger":7}"""
    private val requests = AtomicInteger()
    private val server = HttpServer.create(InetSocketAddress("127.0.0.1", 0), 0).apply {
        createContext("/follow") { exchange ->
            val body = """{"ledger":7,"news":[]}""".encodeToByteArray()
            exchange.sendResponseHeaders(200, body.size.toLong())
            exchange.responseBody.use { it.write(body) }
        }
        createContext("/") { exchange ->
            requests.incrementAndGet()
            exchange.requestBody.readAllBytes()
            val body = answer.encodeToByteArray()
            exchange.sendResponseHeaders(status, body.size.toLong())
            exchange.responseBody.use { it.write(body) }
        }
        start()
    }

    private fun store(writesPerSecond: Double) =
        HttpStateStore(server.address, StateLimits(1000.0, writesPerSecond, 2.0, 5), nodeCount = 1).apply { setRole(leader = true) }

    private fun put(key: String, text: String, storeLease: StoreLeaseId? = null) = Write.Put(key, JsonPrimitive(text), storeLease)

    @AfterEach
    fun stop() = server.stop(0)

    @Test
    fun `a rejected transaction, an expired lease and a refusal for now throw different exceptions`() {
        val store = store(1000.0)
        val transaction = Transaction(emptyList(), listOf(put("small", "x"), put("large", "x".repeat(3000)), Write.Delete("gone")))
        status = 400
        answer = """{"error":"too large"}"""
        val rejected = assertThrows(StoreRequestRejectedException::class.java) { store.commit(transaction) }
        assertEquals("large", rejected.largestKey)
        assertEquals(3002, rejected.largestBytes)
        assertEquals(3, rejected.changes)
        answer = """{"error":"no such lease"}"""
        assertThrows(StoreLeaseExpiredException::class.java) {
            store.commit(Transaction(emptyList(), listOf(put("lead", "x", StoreLeaseId(3u)))))
        }
        status = 429
        assertThrows(StoreUnavailableException::class.java) { store.commit(transaction) }
    }

    @Test
    fun `a commit beyond this node's share of the write rate fails within half a second and sends nothing`() {
        val store = store(1.0)
        fun commit() = store.commit(Transaction(emptyList(), listOf(put("k", "x"))))
        repeat(3) { commit() }
        assertEquals(0, store.writeBudget().available)
        val sent = requests.get()
        val began = System.nanoTime()
        assertThrows(StoreUnavailableException::class.java) { commit() }
        assertTrue(System.nanoTime() - began < 500_000_000, "refused late")
        assertEquals(sent, requests.get())
    }

    @Test
    fun `a watch that is answered does not make a state service reachable that refuses all other requests`() {
        // A node whose watches were answered called itself able to serve, while each request of its users failed.
        val store = store(1000.0)
        fun answerOneRequest() = store.commit(Transaction(emptyList(), listOf(put("k", "x"))))
        answerOneRequest()
        assertTrue(store.isReachable)
        status = 503
        val began = System.nanoTime()
        while (store.isReachable && System.nanoTime() - began < 10_000_000_000) {
            assertThrows(StoreUnavailableException::class.java) { store.get("k") }
            store.watch("c/", Revision(7u), 0)
            Thread.sleep(50)
        }
        repeat(3) { store.watch("c/", Revision(7u), 0) }
        assertFalse(store.isReachable)
        status = 200
        answerOneRequest()
        assertTrue(store.isReachable, "reachable at the first answer")
    }
}
