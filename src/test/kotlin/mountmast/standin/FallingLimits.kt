package mountmast.standin

import mountmast.protocol.StateLimits
import mountmast.storage.Keys
import mountmast.storage.Write

/**
 * The limits of the state service, which drop from [initial] to [next] at virtual time [fallsAtMs].
 *
 * @param isAnnounced whether the settings of the nodes contain [next]
 * @param enforcesRates whether the state service refuses requests and writes above the rates of its limits
 */
class FallingLimits(
    private val initial: StateLimits = StateLimits(80.0, 30.0, 2.0, 8),
    private val next: StateLimits = initial,
    private val fallsAtMs: Long = 0,
    isAnnounced: Boolean = true,
    val enforcesRates: Boolean = false,
) {
    /** The limits that a node keeps to if its version has no setting for future limits. */
    val withoutAnnounced: StateLimits get() = initial

    /** The limits that the nodes keep to: the lower of the present and the announced ones. */
    val configured: StateLimits = if (isAnnounced) initial.lowerOf(next) else initial

    /** The limits that the state service enforces at the present virtual time. */
    fun enforcedAt(time: VirtualTime): StateLimits = if (time.now < fallsAtMs) initial else next
}

/** A token bucket that limits a rate of the state service; a burst may take the tokens of one second. */
class ServiceRateLimiter(private val time: VirtualTime) {
    private var availableTokens = Double.MAX_VALUE
    private var refilledAt = 0L

    /** Takes [count] tokens, refilled at [perSecond]. Returns whether there were enough. */
    fun tryAcquire(count: Int, perSecond: Double): Boolean {
        availableTokens = minOf(perSecond, availableTokens + (time.now - refilledAt) / MS_PER_S * perSecond)
        refilledAt = time.now
        // A refused request also takes tokens, down to zero.
        val allowed = availableTokens >= count
        availableTokens = maxOf(0.0, availableTokens - count)
        return allowed
    }

    private companion object {
        const val MS_PER_S = 1000.0
    }
}

/** The kind of data that a write changes, by the prefix of its key. */
enum class WriteKind {
    JOURNAL,
    SNAPSHOT,
    PROGRESS,
    WATERMARK,
    TYPES,
    IMAGES,
    JOB_OVER,
    USERS,
    ELECTION,
    OTHER,
    ;

    companion object {
        fun of(write: Write): WriteKind = when (val prefix = write.key.substringBefore('/') + "/") {
            Keys.JOURNAL -> JOURNAL
            Keys.SNAPSHOT_PARTS, Keys.SNAPSHOT + "/" -> SNAPSHOT
            Keys.PROGRESS -> PROGRESS
            Keys.WATERMARK + "/" -> WATERMARK
            Keys.TYPES_PARTS -> TYPES
            Keys.IMAGES -> IMAGES
            "f/" -> JOB_OVER
            Keys.JOBS -> if (write is Write.Delete) JOB_OVER else USERS
            else -> if (prefix == Keys.LEADER + "/" || prefix == Keys.TERM + "/") ELECTION else OTHER
        }
    }
}
