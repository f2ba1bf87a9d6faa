package mountmast.standin

import mountmast.protocol.Clock
import mountmast.protocol.MonotonicTime
import mountmast.protocol.WallTime
import java.util.PriorityQueue
import kotlin.random.Random

/** Time that passes only when told to, and what is to happen in it. */
class VirtualTime {
    var now = 0L
        private set

    /** Hears of all that the stand-ins see, where a test wants to compare days. */
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

/** What ails the node [number] right now. */
class Trouble(private val time: VirtualTime, val number: Int = -1) {
    var lossRate = 0.0
    var storeCutUntil = 0L
    var storeRefusedUntil = 0L
    var workersCutUntil = 0L
    var stalledUntil = 0L
    var peersCutUntil = 0L

    /** Its waiting for changes at the state service gets no answer, while all other requests do. */
    var watchesNothingUntil = 0L

    /** What workers report arrives, but nothing that this node sends reaches any worker. */
    var sendsNothingUntil = 0L
    var dieAtNextCall = false

    /** How long the process stands still in the middle of what it does, from one of its next calls on. */
    var pauseAtNextCallMs = 0L

    /** Lets time pass for everybody else. */
    var standStill: (Long) -> Unit = {}

    /** A share of its transactions gets no answer and is carried out seconds later, after newer ones. */
    var lateWritesUntil = 0L

    fun writesLate(random: Random) = time.now < lateWritesUntil && random.nextInt(LATE_ONE_IN) == 0

    /** Whether requests that were carried out may be carried out once more, long afterwards. */
    var repeats = false

    fun cutFromPeers() = time.now < peersCutUntil
    fun cutFromStore() = time.now < storeCutUntil
    fun refusedByStore() = time.now < storeRefusedUntil
    fun watchesNothing() = time.now < watchesNothingUntil
    fun sendsNothing() = time.now < sendsNothingUntil
    fun cutFromWorkers() = time.now < workersCutUntil
    fun stalled() = time.now < stalledUntil

    /** Called where a process talks to another: before what it says is carried out, and before it learns the outcome. */
    fun mayStrike(random: Random) {
        if (pauseAtNextCallMs > 0 && random.nextInt(3) == 0) {
            val ms = pauseAtNextCallMs
            pauseAtNextCallMs = 0
            standStill(ms)
        }
        if (dieAtNextCall && random.nextInt(3) == 0) {
            dieAtNextCall = false
            throw NodeDied()
        }
    }

    /** At times has what was just carried out [act] again, from a moment to minutes later. */
    fun mayRepeat(random: Random, act: () -> Unit) {
        if (repeats && random.nextInt(REPEATED_ONE_IN) == 0) time.later(random.nextLong(50, 60_000)) { runCatching(act) }
    }

    private companion object {
        const val REPEATED_ONE_IN = 12
        const val LATE_ONE_IN = 4
    }
}
