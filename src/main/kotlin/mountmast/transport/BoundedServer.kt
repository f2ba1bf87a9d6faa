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
 * Requests to [path] have [threads] of their own, and up to [waiting] of them wait for one. Where requests of one kind come by
 * the hundreds at once, they neither keep all threads nor share the processor with others as so many equals.
 *
 * A request that has waited for [patienceMs] is refused without being looked at: whoever sent it is about to give up, and what
 * is spent on it is missing for those that can still be answered in time.
 */
class RequestBulkhead(
    val path: String,
    val threads: Int,
    val waiting: Int,
    val metrics: QueueMetrics = QueueMetrics.NONE,
    private val patienceMs: Long = Long.MAX_VALUE,
) {
    /** Whether one more request may wait while [queued] do. */
    fun admits(queued: Int): Boolean = queued < waiting

    /** Whether a request that has waited for [waitedMs] is still worth an answer. */
    fun isWorthAnswering(waitedMs: Long): Boolean = waitedMs < patienceMs

    companion object {
        /** A report is answered from memory, under the ledger's lock: more threads than these only wait for one another. */
        private const val HEARTBEAT_THREADS = 4

        /** Workers wait for four seconds; the rest is for the network, and for reading and answering. */
        private const val HEARTBEAT_PATIENCE_MS = 3000L

        /**
         * Reports are bounded by how long they wait, not by their number: each worker has one in flight, and one that is refused
         * comes back sooner than one that is answered, at hardly less cost. This many only bound the memory.
         */
        private const val MAX_HEARTBEATS_WAITING = 16_384

        /** The lane of workers' reports. */
        fun forHeartbeats(metrics: QueueMetrics = QueueMetrics.NONE) =
            RequestBulkhead(HEARTBEAT_PATH, HEARTBEAT_THREADS, MAX_HEARTBEATS_WAITING, metrics, HEARTBEAT_PATIENCE_MS)

        /** The lane of all that no other lane takes. */
        fun forOthers(threads: Int, waiting: Int, metrics: QueueMetrics = QueueMetrics.NONE) = RequestBulkhead("/", threads, waiting, metrics)
    }
}

/** What is counted of requests that wait for a thread. */
class QueueMetrics(val wait: Timing, val refused: Counter, val onQueue: (() -> Int) -> Unit) {
    companion object {
        /** Counted, but shown nowhere. */
        val NONE = QueueMetrics(Timing(), Counter()) {}
    }
}

/**
 * http4k on the JDK's server. http4k's own `SunHttp` binds every address and has an unbounded pool; this one
 * binds the address it is given and bounds threads and waiting requests. What is over the bound of a lane is answered at once,
 * what is over the server's is refused by closing the connection.
 *
 * [threads] read requests, and answer those that no lane takes. Where lanes take all of them few threads are enough, and more do
 * harm: on a node short of processor time each of them takes as large a part of it as a thread that answers, or renews a lease.
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
            server.createContext(bulkhead.path) { exchange -> handOver(exchange, handler, pool, bulkhead) }
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

    /** The exchange is answered by another thread; the one that read it is free for the next. */
    private fun handOver(exchange: HttpExchange, handler: JdkHandler, pool: ThreadPoolExecutor, bulkhead: RequestBulkhead) {
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

    /** Notes how long [task] waits for a thread, and tells at `debug` if that is long. */
    private fun timed(task: Runnable, metrics: QueueMetrics): Runnable {
        val queuedAt = System.nanoTime()
        return Runnable {
            val waitedMs = (System.nanoTime() - queuedAt) / NANOS_PER_MS
            metrics.wait.note(waitedMs)
            if (waitedMs >= SLOW_MS) log.debug("a request waited {} ms for a thread", waitedMs)
            task.run()
        }
    }

    companion object {
        /** Threads that read the requests of users and workers, for lanes to answer. */
        const val PUBLIC_READERS = 4
        private const val ANY_PATH = "/"
        private const val BACKLOG = 128
        private const val NO_BODY = -1L
        private const val IDLE_S = 30L
        private const val STACK_BYTES = 256L * 1024
    }
}
