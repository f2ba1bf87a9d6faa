package mountmast.protocol

import kotlinx.serialization.Serializable

/** A reading of this process's monotonic clock, in milliseconds; comparable only within the process. */
@JvmInline
value class MonotonicTime(val ms: Long) : Comparable<MonotonicTime> {
    override fun compareTo(other: MonotonicTime) = ms.compareTo(other.ms)
    operator fun plus(millis: Long) = MonotonicTime(ms + millis)
    operator fun minus(other: MonotonicTime): Long = ms - other.ms
}

/**
 * A wall-clock time in milliseconds since the Unix epoch. Each node's clock is off by at most [Settings.clockOffMs], so the clocks of two
 * nodes may differ by twice that.
 */
@Serializable
@JvmInline
value class WallTime(val ms: Long) : Comparable<WallTime> {
    override fun compareTo(other: WallTime) = ms.compareTo(other.ms)
}

/** Source of all times that the code uses, so that tests can run in virtual time. */
interface Clock {
    /** Returns the current reading of the monotonic clock. */
    fun now(): MonotonicTime

    /** Returns the current wall-clock time. */
    fun wall(): WallTime
}

/** The clocks of the machine on which this process runs. */
object SystemClock : Clock {
    override fun now() = MonotonicTime(System.nanoTime() / 1_000_000)
    override fun wall() = WallTime(System.currentTimeMillis())
}
