package mountmast.coordination.persistence

import mountmast.protocol.Clock
import mountmast.protocol.MonotonicTime
import mountmast.protocol.StateLimits

/**
 * The write limits of this term, which fall each time the store rejects a transaction as too large: its limits may be lower than
 * the settings say, and the same transaction would be rejected again. Used by the committing thread only.
 *
 * Test: `FallingLimitsTest`, "a leader that meets lower limits by surprise writes less at a time and goes on".
 */
internal class AdaptiveWriteLimits(stateLimits: StateLimits, private val clock: Clock) {
    private var pausedUntil = MonotonicTime(Long.MIN_VALUE / 2)

    /** The limits to keep to now. */
    var current = WriteLimits.of(stateLimits)
        private set

    /** Whether the store rejected a transaction in this term. */
    var wasRejected = false
        private set

    /** Whether to send nothing for now, since the store rejected a transaction within the smallest limits. */
    fun isPaused(): Boolean = clock.now() < pausedUntil

    /** Halves the limits after a rejection; where they are at their minimum, pauses for [REJECTED_PAUSE_MS]. */
    fun reduce() {
        wasRejected = true
        if (current.isMinimum) pausedUntil = clock.now() + REJECTED_PAUSE_MS
        current = current.halved()
    }

    private companion object {
        const val REJECTED_PAUSE_MS = 1000L
    }
}
