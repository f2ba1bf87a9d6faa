package mountmast.soak

import com.sun.net.httpserver.HttpExchange
import com.sun.net.httpserver.HttpServer
import java.io.IOException
import java.net.InetAddress
import java.net.InetSocketAddress
import java.util.concurrent.ExecutorService

/** What a stand-in answers over HTTP; null where it never answers. */
class StandInAnswer(val status: Int, val body: String)

/** A stand-in on a real socket of loopback. */
class StandInServer(executor: ExecutorService, private val answer: (StandInRequest) -> StandInAnswer?) : AutoCloseable {
    private val server = HttpServer.create(InetSocketAddress(InetAddress.getLoopbackAddress(), 0), BACKLOG)

    /** Where it listens. */
    val port: Int get() = server.address.port

    init {
        server.executor = executor
        server.createContext("/") { exchange -> handle(exchange) }
        server.start()
    }

    private fun handle(exchange: HttpExchange) {
        try {
            val request = StandInRequest(exchange.requestMethod, exchange.requestURI, exchange.requestBody.readAllBytes().decodeToString())
            val answer = answer(request)
            if (answer != null) send(exchange, answer)
        } catch (e: IOException) {
            // The caller has gone.
        } finally {
            exchange.close()
        }
    }

    private fun send(exchange: HttpExchange, answer: StandInAnswer) {
        val bytes = answer.body.encodeToByteArray()
        exchange.sendResponseHeaders(answer.status, if (bytes.isEmpty()) -1L else bytes.size.toLong())
        if (bytes.isNotEmpty()) exchange.responseBody.write(bytes)
    }

    override fun close() = server.stop(0)

    private companion object {
        const val BACKLOG = 256
    }
}

/** A request to a [StandInServer]. */
class StandInRequest(val method: String, uri: java.net.URI, val body: String) {
    val path: String = uri.path
    private val parameters: Map<String, String> = uri.query.orEmpty().split('&').filter { '=' in it }
        .associate { it.substringBefore('=') to it.substringAfter('=') }

    /** The parameter of this [name], or null. */
    fun parameter(name: String): String? = parameters[name]
}
