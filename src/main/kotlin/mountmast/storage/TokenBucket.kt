package mountmast.storage

import mountmast.protocol.StateLimits

/**
 * How much work that no user waits for may write now: see [StateStore.writeBudget].
 *
 * @property available changes (puts and deletes) that may be written at once
 * @property isScarce whether less is left than usual, so that whatever can wait should
 */
data class WriteBudget(val available: Int, val isScarce: Boolean) {
    companion object {
        /** No limit, for stores without a rate. */
        val AMPLE = WriteBudget(Int.MAX_VALUE, isScarce = false)
    }
}

/** How the rates of the state service are divided among the nodes. */
object StoreRateQuota {
    /**
     * Changes per second of a node that is the leader or not, with [nodes] nodes in all. The leader writes more than the others, which
     * have more users to answer; all nodes together stay within the rates.
     */
    fun writes(limits: StateLimits, nodes: Int, isLeader: Boolean) = limits.writesPerSecond * share(nodes, isLeader, LEADER_WRITES)

    /** Requests per second of a node that is the leader or not, with [nodes] nodes in all. */
    fun requests(limits: StateLimits, nodes: Int, isLeader: Boolean) = limits.requestsPerSecond * share(nodes, isLeader, LEADER_REQUESTS)

    private fun share(nodes: Int, isLeader: Boolean, leaderShare: Double): Double = CAUTION * when {
        nodes == 1 -> 1.0
        isLeader -> leaderShare
        else -> (1 - leaderShare) / (nodes - 1)
    }

    private const val LEADER_REQUESTS = 0.4
    private const val LEADER_WRITES = 0.6

    /** Kept below the rates: clocks drift, and a change of leader overlaps two shares. */
    private const val CAUTION = 0.9
}

/**
 * A node's share of a rate, as a token bucket that holds one second's worth of permits. Work in the background leaves a reserve in
 * it, so that what users wait for is admitted at once. Thread-safe.
 *
 * @param rate permits per second
 */
class TokenBucket(rate: Double, private val nowNanos: () -> Long) {
    private var rate = rate
    private var tokens = capacity
    private var filledAt = nowNanos()

    private val capacity: Double get() = maxOf(rate, MIN_CAPACITY)

    /** Changes the rate; what is left in the bucket stays. */
    @Synchronized
    fun setRate(rate: Double) {
        fill()
        this.rate = rate
        tokens = minOf(tokens, capacity)
    }

    /**
     * Takes [count] permits and returns how many milliseconds to wait before they may be used. Takes none and returns null if that
     * would be longer than [mostMs].
     */
    @Synchronized
    fun take(count: Int, mostMs: Long): Long? {
        fill()
        // More than the bucket holds is never there at once.
        val missing = minOf(count.toDouble(), capacity) - tokens
        val waitMs = if (missing <= 0) 0 else Math.ceil(missing / rate * MS_PER_S).toLong()
        if (waitMs > mostMs) return null
        tokens -= count
        return waitMs
    }

    /** Returns what work in the background may take now. */
    @Synchronized
    fun budget(): WriteBudget {
        fill()
        val reserve = capacity * RESERVED_SHARE
        val available = tokens - reserve
        return WriteBudget(maxOf(0, available.toInt()), available < (capacity - reserve) * SHORT_SHARE)
    }

    private fun fill() {
        val now = nowNanos()
        tokens = minOf(capacity, tokens + (now - filledAt) / NANOS_PER_S * rate)
        filledAt = now
    }

    private companion object {
        const val NANOS_PER_S = 1e9
        const val MS_PER_S = 1000

        /** Room for the end of a job, two changes, beside the reserve. */
        const val MIN_CAPACITY = 3.0
        const val RESERVED_SHARE = 0.25
        const val SHORT_SHARE = 0.6
    }
}
