package mountmast.standin

import mountmast.protocol.StateLimits
import mountmast.storage.Keys
import mountmast.storage.Write

/** The state service's limits, which fall to [next] at [fallsAtMs]; [isAnnounced] tells whether the nodes' settings say so. */
class FallingLimits(
    private val first: StateLimits = StateLimits(80.0, 30.0, 2.0, 8),
    private val next: StateLimits = first,
    private val fallsAtMs: Long = 0,
    isAnnounced: Boolean = true,
    val enforcesRates: Boolean = false,
) {
    /** What a version keeps to that knows nothing of limits to come. */
    val present: StateLimits get() = first

    /** What the nodes keep to. */
    val known: StateLimits = if (isAnnounced) first.lowerOf(next) else first

    fun now(time: VirtualTime): StateLimits = if (time.now < fallsAtMs) first else next
}

/** A rate that allows bursts of one second's worth. */
class ServiceRate(private val time: VirtualTime) {
    private var tokens = Double.MAX_VALUE
    private var filledAt = 0L

    fun allows(count: Int, perSecond: Double): Boolean {
        tokens = minOf(perSecond, tokens + (time.now - filledAt) / MS_PER_S * perSecond)
        filledAt = time.now
        // What is refused counts as well, down to nothing.
        val allowed = tokens >= count
        tokens = maxOf(0.0, tokens - count)
        return allowed
    }

    private companion object {
        const val MS_PER_S = 1000.0
    }
}

/** What a change of a key is for. */
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
