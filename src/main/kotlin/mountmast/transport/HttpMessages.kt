package mountmast.transport

import kotlinx.serialization.SerializationException
import kotlinx.serialization.encodeToString
import mountmast.protocol.ErrorResponse
import mountmast.protocol.WireJson
import org.http4k.core.HttpHandler
import org.http4k.core.MemoryBody
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.slf4j.LoggerFactory
import java.io.IOException

private val log = LoggerFactory.getLogger("mountmast.transport")

/** The largest body of a user's or worker's request. */
const val MAX_BODY_BYTES = 64 * 1024

/** The largest body between nodes: a forwarded request with its envelope. */
private const val MAX_PEER_BODY_BYTES = 4 * MAX_BODY_BYTES

/** From here on a request or call counts as slow: half of what users at large sites wait for a submission. */
internal const val SLOW_MS = 100
internal const val NANOS_PER_MS = 1_000_000L

/** Returns the JSON body of an error response that says [why]. */
fun errorBody(why: String): String = WireJson.encodeToString(ErrorResponse(why))

/** Turns every exception of [handler] into an answer: no request may end a thread. */
@Suppress("TooGenericExceptionCaught") // The last resort for faults in handlers, which are logged.
internal fun guarded(handler: HttpHandler): HttpHandler = { request ->
    try {
        handler(request)
    } catch (e: SerializationException) {
        json(400, errorBody("malformed"))
    } catch (e: IOException) {
        json(503, errorBody("interrupted"), retryAfterS = 1)
    } catch (e: RuntimeException) {
        log.error("request {} failed", request.uri.path, e)
        json(500, errorBody("internal error"), retryAfterS = 1)
    }
}

/** Logs requests that took long at `debug`. */
internal fun timed(handler: HttpHandler): HttpHandler = { request ->
    val began = System.nanoTime()
    val response = handler(request)
    val tookMs = (System.nanoTime() - began) / NANOS_PER_MS
    if (tookMs >= SLOW_MS) log.debug("{} {} got {} after {} ms", request.method, request.uri.path, response.status.code, tookMs)
    response
}

/** Returns [answer] for the method [allowed], and 405 for every other. */
internal inline fun Request.only(allowed: Method, answer: () -> Response): Response =
    if (method == allowed) answer() else json(405, errorBody("method not allowed")).header("Allow", allowed.name)

/** Returns the body of a request between nodes, truncated at the largest size. */
internal fun Request.bytes(): ByteArray = body.stream.readNBytes(MAX_PEER_BODY_BYTES)

/** Returns the body, or null if it is larger than [MAX_BODY_BYTES]. */
internal fun Request.boundedBody(): String? {
    val bytes = body.stream.readNBytes(MAX_BODY_BYTES + 1)
    return if (bytes.size > MAX_BODY_BYTES) null else bytes.decodeToString()
}

/** Converts this answer to HTTP. */
internal fun UserAnswer.toResponse() = json(status, body, retryAfterS)

/** Returns a response in JSON, with a `Retry-After` if [retryAfterS] is above 0. */
internal fun json(status: Int, body: String, retryAfterS: Int = 0): Response {
    val response = Response(Status(status, null)).header("Content-Type", "application/json").body(body)
    return if (retryAfterS > 0) response.header("Retry-After", retryAfterS.toString()) else response
}

/** Returns a successful response in plain text. */
internal fun text(body: String) = Response(Status.OK).header("Content-Type", "text/plain; version=0.0.4").body(body)

/** Returns a successful response in protobuf. */
internal fun protobuf(bytes: ByteArray) = Response(Status.OK).header("Content-Type", "application/x-protobuf").body(MemoryBody(bytes))
