package mountmast.transport

import com.sun.net.httpserver.HttpServer
import org.http4k.core.HttpHandler
import org.http4k.server.Http4kServer
import org.http4k.server.HttpExchangeHandler
import org.http4k.server.ServerConfig
import java.net.InetSocketAddress
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.ThreadPoolExecutor
import java.util.concurrent.TimeUnit

/**
 * http4k on the JDK's server. http4k's own `SunHttp` binds every address and has an unbounded pool; this one
 * binds the address it is given and bounds threads and waiting requests.
 */
class BoundedServer(private val at: InetSocketAddress, private val name: String, private val threads: Int, private val waiting: Int) :
    ServerConfig {
    override val stopMode = ServerConfig.StopMode.Immediate

    override fun toServer(http: HttpHandler): Http4kServer {
        val server = HttpServer.create(at, maxOf(BACKLOG, waiting))
        val pool = ThreadPoolExecutor(
            threads,
            threads,
            IDLE_S,
            TimeUnit.SECONDS,
            LinkedBlockingQueue(waiting),
            { task -> Thread(null, task, name, STACK_BYTES).apply { isDaemon = true } },
        )
        pool.allowCoreThreadTimeOut(true)
        server.createContext("/", HttpExchangeHandler(http))
        server.executor = pool
        return object : Http4kServer {
            override fun start() = apply { server.start() }
            override fun stop() = apply {
                server.stop(0)
                pool.shutdownNow()
            }

            override fun port() = server.address.port
        }
    }

    private companion object {
        const val BACKLOG = 128
        const val IDLE_S = 30L
        const val STACK_BYTES = 256L * 1024
    }
}
