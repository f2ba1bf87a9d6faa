package mountmast.soak

import com.sun.net.httpserver.HttpExchange
import com.sun.net.httpserver.HttpServer
import java.io.IOException
import java.net.InetAddress
import java.net.InetSocketAddress
import java.util.concurrent.ExecutorService

/** The HTTP response of a stand-in service. */
class LoopbackHttpResponse(val status: Int, val body: String)

/** An HTTP server on a loopback socket that serves a stand-in; a request that [respond] returns null for gets no response. */
class LoopbackHttpServer(executor: ExecutorService, private val respond: (LoopbackHttpRequest) -> LoopbackHttpResponse?) : AutoCloseable {
    private val server = HttpServer.create(InetSocketAddress(InetAddress.getLoopbackAddress(), 0), BACKLOG)

    /** The loopback port that this server listens on. */
    val port: Int get() = server.address.port

    init {
        server.executor = executor
        server.createContext("/") { exchange -> handle(exchange) }
        server.start()
    }

    private fun handle(exchange: HttpExchange) {
        try {
            val request = LoopbackHttpRequest(
                exchange.requestMethod,
                exchange.requestURI,
                exchange.requestBody.readAllBytes().decodeToString(),
            )
            val response = respond(request)
            if (response != null) send(exchange, response)
        } catch (e: IOException) {
            // The client closed the connection.
        } finally {
            exchange.close()
        }
    }

    private fun send(exchange: HttpExchange, response: LoopbackHttpResponse) {
        val bytes = response.body.encodeToByteArray()
        exchange.sendResponseHeaders(response.status, if (bytes.isEmpty()) -1L else bytes.size.toLong())
        if (bytes.isNotEmpty()) exchange.responseBody.write(bytes)
    }

    override fun close() = server.stop(0)

    private companion object {
        const val BACKLOG = 256
    }
}

/** An HTTP request to a [LoopbackHttpServer]. */
class LoopbackHttpRequest(val method: String, uri: java.net.URI, val body: String) {
    val path: String = uri.path
    private val parameters: Map<String, String> = uri.query.orEmpty().split('&').filter { '=' in it }
        .associate { it.substringBefore('=') to it.substringAfter('=') }

    /** Returns the value of the query parameter [name], or null if it is missing. */
    fun parameter(name: String): String? = parameters[name]
}
