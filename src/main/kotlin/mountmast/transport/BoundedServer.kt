package mountmast.transport

import com.sun.net.httpserver.HttpExchange
import com.sun.net.httpserver.HttpServer
import org.http4k.core.HttpHandler
import org.http4k.server.Http4kServer
import org.http4k.server.HttpExchangeHandler
import org.http4k.server.ServerConfig
import org.slf4j.LoggerFactory
import java.io.IOException
import java.net.HttpURLConnection
import java.net.InetSocketAddress
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.ThreadPoolExecutor
import java.util.concurrent.TimeUnit
import com.sun.net.httpserver.HttpHandler as JdkHandler

private val log = LoggerFactory.getLogger("mountmast.transport")

/**
 * http4k on the JDK's server. http4k's own `SunHttp` binds every address and has an unbounded pool; this one binds the address it is
 * given and bounds threads and waiting requests. A request over the bound of its bulkhead is answered 503 at once; one over the bound
 * of the server is refused by closing its connection.
 *
 * @property threads read requests, and answer those that no bulkhead takes. If bulkheads take all of them, few threads are enough and
 *   more do harm: on a node short of processor time each competes with the threads that answer, or renew a lease.
 * @property waiting the most requests that wait for one of these threads
 */
class BoundedServer(
    private val at: InetSocketAddress,
    private val name: String,
    private val threads: Int,
    private val waiting: Int,
    private val bulkheads: List<RequestBulkhead> = emptyList(),
) : ServerConfig {
    override val stopMode = ServerConfig.StopMode.Immediate

    override fun toServer(http: HttpHandler): Http4kServer {
        val server = HttpServer.create(at, maxOf(BACKLOG, waiting))
        val handler = HttpExchangeHandler(http)
        val pools = arrayListOf(pool(name, threads, waiting, QueueMetrics.NONE))
        server.executor = pools.first()
        if (bulkheads.none { it.path == ANY_PATH }) server.createContext(ANY_PATH, handler)
        for (bulkhead in bulkheads) {
            val pool = pool("$name-lane", bulkhead.threads, bulkhead.waiting, bulkhead.metrics)
            pools += pool
            server.createContext(bulkhead.path) { exchange -> enqueue(exchange, handler, pool, bulkhead) }
        }
        return object : Http4kServer {
            override fun start() = apply { server.start() }
            override fun stop() = apply {
                server.stop(0)
                pools.forEach { it.shutdownNow() }
            }

            override fun port() = server.address.port
        }
    }

    private fun pool(name: String, threads: Int, waiting: Int, metrics: QueueMetrics): ThreadPoolExecutor {
        val pool = object : ThreadPoolExecutor(
            threads,
            threads,
            IDLE_S,
            TimeUnit.SECONDS,
            LinkedBlockingQueue(waiting),
            { task -> Thread(null, task, name, STACK_BYTES).apply { isDaemon = true } },
        ) {
            override fun execute(task: Runnable) = super.execute(timed(task, metrics))
        }
        metrics.onQueue { pool.queue.size }
        pool.allowCoreThreadTimeOut(true)
        return pool
    }

    /** Has another thread answer [exchange], so that the one that read it is free for the next. */
    private fun enqueue(exchange: HttpExchange, handler: JdkHandler, pool: ThreadPoolExecutor, bulkhead: RequestBulkhead) {
        val queuedAt = System.nanoTime()
        try {
            pool.execute {
                val waitedMs = (System.nanoTime() - queuedAt) / NANOS_PER_MS
                if (bulkhead.isWorthAnswering(waitedMs)) answer(exchange, handler) else refuse(exchange, bulkhead)
            }
        } catch (e: RejectedExecutionException) {
            log.debug("a request is refused: {}", e.message)
            refuse(exchange, bulkhead)
        }
    }

    private fun refuse(exchange: HttpExchange, bulkhead: RequestBulkhead) {
        bulkhead.metrics.refused.add()
        try {
            exchange.responseHeaders.add("Retry-After", "1")
            exchange.sendResponseHeaders(HttpURLConnection.HTTP_UNAVAILABLE, NO_BODY)
        } catch (e: IOException) {
            log.debug("a refusal did not get out: {}", e.message)
        }
        exchange.close()
    }

    private fun answer(exchange: HttpExchange, handler: JdkHandler) {
        try {
            handler.handle(exchange)
        } catch (e: IOException) {
            log.debug("an answer did not get out: {}", e.message)
            exchange.close()
        }
    }

    /** Records how long [task] waits for a thread, and logs a long wait at `debug`. */
    private fun timed(task: Runnable, metrics: QueueMetrics): Runnable {
        val queuedAt = System.nanoTime()
        return Runnable {
            val waitedMs = (System.nanoTime() - queuedAt) / NANOS_PER_MS
            metrics.wait.record(waitedMs)
            if (waitedMs >= SLOW_MS) log.debug("a request waited {} ms for a thread", waitedMs)
            task.run()
        }
    }

    companion object {
        /** Threads that read the requests of users and workers, for bulkheads to answer. */
        const val PUBLIC_READERS = 4
        private const val ANY_PATH = "/"
        private const val BACKLOG = 128
        private const val NO_BODY = -1L
        private const val IDLE_S = 30L
        private const val STACK_BYTES = 256L * 1024
    }
}
