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

/** Maximum size of the body of a user's or worker's request, in bytes. */
const val MAX_BODY_BYTES = 64 * 1024

/** Maximum size of the body of a request between nodes, in bytes: enough for a forwarded user's request and its envelope. */
private const val MAX_PEER_BODY_BYTES = 4 * MAX_BODY_BYTES

/** Duration from which on a request counts as slow: half of the time that users at large sites wait for a submission. */
internal const val SLOW_REQUEST_MS = 100
internal const val NANOS_PER_MS = 1_000_000L

/** Returns the JSON body of an error response with the message [message]. */
fun errorBody(message: String): String = WireJson.encodeToString(ErrorResponse(message))

/**
 * Returns [handler] with whatever it throws turned into answers: 400 for a [SerializationException], 503 for an [IOException], and 500
 * for everything else, errors such as a [StackOverflowError] included. An exchange that ends without an answer is not only lost to its
 * sender: the JDK's server counts its connection as open for [configureJdkServer]'s limit.
 */
@Suppress("TooGenericExceptionCaught") // The last resort for faults in handlers: they are logged and answered with 500.
internal fun answerExceptions(handler: HttpHandler): HttpHandler = { request ->
    try {
        handler(request)
    } catch (e: SerializationException) {
        json(400, errorBody("malformed"))
    } catch (e: IOException) {
        json(503, errorBody("interrupted"), retryAfterS = 1)
    } catch (e: Throwable) {
        log.error("request {} failed", request.uri.path, e)
        json(500, errorBody("internal error"), retryAfterS = 1)
    }
}

/** Returns [handler] with a log line at `debug` for each request that took [SLOW_REQUEST_MS] or longer. */
internal fun logSlowRequests(handler: HttpHandler): HttpHandler = { request ->
    val startedAt = System.nanoTime()
    val response = handler(request)
    val tookMs = (System.nanoTime() - startedAt) / NANOS_PER_MS
    if (tookMs >= SLOW_REQUEST_MS) log.debug("{} {}: status {} after {} ms", request.method, request.uri.path, response.status.code, tookMs)
    response
}

/** Returns [answer] if the request's method is [allowed], else 405 with an `Allow` header. */
internal inline fun Request.requireMethod(allowed: Method, answer: () -> Response): Response =
    if (method == allowed) answer() else json(405, errorBody("method not allowed")).header("Allow", allowed.name)

/** Reads the body of a request between nodes, truncated to [MAX_PEER_BODY_BYTES]. */
internal fun Request.readPeerBody(): ByteArray = body.stream.readNBytes(MAX_PEER_BODY_BYTES)

/** Reads the body of a user's or worker's request; returns null if it is larger than [MAX_BODY_BYTES]. */
internal fun Request.readBoundedBody(): String? {
    val bytes = body.stream.readNBytes(MAX_BODY_BYTES + 1)
    return if (bytes.size > MAX_BODY_BYTES) null else bytes.decodeToString()
}

/** Converts this answer to an HTTP response. */
internal fun UserAnswer.toResponse() = json(status, body, retryAfterS)

/** Returns a response with the JSON [body], and with a `Retry-After` header if [retryAfterS] is above 0. */
internal fun json(status: Int, body: String, retryAfterS: Int = 0): Response {
    val response = Response(Status(status, null)).header("Content-Type", "application/json").body(body)
    return if (retryAfterS > 0) response.header("Retry-After", retryAfterS.toString()) else response
}

/** Returns a response with status 200 and a plain-text [body], as the metrics' exposition format requires. */
internal fun text(body: String) = Response(Status.OK).header("Content-Type", "text/plain; version=0.0.4").body(body)

/** Returns a response with status 200 and a body in protobuf. */
internal fun protobuf(bytes: ByteArray) = Response(Status.OK).header("Content-Type", "application/x-protobuf").body(MemoryBody(bytes))
