package mountmast.coordination.election

import mountmast.protocol.WallTime

/**
 * Durations that bound how long a leader may act without an answer from the store. They are derived from the promised duration of
 * workers' leases and the promised time to carry out a cancellation. All are in milliseconds.
 *
 * @property ttlMs time to live of the leader's store lease
 * @property graceMs how long a leader goes on renewing workers' leases after its own store lease may have expired
 * @property workerLeaseMs duration of a worker's lease, by the worker's clock
 * @property maxClockOffsetMs bound on the difference between any node's time of day and the true time, in either direction
 * @property heartbeatIntervalMs interval at which workers send heartbeats
 * @property maxStalenessMs how old a node's knowledge of the cancellations may be while it renews workers' leases: even a lease
 *   renewed at that age expires before the first cancellation that the node may not know has to be carried out
 */
data class LeaseTiming(
    val ttlMs: Long,
    val graceMs: Long,
    val workerLeaseMs: Long,
    val maxClockOffsetMs: Long,
    val heartbeatIntervalMs: Long,
    val maxStalenessMs: Long,
) {
    /** Time after the last renewal of a worker's lease by which the worker has stopped its tasks, with an allowance for clock drift. */
    val leaseExpiryMs: Long get() = addClockDrift(workerLeaseMs) + MARGIN_MS

    /**
     * Time without a heartbeat after which a worker has missed one: two of the longest heartbeat intervals, and the pause before
     * the worker tries another node. A leader that no worker reaches resigns after the same time. If workers' leases are short, a
     * longer time would leave its successor too little to renew them (docs/incidents/inc-4deb.md; `LeaseTimingTest`).
     */
    val silenceTimeoutMs: Long get() = (heartbeatIntervalMs * SILENCE_TIMEOUT_INTERVALS).toLong() + HEARTBEAT_RETRY_PAUSE_MS

    /** How long a node retains a broadcast cancellation: until all tasks of the cancelled job have certainly ended. */
    val cancellationRetentionMs: Long get() = 2 * (maxStalenessMs + leaseExpiryMs)

    /** Time after its election during which a leader must assume that the former leader still renews workers' leases. */
    val formerLeaderGraceMs: Long get() = addClockDrift(graceMs) + MARGIN_MS

    /**
     * Time after a leader's election during which other nodes may renew workers' leases on its behalf. A newly elected leader is
     * too slow to answer all workers at once, and without this delegation their leases would expire.
     */
    val delegationMs: Long get() = minOf(MAX_DELEGATION_MS, graceMs)

    /**
     * Returns the time, by the time of day of any node, until which other nodes may renew workers' leases on behalf of a leader
     * whose election began at [startedAt] by the leader's time of day. The clocks of a delegate and of the leader may be off in
     * opposite directions.
     */
    fun delegationUntil(startedAt: WallTime): WallTime = WallTime(startedAt.ms + delegationMs - 2 * maxClockOffsetMs - MARGIN_MS)

    /**
     * Returns the time, by the time of day of any node, until which a node that knows no cancellation after [watermark] may renew
     * workers' leases. A lease renewed later could let a task run on after its job's unknown cancellation has to be carried out.
     * The clock that set the watermark and that of the node may be off in opposite directions.
     */
    fun renewalUntil(watermark: WallTime): WallTime = WallTime(watermark.ms + maxStalenessMs - 2 * maxClockOffsetMs - MARGIN_MS)

    companion object {
        private const val MARGIN_MS = 500L
        private const val MAX_DELEGATION_MS = 8000L
        private const val HEARTBEAT_RETRY_PAUSE_MS = 1000L
        private const val SILENCE_TIMEOUT_INTERVALS = 2.5

        /**
         * Ratio of the leader's store lease to a worker's lease. With a ratio of 0.25, a single renewal that timed out ended the
         * leader's term (docs/incidents/inc-0e16.md; `LeaseTimingTest`).
         */
        private const val TTL_PER_WORKER_LEASE = 0.35
        private const val MIN_TTL_MS = 2000L
        private const val MAX_TTL_MS = 5000L
        private const val MAX_GRACE_MS = 60_000L
        private const val MS_PER_S = 1000

        /** Time for network delays, checkpoints and kills of tasks after the last worker's lease has expired. */
        private const val CANCEL_RESERVE_MS = 3000L

        /** Returns [ms] lengthened by at least 0.1%: the promised bound on clock drift is 0.05% for each of the two clocks. */
        private fun addClockDrift(ms: Long) = ms + ms / 1000 + 1

        /**
         * Returns the timing for workers' leases of [leaseS] seconds and cancellations that must be carried out within [cancelS]
         * seconds. The grace period is limited so that the store lease, the grace period and the worker's lease, one after
         * another, end before [cancelS]: then a task that only a partitioned leader can reach ends in time.
         */
        fun of(leaseS: Double, cancelS: Double, maxClockOffsetMs: Double, heartbeatIntervalS: Double): LeaseTiming {
            val workerLeaseMs = (leaseS * MS_PER_S).toLong()
            // After a leader fails, a successor must be elected and found by the workers well before the workers' leases expire.
            val ttlMs = (workerLeaseMs * TTL_PER_WORKER_LEASE).toLong().coerceIn(MIN_TTL_MS, MAX_TTL_MS)
            val maxStalenessMs = (cancelS * MS_PER_S).toLong() - workerLeaseMs - CANCEL_RESERVE_MS
            return LeaseTiming(
                ttlMs = ttlMs,
                graceMs = (maxStalenessMs - ttlMs).coerceIn(0, MAX_GRACE_MS),
                workerLeaseMs = workerLeaseMs,
                maxClockOffsetMs = Math.ceil(maxClockOffsetMs).toLong(),
                heartbeatIntervalMs = (heartbeatIntervalS * MS_PER_S).toLong(),
                maxStalenessMs = maxOf(maxStalenessMs, ttlMs),
            )
        }
    }
}
