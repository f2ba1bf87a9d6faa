package mountmast.storage

import com.sun.net.httpserver.HttpServer
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import kotlinx.serialization.protobuf.ProtoBuf
import mountmast.protocol.CommandRequest
import mountmast.protocol.FencingToken
import mountmast.protocol.ForwardedRequest
import mountmast.protocol.ForwardedResponse
import mountmast.protocol.JobValidation
import mountmast.protocol.MAX_JSON_DEPTH
import mountmast.protocol.MalformedRequestException
import mountmast.protocol.PeerHeartbeat
import mountmast.protocol.StateLimits
import mountmast.protocol.WorkerIncarnation
import mountmast.protocol.parseJson
import mountmast.transport.AdmissionLimit
import mountmast.transport.AdmissionLimits
import mountmast.transport.BoundedServer
import mountmast.transport.CloudException
import mountmast.transport.CommandOutcome
import mountmast.transport.HeartbeatOutcome
import mountmast.transport.HttpCaller
import mountmast.transport.HttpCloud
import mountmast.transport.HttpWorkerClient
import mountmast.transport.UserAnswer
import mountmast.transport.UserService
import mountmast.transport.peerRoutes
import mountmast.transport.publicRoutes
import org.http4k.core.Body
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.server.asServer
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Test
import java.io.File
import java.net.InetAddress
import java.net.InetSocketAddress
import java.util.concurrent.FutureTask

/**
 * A body of lists nested thousands deep, from whomever it comes, overflows no thread's stack: it is malformed like any other, and its
 * sender is told so (docs/incidents/review-4.md).
 */
class NestedBodiesTest {
    private val deep = "[".repeat(5000)

    /** A service that parses submissions as `SubmissionValidator` does. */
    private object Users : UserService {
        override fun submit(body: String, isForwarded: Boolean) = try {
            JobValidation.parseObject(body)
            UserAnswer(201, "{}")
        } catch (e: MalformedRequestException) {
            UserAnswer(400, e.message.orEmpty())
        }

        override fun status(id: String, isForwarded: Boolean) = UserAnswer(404, "{}")
        override fun cancel(id: String, isForwarded: Boolean) = UserAnswer(200, "{}")
        override fun isReady() = true
    }

    /** Runs [action] on a thread with a stack as small as those of the service, and returns its result. */
    private fun <T> onSmallStack(action: () -> T): T {
        val task = FutureTask(action)
        Thread(null, task, "small", SMALL_STACK_BYTES).start()
        return task.get()
    }

    /** Guards against: submissions and heartbeats with a nested body that nobody answers. */
    @Test
    fun `a nested body of a user, a worker or a node is answered with 400 over and over again`() {
        val limits = AdmissionLimits(AdmissionLimit(LIMIT, LIMIT), AdmissionLimit(LIMIT, LIMIT))
        val routes = publicRoutes(Users, { HeartbeatOutcome.Redirected(null) }, limits)
        val server = routes.asServer(BoundedServer(InetSocketAddress(InetAddress.getLoopbackAddress(), 0), "nested", 2, 4)).start()
        val at = InetSocketAddress(InetAddress.getLoopbackAddress(), server.port())
        fun status(path: String, body: String) = HttpCaller().call(at, "POST", path, body.encodeToByteArray(), 5000).status
        repeat(5) {
            assertEquals(400, status("/v1/jobs", deep))
            assertEquals(400, status("/v1/jobs", "{\"a\":".repeat(5000)))
            assertEquals(400, status("/agent/beat", "{\"host\":$deep"))
            assertEquals(400, status("/agent/beat", "{\"unknown\":$deep"))
        }
        server.stop()
    }

    @OptIn(ExperimentalSerializationApi::class)
    @Test
    fun `a forwarded submission with a nested body is answered with 400`() {
        val routes = peerRoutes(Users) { PeerHeartbeat("n-2", 7, serves = true, leads = false) }
        val request = ProtoBuf.encodeToByteArray(ForwardedRequest("POST", "/v1/jobs", deep))
        val answer = onSmallStack { routes(Request(Method.POST, "/peer/relay").body(Body(request.inputStream()))) }
        val forwarded = ProtoBuf.decodeFromByteArray<ForwardedResponse>(answer.body.stream.readAllBytes())
        assertEquals(400, forwarded.status)
    }

    /** Guards against: an answer of a system around the node that ends the thread which awaits it. */
    @Test
    fun `a nested answer of the state service, the cloud or a worker is malformed`() {
        val server = HttpServer.create(InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0)
        var body = ""
        server.createContext("/") { exchange ->
            exchange.requestBody.readAllBytes()
            exchange.sendResponseHeaders(200, body.length.toLong())
            exchange.responseBody.use { it.write(body.encodeToByteArray()) }
        }
        server.start()
        onSmallStack {
            val store = HttpStateStore(server.address, StateLimits(1000.0, 1000.0, 2.0, 5), nodeCount = 1)
            body = "{\"path\":\"k\",\"data\":$deep"
            assertThrows(StoreException::class.java) { store.get("k") }
            body = "{\"hosts\":$deep"
            assertThrows(CloudException::class.java) { HttpCloud(server.address, 1000.0).list(null) }
            val worker = "127.0.0.1:${server.address.port}"
            val request = CommandRequest(FencingToken(1u), WorkerIncarnation(1u), emptyList())
            assertEquals(CommandOutcome.Unknown, HttpWorkerClient().send(worker, request))
        }
        server.stop(0)
    }

    @Test
    fun `a body may be nested up to the bound, and brackets within strings do not count`() = onSmallStack {
        parseJson("[".repeat(MAX_JSON_DEPTH) + "]".repeat(MAX_JSON_DEPTH))
        parseJson("{\"a\":".repeat(MAX_JSON_DEPTH) + "1" + "}".repeat(MAX_JSON_DEPTH))
        assertThrows(IllegalArgumentException::class.java) { parseJson("[".repeat(MAX_JSON_DEPTH + 1) + "]".repeat(MAX_JSON_DEPTH + 1)) }
        parseJson("[\"" + "[{\\\"".repeat(1000) + "\\\\\",[]]")
        parseJson("[" + "[{}],".repeat(1000) + "0]")
        assertThrows(IllegalArgumentException::class.java) { parseJson("[\"" + "[".repeat(5000)) }
        Unit
    }

    /** Guards against: a later place that parses a body without the bound. */
    @Test
    fun `texts are parsed in one place`() {
        val parsers = Regex("""\b(decodeFromString|parseToJsonElement|decodeFromStream)\b""")
        val places = File("src/main/kotlin").walkTopDown().filter { it.extension == "kt" && parsers.containsMatchIn(it.readText()) }
        assertEquals(listOf("JsonParsing.kt"), places.map { it.name }.toList())
        assertNull(places.firstOrNull { "/protocol/" !in it.path })
    }

    private companion object {
        const val SMALL_STACK_BYTES = 256L * 1024
        const val LIMIT = 100
    }
}
