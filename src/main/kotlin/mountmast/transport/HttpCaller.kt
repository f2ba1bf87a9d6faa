package mountmast.transport

import java.io.IOException
import java.net.ConnectException
import java.net.HttpURLConnection
import java.net.InetSocketAddress
import java.net.NoRouteToHostException
import java.net.URI

/** Thrown when a call got no answer. [mayHaveTakenEffect] is false only if the request certainly never left this node. */
class NoAnswerException(message: String, val mayHaveTakenEffect: Boolean) : IOException(message)

/** Status and body of an HTTP response. */
class Reply(val status: Int, val bytes: ByteArray) {
    /** The body as text. */
    val text: String get() = bytes.decodeToString()

    /** Whether the status is 200. */
    val isOk: Boolean get() = status == HttpURLConnection.HTTP_OK
}

/**
 * HTTP client with timeouts for connecting and for reading. Thread-safe.
 *
 * http4k's own clients turn both a refused connection and a server that does not respond into a status. Callers must distinguish
 * requests that may have been executed from those that were not, so this class uses the JDK's client directly.
 *
 * @property connectMs connect timeout in milliseconds; the timeout of the call applies if that is shorter
 */
class HttpCaller(private val connectMs: Int = 1000) {
    /**
     * Sends one request to [to] and returns the response, whatever its status; redirects are not followed. [timeoutMs] bounds each read
     * of the response in milliseconds, not the whole call.
     *
     * @throws NoAnswerException if connecting failed, no response came, or reading the response failed.
     */
    fun call(
        to: InetSocketAddress,
        method: String,
        path: String,
        body: ByteArray?,
        timeoutMs: Int,
        contentType: String = "application/json",
    ): Reply {
        val connection = createConnection(URI.create("http://${to.hostString}:${to.port}$path"), method, timeoutMs)
        if (body != null) connection.prepareBody(body, contentType)
        connect(connection, to)
        try {
            if (body != null) connection.outputStream.use { it.write(body) }
            return connection.readReply()
        } catch (e: ConnectException) {
            throw connection.noAnswer(to, e, mayHaveTakenEffect = false)
        } catch (e: NoRouteToHostException) {
            throw connection.noAnswer(to, e, mayHaveTakenEffect = false)
        } catch (e: IOException) {
            throw connection.noAnswer(to, e, mayHaveTakenEffect = true)
        }
    }

    private fun createConnection(uri: URI, method: String, timeoutMs: Int): HttpURLConnection {
        val connection = uri.toURL().openConnection() as HttpURLConnection
        connection.requestMethod = method
        connection.connectTimeout = minOf(connectMs, timeoutMs)
        connection.readTimeout = timeoutMs
        connection.useCaches = false
        connection.instanceFollowRedirects = false
        return connection
    }

    private fun HttpURLConnection.prepareBody(body: ByteArray, contentType: String) {
        doOutput = true
        setRequestProperty("Content-Type", contentType)
        setFixedLengthStreamingMode(body.size)
    }

    private fun connect(connection: HttpURLConnection, to: InetSocketAddress) {
        try {
            connection.connect()
        } catch (e: IOException) {
            throw NoAnswerException("$to: ${e.message}", mayHaveTakenEffect = false)
        }
    }

    private fun HttpURLConnection.readReply(): Reply {
        val status = responseCode
        val stream = if (status >= HttpURLConnection.HTTP_BAD_REQUEST) errorStream else inputStream
        return Reply(status, stream?.use { it.readBytes() } ?: ByteArray(0))
    }

    private fun HttpURLConnection.noAnswer(to: InetSocketAddress, cause: IOException, mayHaveTakenEffect: Boolean): NoAnswerException {
        disconnect()
        return NoAnswerException("$to: ${cause.message}", mayHaveTakenEffect)
    }
}
