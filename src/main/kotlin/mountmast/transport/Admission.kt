package mountmast.transport

import com.netflix.concurrency.limits.limit.Gradient2Limit
import com.netflix.concurrency.limits.limiter.SimpleLimiter

/**
 * Adaptive limit on the number of concurrent requests of one kind. It follows the measured durations of the requests; those that
 * throw or are answered with a 5xx status are not measured. Health checks, cancellations and workers' heartbeats have no such limit.
 * Thread-safe.
 *
 * @param minimum the lowest limit
 * @param maximum the highest limit; the initial limit is half of it, but at least [minimum]
 */
class AdmissionLimit(minimum: Int, maximum: Int) {
    private val limiter: SimpleLimiter<Unit> = SimpleLimiter.newBuilder()
        .limit(Gradient2Limit.newBuilder().minLimit(minimum).maxConcurrency(maximum).initialLimit(maxOf(minimum, maximum / 2)).build())
        .build<Unit>()

    /** Runs [work] and returns its answer, or returns 429 with a `Retry-After` of 1 second at once if the limit is reached. */
    fun admit(work: () -> UserAnswer): UserAnswer {
        val permit = limiter.acquire(Unit).orElse(null) ?: return UserAnswer(429, errorBody("busy"), retryAfterS = 1)
        var answer: UserAnswer? = null
        try {
            answer = work()
            return answer
        } finally {
            if (answer == null || answer.status >= 500) permit.onIgnore() else permit.onSuccess()
        }
    }
}

/** The limits on users' requests. Submissions and polls have a limit each, so that a flood of submissions does not block polls. */
class AdmissionLimits(val submissionLimit: AdmissionLimit, val pollLimit: AdmissionLimit)
