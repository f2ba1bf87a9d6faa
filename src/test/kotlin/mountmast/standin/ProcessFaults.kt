package mountmast.standin

import kotlin.random.Random

/** The faults that the process of node [number] has at present. Times are those of the virtual time, in milliseconds. */
class ProcessFaults(private val time: VirtualTime, val number: Int = -1) {
    var lossRate = 0.0
    var storeCutUntil = 0L
    var storeRefusedUntil = 0L
    var workersCutUntil = 0L
    var stalledUntil = 0L
    var peersCutUntil = 0L

    /** Its watches of the state service get no answer, while all other requests do. */
    var watchesNothingUntil = 0L

    /** Heartbeats arrive, but nothing that this node sends reaches any worker. */
    var sendsNothingUntil = 0L
    var dieAtNextCall = false

    /** How long the process pauses in the middle of a step, from one of its next calls on. */
    var pauseAtNextCallMs = 0L

    /** Lets time pass for all other processes. */
    var standStill: (Long) -> Unit = {}

    /** A share of its transactions gets no answer and is executed seconds later, after newer ones. */
    var lateWritesUntil = 0L

    fun writesLate(random: Random) = time.now < lateWritesUntil && random.nextInt(LATE_ONE_IN) == 0

    /** Whether requests that were executed may be executed once more, long afterwards. */
    var repeats = false

    fun isCutFromPeers() = time.now < peersCutUntil
    fun isCutFromStore() = time.now < storeCutUntil
    fun isRefusedByStore() = time.now < storeRefusedUntil
    fun watchesNothing() = time.now < watchesNothingUntil
    fun sendsNothing() = time.now < sendsNothingUntil
    fun isCutFromWorkers() = time.now < workersCutUntil
    fun isStalled() = time.now < stalledUntil

    /** Pauses or ends the process, if that is due. Called before a request of it is executed, and before it gets the answer. */
    fun interruptIfDue(random: Random) {
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

    /** Now and then has the request that was just executed [act] again, from a moment to minutes later. */
    fun repeatLaterIfDue(random: Random, act: () -> Unit) {
        if (repeats && random.nextInt(REPEATED_ONE_IN) == 0) time.later(random.nextLong(50, 60_000)) { runCatching(act) }
    }

    private companion object {
        const val REPEATED_ONE_IN = 12
        const val LATE_ONE_IN = 4
    }
}
