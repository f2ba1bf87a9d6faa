package mountmast.storage

import mountmast.protocol.StateLimits

/**
 * What background work, for which no user waits, may write now: see [StateStore.writeBudget].
 *
 * @property available number of changes (puts and deletes) that may be written at once
 * @property isScarce whether the budget is so low that writes that can wait should be postponed
 */
data class WriteBudget(val available: Int, val isScarce: Boolean) {
    companion object {
        /** No limit, for a [StateStore] whose write rate is not limited. */
        val UNLIMITED = WriteBudget(Int.MAX_VALUE, isScarce = false)
    }
}

/** Divides the rates of the state service among the controller nodes. */
object StoreRateQuota {
    /**
     * Returns how many changes (puts and deletes) per second one of [nodes] nodes may write; [isLeader] tells whether it is the leader.
     * The leader gets the larger share of the write rate in [limits]. The other nodes together get the larger share of the request rate,
     * since they answer more users. The shares of all nodes together stay below each rate.
     */
    fun writes(limits: StateLimits, nodes: Int, isLeader: Boolean) = limits.writesPerSecond * share(nodes, isLeader, LEADER_WRITE_SHARE)

    /** Returns how many requests per second one of [nodes] nodes may send; [isLeader] tells whether it is the leader. */
    fun requests(limits: StateLimits, nodes: Int, isLeader: Boolean) =
        limits.requestsPerSecond * share(nodes, isLeader, LEADER_REQUEST_SHARE)

    private fun share(nodes: Int, isLeader: Boolean, leaderShare: Double): Double = SAFETY_FACTOR * when {
        nodes == 1 -> 1.0
        isLeader -> leaderShare
        else -> (1 - leaderShare) / (nodes - 1)
    }

    private const val LEADER_REQUEST_SHARE = 0.4
    private const val LEADER_WRITE_SHARE = 0.6

    /**
     * Keeps all nodes together below the state service's rates: the nodes' clocks drift, and two nodes may use the leader's share while
     * the leader changes.
     */
    private const val SAFETY_FACTOR = 0.9
}

/**
 * Limits a node to its share of a rate by a token bucket, which holds the permits of one second. Background work leaves a reserve in
 * the bucket, so that requests for which users wait are admitted at once. Thread-safe.
 *
 * @param rate permits per second
 */
class TokenBucket(rate: Double, private val nowNanos: () -> Long) {
    private var rate = rate
    private var permits = capacity
    private var refilledAtNanos = nowNanos()

    private val capacity: Double get() = maxOf(rate, MIN_CAPACITY)

    /** Changes the rate. The permits in the bucket remain, up to its new capacity. */
    @Synchronized
    fun setRate(rate: Double) {
        refill()
        this.rate = rate
        permits = minOf(permits, capacity)
    }

    /**
     * Takes [count] permits and returns the time in milliseconds to wait before they may be used. If that is longer than [maxWaitMs], it
     * takes none and returns null.
     */
    @Synchronized
    fun take(count: Int, maxWaitMs: Long): Long? {
        refill()
        // The bucket never holds more permits than its capacity, so a larger count waits only until the bucket is full.
        val missing = minOf(count.toDouble(), capacity) - permits
        val waitMs = if (missing <= 0) 0 else Math.ceil(missing / rate * MS_PER_S).toLong()
        if (waitMs > maxWaitMs) return null
        permits -= count
        return waitMs
    }

    /** Returns what background work may take now without using the reserve. */
    @Synchronized
    fun budget(): WriteBudget {
        refill()
        val reserve = capacity * RESERVED_SHARE
        val available = permits - reserve
        return WriteBudget(maxOf(0, available.toInt()), available < (capacity - reserve) * SCARCE_SHARE)
    }

    private fun refill() {
        val now = nowNanos()
        permits = minOf(capacity, permits + (now - refilledAtNanos) / NANOS_PER_S * rate)
        refilledAtNanos = now
    }

    private companion object {
        const val NANOS_PER_S = 1e9
        const val MS_PER_S = 1000

        /** The lowest capacity of a bucket, in permits: besides the reserve, it holds the permits for the two changes that finish a job. */
        const val MIN_CAPACITY = 3.0
        const val RESERVED_SHARE = 0.25
        const val SCARCE_SHARE = 0.6
    }
}
