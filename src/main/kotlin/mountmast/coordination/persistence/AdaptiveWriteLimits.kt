package mountmast.coordination.persistence

import mountmast.protocol.Clock
import mountmast.protocol.MonotonicTime
import mountmast.protocol.StateLimits

/**
 * The write limits of this term. They are halved each time the store rejects a transaction as too large: the store's limits may be
 * lower than the settings say, and the same transaction would be rejected again. Used by the committing thread only.
 *
 * Test: `FallingLimitsTest`, "a leader that meets lower limits by surprise writes less at a time and goes on".
 */
internal class AdaptiveWriteLimits(stateLimits: StateLimits, private val clock: Clock) {
    private var pausedUntil = MonotonicTime(Long.MIN_VALUE / 2)

    /** The limits that the next batch has to keep to. */
    var current = WriteLimits.of(stateLimits)
        private set

    /** Whether the store rejected a transaction as too large in this term. */
    var wasTransactionRejected = false
        private set

    /** Whether no transaction may be sent now, since the store rejected one that was within the minimum limits. */
    fun isPaused(): Boolean = clock.now() < pausedUntil

    /** Halves the limits after a rejection. If they are at their minimum already, pauses all commits for [PAUSE_AFTER_REJECTION_MS]. */
    fun reduce() {
        wasTransactionRejected = true
        if (current.isMinimum) pausedUntil = clock.now() + PAUSE_AFTER_REJECTION_MS
        current = current.halved()
    }

    private companion object {
        const val PAUSE_AFTER_REJECTION_MS = 1000L
    }
}
