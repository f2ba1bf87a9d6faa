package mountmast.coordination.election

import mountmast.protocol.WallTime

/** How long leaders may act without the state service, derived from what the workers are promised. */
data class LeaseTiming(
    val ttlMs: Long,
    val graceMs: Long,
    val leaseMs: Long,
    val clockOffMs: Long,
    val heartbeatIntervalMs: Long,
    /**
     * For how long after the last moment up to which every cancellation is known workers may be answered: the lease that
     * an answer renews must run out before a cancellation that came just after that moment has to be carried out.
     */
    val informedMs: Long,
) {
    /** After this long without an answer from a leader a worker has given up its tasks, drift included. */
    val leaseExpiryMs: Long get() = drifted(leaseMs) + MARGIN_MS

    /**
     * A worker that was silent for so long has left out a report: two of the longest intervals, and the pause before it
     * tries another node. A leader that no worker reaches resigns after as long; where leases are short a longer time would leave
     * its successor none to renew them in.
     */
    val quietMs: Long get() = (heartbeatIntervalMs * QUIET_HEARTBEATS).toLong() + RETRY_MS

    /** How long a cancellation that another node told of is kept in mind: until all tasks of the job are gone for certain. */
    val cancellationBroadcastMs: Long get() = 2 * (informedMs + leaseExpiryMs)

    /** For this long after its election a leader must suppose that the one before still answers workers. */
    val formerLeaderMs: Long get() = drifted(graceMs) + MARGIN_MS

    /**
     * For this long after its election other nodes may renew workers' leases in a leader's name: one that has just
     * started is too slow for all workers at once, and their leases run out.
     */
    val delegationMs: Long get() = minOf(MAX_DELEGATION_MS, graceMs)

    /** Until when, by any node's time of day, helpers may answer for a leader elected at [since] by its own. */
    fun delegationUntil(since: WallTime) = WallTime(since.ms + delegationMs - 2 * clockOffMs - MARGIN_MS)

    /** Until when, by any node's time of day, those may answer workers who know no cancellation after [watermark]. */
    fun uninformedUntil(watermark: WallTime) = WallTime(watermark.ms + informedMs - 2 * clockOffMs - MARGIN_MS)

    companion object {
        private const val MARGIN_MS = 500L
        private const val MAX_DELEGATION_MS = 8000L
        private const val RETRY_MS = 1000L
        private const val QUIET_HEARTBEATS = 2.5
        private const val TTL_LEASE_SHARE = 0.35
        private const val MIN_TTL_MS = 2000L
        private const val MAX_TTL_MS = 5000L
        private const val MAX_GRACE_MS = 60_000L

        /** For kills, saving and the network, once the last lease has run out. */
        private const val CANCEL_RESERVE_MS = 3000L

        /** Twice the promised bound of 0.05%, once for either clock. */
        private fun drifted(ms: Long) = ms + ms / 1000 + 1

        /**
         * The grace ends early enough that a task which only a cut-off leader can reach is gone within
         * `cancel_s` of its cancellation: the hold, the grace and the worker's lease run out one after another.
         */
        fun of(leaseS: Double, cancelS: Double, clockOffMs: Double, heartbeatIntervalS: Double): LeaseTiming {
            val lease = (leaseS * 1000).toLong()
            // A successor must be found, and be found by the workers, well before their leases run out.
            val ttl = (lease * TTL_LEASE_SHARE).toLong().coerceIn(MIN_TTL_MS, MAX_TTL_MS)
            val informed = (cancelS * 1000).toLong() - lease - CANCEL_RESERVE_MS
            return LeaseTiming(
                ttl,
                (informed - ttl).coerceIn(0, MAX_GRACE_MS),
                lease,
                Math.ceil(clockOffMs).toLong(),
                (heartbeatIntervalS * 1000).toLong(),
                maxOf(informed, ttl),
            )
        }
    }
}
