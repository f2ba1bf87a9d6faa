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
 * Runs an http4k handler on the JDK's HTTP server. http4k's own `SunHttp` binds every address and has an unbounded thread pool; this
 * server binds one address and bounds its threads and waiting requests. A request that exceeds the bound of its bulkhead is answered
 * with 503 and `Retry-After: 1` at once. A request that exceeds the bound of the server is refused by closing its connection.
 *
 * @property address address to bind
 * @property name name of the server's threads; the names of bulkheads' threads have the suffix `-lane`
 * @property threadCount number of threads that read requests, and answer requests to paths without a bulkhead. If bulkheads cover all
 *   paths, few threads are enough, and more do harm: on a node short of processor time they compete with the threads that answer
 *   requests or renew a lease.
 * @property maxWaiting maximum number of requests that wait for one of these threads
 * @property bulkheads bulkheads, each with a thread pool of its own, by path prefix
 */
class BoundedServer(
    private val address: InetSocketAddress,
    private val name: String,
    private val threadCount: Int,
    private val maxWaiting: Int,
    private val bulkheads: List<RequestBulkhead> = emptyList(),
) : ServerConfig {
    override val stopMode = ServerConfig.StopMode.Immediate

    override fun toServer(http: HttpHandler): Http4kServer {
        val server = HttpServer.create(address, maxOf(MIN_BACKLOG, maxWaiting))
        val handler = HttpExchangeHandler(http)
        val pools = arrayListOf(createPool(name, threadCount, maxWaiting, QueueMetrics.NONE))
        server.executor = pools.first()
        if (bulkheads.none { it.pathPrefix == ANY_PATH }) server.createContext(ANY_PATH) { exchange -> answer(exchange, handler) }
        for (bulkhead in bulkheads) {
            val pool = createPool("$name-lane", bulkhead.threadCount, bulkhead.maxWaiting, bulkhead.metrics)
            pools += pool
            server.createContext(bulkhead.pathPrefix) { exchange -> enqueue(exchange, handler, pool, bulkhead) }
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

    private fun createPool(name: String, threadCount: Int, maxWaiting: Int, metrics: QueueMetrics): ThreadPoolExecutor {
        val pool = object : ThreadPoolExecutor(
            threadCount,
            threadCount,
            THREAD_IDLE_S,
            TimeUnit.SECONDS,
            LinkedBlockingQueue(maxWaiting),
            { task -> Thread(null, task, name, STACK_BYTES).apply { isDaemon = true } },
        ) {
            override fun execute(task: Runnable) = super.execute(recordWait(task, metrics))
        }
        metrics.registerQueueSize { pool.queue.size }
        pool.allowCoreThreadTimeOut(true)
        return pool
    }

    /** Queues [exchange] for a thread of [bulkhead], so that the thread that read its header is free for the next request. */
    private fun enqueue(exchange: HttpExchange, handler: JdkHandler, pool: ThreadPoolExecutor, bulkhead: RequestBulkhead) {
        val queuedAt = System.nanoTime()
        try {
            pool.execute {
                val waitedMs = (System.nanoTime() - queuedAt) / NANOS_PER_MS
                if (bulkhead.isWorthAnswering(waitedMs)) answer(exchange, handler) else refuse(exchange, bulkhead)
            }
        } catch (e: RejectedExecutionException) {
            log.debug("request refused, as its bulkhead takes no more requests: {}", e.message)
            refuse(exchange, bulkhead)
        }
    }

    private fun refuse(exchange: HttpExchange, bulkhead: RequestBulkhead) {
        bulkhead.metrics.refusedRequests.add()
        answer(exchange) {
            it.responseHeaders.add("Retry-After", "1")
            it.sendResponseHeaders(HttpURLConnection.HTTP_UNAVAILABLE, NO_BODY)
        }
    }

    /**
     * Has [handler] answer [exchange], and closes the exchange in whatever way [handler] ends. Closing an exchange that has not been
     * answered closes its connection; the connection of one that has been answered stays open for the next request.
     */
    @Suppress("TooGenericExceptionCaught") // Whatever is thrown, an error too, must end neither the exchange unanswered nor the thread.
    private fun answer(exchange: HttpExchange, handler: JdkHandler) {
        try {
            handler.handle(exchange)
        } catch (e: IOException) {
            log.debug("cannot send the answer to a request: {}", e.message)
        } catch (e: Throwable) {
            log.error("request {} failed without an answer", exchange.requestURI.path, e)
        } finally {
            exchange.close()
        }
    }

    /** Wraps [task] so that its wait for a thread is recorded, and logged at `debug` from [SLOW_REQUEST_MS] on. */
    private fun recordWait(task: Runnable, metrics: QueueMetrics): Runnable {
        val queuedAt = System.nanoTime()
        return Runnable {
            val waitedMs = (System.nanoTime() - queuedAt) / NANOS_PER_MS
            metrics.waitTiming.record(waitedMs)
            if (waitedMs >= SLOW_REQUEST_MS) log.debug("a request waited {} ms for a thread", waitedMs)
            task.run()
        }
    }

    companion object {
        /** Number of threads that read the requests of users and workers; the threads of bulkheads answer the requests. */
        const val PUBLIC_READER_THREADS = 4
        private const val ANY_PATH = "/"
        private const val MIN_BACKLOG = 128

        /** Response length that tells the JDK's server that there is no body. */
        private const val NO_BODY = -1L
        private const val THREAD_IDLE_S = 30L
        private const val STACK_BYTES = 256L * 1024
    }
}
