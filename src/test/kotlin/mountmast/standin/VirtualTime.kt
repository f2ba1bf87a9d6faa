package mountmast.standin

import mountmast.protocol.Clock
import mountmast.protocol.MonotonicTime
import mountmast.protocol.WallTime
import java.util.PriorityQueue

/** Time that passes only by [advance], with the events that are scheduled in it. */
class VirtualTime {
    var now = 0L
        private set

    /** Receives all that the stand-ins see, if a test compares days. */
    var digest: DayDigest? = null
    private val pending = PriorityQueue<Pair<Long, () -> Unit>>(compareBy { it.first })

    fun later(inMs: Long, act: () -> Unit) {
        pending += (now + inMs) to act
    }

    /** Reports an event to the [digest]; [text] is only made where there is one. */
    inline fun record(text: () -> String) {
        digest?.add(now, text())
    }

    fun advance(ms: Long) {
        val until = now + ms
        while (pending.isNotEmpty() && pending.peek().first <= until) {
            val (at, act) = pending.poll()
            now = maxOf(now, at)
            act()
        }
        // What happened meanwhile may itself have let time pass.
        now = maxOf(now, until)
    }

    /** A host's clocks: the steady one drifts, the time of day is off. */
    fun clock(drift: Double, offMs: Long) = object : Clock {
        override fun now() = MonotonicTime(1_000_000 + (now * (1 + drift)).toLong())
        override fun wall() = WallTime(1_700_000_000_000 + now + offMs)
    }
}

/** A process dies in the middle of what it does. */
class NodeDied : RuntimeException()
