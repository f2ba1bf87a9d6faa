package mountmast.transport

import com.netflix.concurrency.limits.limit.Gradient2Limit
import com.netflix.concurrency.limits.limiter.SimpleLimiter
import kotlinx.serialization.SerializationException
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.decodeFromString
import kotlinx.serialization.encodeToByteArray
import kotlinx.serialization.encodeToString
import kotlinx.serialization.protobuf.ProtoBuf
import mountmast.protocol.PeerHello
import mountmast.protocol.Redirect
import mountmast.protocol.Refusal
import mountmast.protocol.RelayAnswer
import mountmast.protocol.RelayRequest
import mountmast.protocol.WireJson
import mountmast.protocol.WorkerReport
import org.http4k.core.HttpHandler
import org.http4k.core.MemoryBody
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.slf4j.LoggerFactory
import java.io.IOException

private val log = LoggerFactory.getLogger("mountmast.transport")

/** Largest request body. */
const val MOST_BODY_BYTES = 64 * 1024

/** Largest body between nodes: a relayed request and all that is around it. */
private const val MOST_PEER_BODY_BYTES = 4 * MOST_BODY_BYTES

private const val JOBS = "/v1/jobs"
private const val CANCEL = "/cancel"

/** Names of the routes between controller nodes. */
object PeerPaths {
    const val HELLO = "/peer/hello"
    const val RELAY = "/peer/relay"
}

/**
 * How many requests of a kind may be in progress at once: a limit that follows measured times. Health checks,
 * cancellations and workers' reports do not pass through any.
 */
class AdmissionLimit(least: Int, most: Int) {
    private val limiter: SimpleLimiter<Unit> = SimpleLimiter.newBuilder()
        .limit(Gradient2Limit.newBuilder().minLimit(least).maxConcurrency(most).initialLimit(maxOf(least, most / 2)).build())
        .build<Unit>()

    /** Runs [work], or answers at once that the node is busy. */
    fun admit(work: () -> UserAnswer): UserAnswer {
        val permit = limiter.acquire(Unit).orElse(null) ?: return UserAnswer(429, refusal("busy"), retryAfterS = 1)
        var answer: UserAnswer? = null
        try {
            answer = work()
            return answer
        } finally {
            if (answer == null || answer.status >= 500) permit.onIgnore() else permit.onSuccess()
        }
    }
}

/** The limits on users' requests; a flood of submissions must not keep anybody from asking after a job. */
class Admissions(val submissions: AdmissionLimit, val polls: AdmissionLimit)

/** The JSON body of a refusal. */
fun refusal(why: String): String = WireJson.encodeToString(Refusal(why))

/** Everything served to users, workers and health checks. */
fun publicRoutes(users: UserService, beats: BeatService, admission: Admissions): HttpHandler = guarded { request ->
    val path = request.uri.path
    when {
        path == "/ready" -> request.only(Method.GET) {
            if (users.ready()) text(200, "ready") else text(503, "not ready", retryAfterS = 1)
        }
        path == "/agent/beat" -> request.only(Method.POST) { beat(request, beats) }
        path == JOBS -> request.only(Method.POST) {
            val body = request.boundedBody() ?: return@only text(400, refusal("body: over 64 KiB"))
            admission.submissions.admit { users.submit(body, relayed = false) }.toResponse()
        }
        path.startsWith("$JOBS/") && path.endsWith(CANCEL) -> request.only(Method.POST) {
            users.cancel(path.removePrefix("$JOBS/").removeSuffix(CANCEL), relayed = false).toResponse()
        }
        path.startsWith("$JOBS/") -> request.only(Method.GET) {
            admission.polls.admit { users.status(path.removePrefix("$JOBS/"), relayed = false) }.toResponse()
        }
        else -> text(404, refusal("no such path"))
    }
}

/** Everything served to the other controller nodes. */
@OptIn(kotlinx.serialization.ExperimentalSerializationApi::class)
fun peerRoutes(users: UserService, peers: PeerService): HttpHandler = guarded { request ->
    when (request.uri.path) {
        PeerPaths.HELLO -> {
            val hello = ProtoBuf.decodeFromByteArray<PeerHello>(request.bytes())
            protobuf(ProtoBuf.encodeToByteArray(peers.hello(hello)))
        }
        PeerPaths.RELAY -> {
            val relayed = ProtoBuf.decodeFromByteArray<RelayRequest>(request.bytes())
            val id = relayed.path.removePrefix("$JOBS/")
            val answer = when {
                relayed.path == JOBS -> users.submit(relayed.body, relayed = true)
                relayed.method == "POST" -> users.cancel(id.removeSuffix(CANCEL), relayed = true)
                else -> users.status(id, relayed = true)
            }
            protobuf(ProtoBuf.encodeToByteArray(RelayAnswer(answer.status, answer.body, answer.retryAfterS)))
        }
        else -> text(404, refusal("no such path"))
    }
}

private fun beat(request: Request, beats: BeatService): Response {
    val body = request.boundedBody() ?: return text(400, refusal("body: over 64 KiB"))
    val report = try {
        WireJson.decodeFromString<WorkerReport>(body)
    } catch (e: IllegalArgumentException) {
        log.warn("malformed report: {}", e.message?.lineSequence()?.firstOrNull())
        return text(400, refusal("malformed report"))
    }
    return when (val outcome = beats.beat(report)) {
        is BeatOutcome.Accepted -> json(200, WireJson.encodeToString(outcome.answer))
        is BeatOutcome.Elsewhere -> json(421, WireJson.encodeToString(Redirect(outcome.node)))
    }
}

/** Turns whatever a handler throws into an answer: no request may end a thread. */
@Suppress("TooGenericExceptionCaught") // The last resort for faults in handlers, which are logged.
private fun guarded(handler: HttpHandler): HttpHandler = { request ->
    try {
        handler(request)
    } catch (e: SerializationException) {
        text(400, refusal("malformed"))
    } catch (e: IOException) {
        text(503, refusal("interrupted"), retryAfterS = 1)
    } catch (e: RuntimeException) {
        log.error("request {} failed", request.uri.path, e)
        text(500, refusal("internal error"), retryAfterS = 1)
    }
}

private inline fun Request.only(allowed: Method, answer: () -> Response): Response =
    if (method == allowed) answer() else text(405, refusal("method not allowed")).header("Allow", allowed.name)

private fun Request.bytes(): ByteArray = body.stream.readNBytes(MOST_PEER_BODY_BYTES)

private fun Request.boundedBody(): String? {
    val bytes = body.stream.readNBytes(MOST_BODY_BYTES + 1)
    return if (bytes.size > MOST_BODY_BYTES) null else bytes.decodeToString()
}

private fun UserAnswer.toResponse() = json(status, body, retryAfterS)

private fun text(status: Int, body: String, retryAfterS: Int = 0) = json(status, body, retryAfterS)

private fun json(status: Int, body: String, retryAfterS: Int = 0): Response {
    val response = Response(Status(status, null)).header("Content-Type", "application/json").body(body)
    return if (retryAfterS > 0) response.header("Retry-After", retryAfterS.toString()) else response
}

private fun protobuf(bytes: ByteArray) = Response(Status.OK).header("Content-Type", "application/x-protobuf").body(MemoryBody(bytes))
