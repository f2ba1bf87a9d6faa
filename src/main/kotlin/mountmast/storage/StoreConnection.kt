package mountmast.storage

import com.google.common.util.concurrent.RateLimiter
import mountmast.transport.HttpCaller
import mountmast.transport.MetricNames
import mountmast.transport.Metrics
import mountmast.transport.NoAnswerException
import mountmast.transport.Reply
import org.slf4j.LoggerFactory
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit

private val log = LoggerFactory.getLogger("mountmast.store")

/**
 * Sends requests to the state service within this node's share of the service's request rate, and notes whether the service answers.
 * Every function that sends a request throws [StoreException] if the share is used up or no answer arrives. Thread-safe.
 *
 * @property address address of the state service
 */
internal class StoreConnection(
    private val address: InetSocketAddress,
    requestsPerSecond: Double,
    private val caller: HttpCaller,
    metrics: Metrics,
) {
    private val callDurations = metrics.timing(MetricNames.STORE_CALLS)
    private val failureCounter = metrics.counter(MetricNames.STORE_FAILURES)
    private val requestLimiter = RateLimiter.create(requestsPerSecond)

    @Volatile
    private var lastAnswerNanos = System.nanoTime()

    @Volatile
    private var wasLastCallAnswered = false

    /**
     * Whether the service has recently answered a [call]. Watches do not count: one that is answered, perhaps late, does not show that
     * the service answers other requests of this node.
     */
    val isReachable: Boolean
        get() = wasLastCallAnswered || System.nanoTime() - lastAnswerNanos < REACHABLE_AFTER_ANSWER_NANOS

    /** Sets this node's share of the service's request rate to [perSecond] requests per second. */
    fun setRequestRate(perSecond: Double) {
        requestLimiter.rate = perSecond
    }

    /** Sends a request that the service answers at once, and returns the response, whatever its status. */
    fun call(method: String, path: String, requestBody: String?): Reply {
        val startedNanos = System.nanoTime()
        awaitRequestQuota()
        val admittedNanos = System.nanoTime()
        var isAnswered = false
        try {
            val reply = send(method, path, requestBody, ANSWER_TIMEOUT_MS)
            recordDuration("$method $path", startedNanos, admittedNanos)
            // A status below 500 shows that the service is reachable; it answers 429 to requests above its rates.
            isAnswered = reply.status < SERVER_ERROR
            return reply
        } finally {
            wasLastCallAnswered = isAnswered
            if (isAnswered) lastAnswerNanos = System.nanoTime()
        }
    }

    /** Sends a request for a watch, which the service may answer only after [waitMs] milliseconds. */
    fun watch(path: String, waitMs: Int): Reply {
        awaitRequestQuota()
        return send("GET", path, null, ANSWER_TIMEOUT_MS + waitMs)
    }

    private fun awaitRequestQuota() {
        if (!requestLimiter.tryAcquire(MAX_RATE_WAIT_MS, TimeUnit.MILLISECONDS)) throw rateExceeded()
    }

    private fun send(method: String, path: String, requestBody: String?, timeoutMs: Int): Reply = try {
        val reply = caller.call(address, method, path, requestBody?.encodeToByteArray(), timeoutMs)
        if (reply.status >= SERVER_ERROR) failureCounter.add()
        reply
    } catch (e: NoAnswerException) {
        failureCounter.add()
        throw if (e.mayHaveTakenEffect) StoreTimeoutException("$path: ${e.message}") else StoreUnavailableException("$path: ${e.message}")
    }

    /** Records how long a call took since [startedNanos]; until [admittedNanos] it waited for this node's share of the request rate. */
    private fun recordDuration(call: String, startedNanos: Long, admittedNanos: Long) {
        val tookMs = (System.nanoTime() - startedNanos) / NANOS_PER_MS
        callDurations.record(tookMs)
        if (tookMs >= SLOW_CALL_MS) {
            log.debug("{} took {} ms, {} of them waiting for the rate limit", call, tookMs, (admittedNanos - startedNanos) / NANOS_PER_MS)
        }
    }

    companion object {
        private const val ANSWER_TIMEOUT_MS = 1500

        /** After an answer the service counts as reachable for this long, even if later calls fail. */
        private const val REACHABLE_AFTER_ANSWER_NANOS = 2_500_000_000L
        private const val MAX_RATE_WAIT_MS = 300L

        /** The lowest HTTP status that tells of a failure of the server. */
        private const val SERVER_ERROR = 500
        private const val SLOW_CALL_MS = 100
        private const val NANOS_PER_MS = 1_000_000L

        /** Returns the exception for a call that was not sent, as it would exceed this node's share of the state service's rates. */
        fun rateExceeded() = StoreUnavailableException("not sent: the call exceeds this node's share of the state service's rates")
    }
}
