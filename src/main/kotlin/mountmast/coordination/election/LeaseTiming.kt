package mountmast.coordination.election

import mountmast.protocol.WallTime

/**
 * How long leaders may act without the store, derived from what workers and users are promised. All durations are in
 * milliseconds.
 *
 * @property ttlMs time to live of the leader's store lease
 * @property graceMs for how long after its store lease may have expired a leader goes on renewing workers' leases
 * @property leaseMs duration of a worker's lease, by the worker's clock
 * @property clockOffMs bound on the difference of any node's time of day from the true one
 * @property heartbeatIntervalMs interval at which workers send heartbeats
 * @property informedMs for how long after the last moment up to which every cancellation is known workers' leases may be renewed: a
 *   lease that is renewed then expires before a cancellation just after that moment has to be carried out
 */
data class LeaseTiming(
    val ttlMs: Long,
    val graceMs: Long,
    val leaseMs: Long,
    val clockOffMs: Long,
    val heartbeatIntervalMs: Long,
    val informedMs: Long,
) {
    /** After this long without an answer from a leader a worker has stopped its tasks, clock drift included. */
    val leaseExpiryMs: Long get() = drifted(leaseMs) + MARGIN_MS

    /**
     * A worker that was silent for this long has missed a heartbeat: two of the longest intervals, and the pause before it tries
     * another node. A leader that no worker reaches resigns after the same time; where leases are short, a longer one would leave
     * its successor no time to renew them (docs/incidents/inc-4deb.md; `LeaseTimingTest`).
     */
    val quietMs: Long get() = (heartbeatIntervalMs * QUIET_HEARTBEATS).toLong() + RETRY_MS

    /** How long a cancellation that another node broadcast is remembered: until all tasks of the job have certainly ended. */
    val cancellationBroadcastMs: Long get() = 2 * (informedMs + leaseExpiryMs)

    /** For this long after its election a leader must assume that the previous one still renews workers' leases. */
    val formerLeaderMs: Long get() = drifted(graceMs) + MARGIN_MS

    /**
     * For this long after its election other nodes may renew workers' leases on behalf of a leader: one that has just started is
     * too slow for all workers at once, and their leases would expire.
     */
    val delegationMs: Long get() = minOf(MAX_DELEGATION_MS, graceMs)

    /** Returns until when, by any node's time of day, delegates may renew leases for a leader elected at [since] by its own. */
    fun delegationUntil(since: WallTime): WallTime = WallTime(since.ms + delegationMs - 2 * clockOffMs - MARGIN_MS)

    /**
     * Returns until when, by any node's time of day, a node that knows no cancellation after [watermark] may renew workers' leases.
     */
    fun uninformedUntil(watermark: WallTime): WallTime = WallTime(watermark.ms + informedMs - 2 * clockOffMs - MARGIN_MS)

    companion object {
        private const val MARGIN_MS = 500L
        private const val MAX_DELEGATION_MS = 8000L
        private const val RETRY_MS = 1000L
        private const val QUIET_HEARTBEATS = 2.5

        /** A quarter was too little: one renewal that timed out ended a leader's term (docs/incidents/inc-0e16.md; `LeaseTimingTest`). */
        private const val TTL_LEASE_SHARE = 0.35
        private const val MIN_TTL_MS = 2000L
        private const val MAX_TTL_MS = 5000L
        private const val MAX_GRACE_MS = 60_000L
        private const val MS_PER_S = 1000

        /** For kills, checkpoints and the network, once the last lease has expired. */
        private const val CANCEL_RESERVE_MS = 3000L

        /** Twice the promised bound of 0.05% on clock drift, once for either clock. */
        private fun drifted(ms: Long) = ms + ms / 1000 + 1

        /**
         * Returns the timing for workers' leases of [leaseS] seconds and for cancellations that are carried out within [cancelS]
         * seconds. The grace period ends early enough for a task that only a partitioned leader can reach to end within that time:
         * the store lease, the grace period and the worker's lease follow one another.
         */
        fun of(leaseS: Double, cancelS: Double, clockOffMs: Double, heartbeatIntervalS: Double): LeaseTiming {
            val leaseMs = (leaseS * MS_PER_S).toLong()
            // A successor must be elected, and be found by the workers, well before their leases expire.
            val ttlMs = (leaseMs * TTL_LEASE_SHARE).toLong().coerceIn(MIN_TTL_MS, MAX_TTL_MS)
            val informedMs = (cancelS * MS_PER_S).toLong() - leaseMs - CANCEL_RESERVE_MS
            return LeaseTiming(
                ttlMs = ttlMs,
                graceMs = (informedMs - ttlMs).coerceIn(0, MAX_GRACE_MS),
                leaseMs = leaseMs,
                clockOffMs = Math.ceil(clockOffMs).toLong(),
                heartbeatIntervalMs = (heartbeatIntervalS * MS_PER_S).toLong(),
                informedMs = maxOf(informedMs, ttlMs),
            )
        }
    }
}
