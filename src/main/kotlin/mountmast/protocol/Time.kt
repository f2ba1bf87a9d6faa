package mountmast.protocol

import kotlinx.serialization.Serializable

/** A point on this process's monotonic clock, in milliseconds. */
@JvmInline
value class MonotonicTime(val ms: Long) : Comparable<MonotonicTime> {
    override fun compareTo(other: MonotonicTime) = ms.compareTo(other.ms)
    operator fun plus(millis: Long) = MonotonicTime(ms + millis)
    operator fun minus(other: MonotonicTime): Long = ms - other.ms
}

/** A time of day in milliseconds since 1970, only as exact as the settings promise. */
@Serializable
@JvmInline
value class WallTime(val ms: Long) : Comparable<WallTime> {
    override fun compareTo(other: WallTime) = ms.compareTo(other.ms)
}

/** The source of all times, so that tests can run in virtual time. */
interface Clock {
    /** Returns the time on the monotonic clock. */
    fun now(): MonotonicTime

    /** Returns the time of day. */
    fun wall(): WallTime
}

/** The clocks of the machine. */
object SystemClock : Clock {
    override fun now() = MonotonicTime(System.nanoTime() / 1_000_000)
    override fun wall() = WallTime(System.currentTimeMillis())
}
