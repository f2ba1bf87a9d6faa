package mountmast.transport

import com.netflix.concurrency.limits.limit.Gradient2Limit
import com.netflix.concurrency.limits.limiter.SimpleLimiter

/**
 * Limits how many requests of a kind may be in progress at once. The limit follows the measured times of the requests. Health
 * checks, cancellations and workers' heartbeats do not pass through any. Thread-safe.
 *
 * @param minimum the lowest limit
 * @param maximum the highest limit; half of it is the first
 */
class AdmissionLimit(minimum: Int, maximum: Int) {
    private val limiter: SimpleLimiter<Unit> = SimpleLimiter.newBuilder()
        .limit(Gradient2Limit.newBuilder().minLimit(minimum).maxConcurrency(maximum).initialLimit(maxOf(minimum, maximum / 2)).build())
        .build<Unit>()

    /** Runs [work] if the limit allows it; otherwise answers 429 at once. */
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

/** The limits on users' requests, apart so that a flood of submissions keeps nobody from asking for a job's status. */
class AdmissionLimits(val submissions: AdmissionLimit, val polls: AdmissionLimit)
