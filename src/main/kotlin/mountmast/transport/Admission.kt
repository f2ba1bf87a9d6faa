package mountmast.transport

import com.netflix.concurrency.limits.limit.Gradient2Limit
import com.netflix.concurrency.limits.limiter.SimpleLimiter

/**
 * How many requests of a kind may be in progress at once: a limit that follows measured times. Health checks,
 * cancellations and workers' reports do not pass through any.
 */
class AdmissionLimit(least: Int, most: Int) {
    private val limiter: SimpleLimiter<Unit> = SimpleLimiter.newBuilder()
        .limit(Gradient2Limit.newBuilder().minLimit(least).maxConcurrency(most).initialLimit(maxOf(least, most / 2)).build())
        .build<Unit>()

    /** Runs [work], or answers at once that the node is busy. */
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

/** The limits on users' requests; a flood of submissions must not keep anybody from asking after a job. */
class AdmissionLimits(val submissions: AdmissionLimit, val polls: AdmissionLimit)
