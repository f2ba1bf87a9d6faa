package mountmast.standin

import mountmast.protocol.Clock
import mountmast.protocol.MonotonicTime
import mountmast.protocol.WallTime
import java.util.PriorityQueue

/** A virtual clock with scheduled events. Time, in milliseconds, passes only by [advance]. */
class VirtualTime {
    var now = 0L
        private set

    /** Receives all recorded events, if a test compares simulation runs. */
    var digest: DayDigest? = null
    private val scheduled = PriorityQueue<Pair<Long, () -> Unit>>(compareBy { it.first })

    /** Schedules [action] for [delayMs] milliseconds from now. */
    fun schedule(delayMs: Long, action: () -> Unit) {
        scheduled += (now + delayMs) to action
    }

    /** Adds an event to the [digest]; [text] is only called if there is a digest. */
    inline fun record(text: () -> String) {
        digest?.add(now, text())
    }

    /** Lets [ms] milliseconds pass, and runs the events that are due in their order. */
    fun advance(ms: Long) {
        val until = now + ms
        while (scheduled.isNotEmpty() && scheduled.peek().first <= until) {
            val (at, action) = scheduled.poll()
            now = maxOf(now, at)
            action()
        }
        // An event may itself have advanced the time beyond `until`.
        now = maxOf(now, until)
    }

    /** Returns the clocks of a node: the monotonic clock with a relative error of [drift], the wall clock off by [offsetMs]. */
    fun clock(drift: Double, offsetMs: Long) = object : Clock {
        override fun now() = MonotonicTime(1_000_000 + (now * (1 + drift)).toLong())
        override fun wall() = WallTime(1_700_000_000_000 + now + offsetMs)
    }
}

/** Thrown into a controller process that an injected fault kills in the middle of a step. */
class NodeDied : RuntimeException()
