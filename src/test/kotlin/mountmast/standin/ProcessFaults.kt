package mountmast.standin

import kotlin.random.Random

/** The faults injected at present into the controller process of node [number]. All times are virtual times in milliseconds. */
class ProcessFaults(private val time: VirtualTime, val number: Int = -1) {
    /** Probability with which a message of the process is lost. */
    var lossRate = 0.0

    /** Virtual time until which requests to the state service get no answer. */
    var storeCutUntil = 0L

    /** Virtual time until which the state service refuses the requests of this process. */
    var storeRefusedUntil = 0L
    var workersCutUntil = 0L

    /** Virtual time until which the process runs no steps and answers no requests. */
    var stalledUntil = 0L
    var peersCutUntil = 0L

    /** Virtual time until which watches of the state service time out, while all other requests of the process work. */
    var watchesBlockedUntil = 0L

    /** Virtual time until which the process receives heartbeats, but none of its answers and commands reaches a worker. */
    var sendsBlockedUntil = 0L

    /** Kills the process in one of its next requests. */
    var killAtNextRequest = false

    /** How long, in milliseconds, the process will pause in one of its next requests; 0 for no pause. */
    var pauseAtNextRequestMs = 0L

    /** Pauses this process for the given milliseconds, while virtual time passes for everything else. */
    var pauseProcess: (Long) -> Unit = {}

    /** Virtual time until which one in [LATE_ONE_IN] transactions times out and is executed seconds later, after newer ones. */
    var lateWritesUntil = 0L

    fun drawsLateWrite(random: Random) = time.now < lateWritesUntil && random.nextInt(LATE_ONE_IN) == 0

    /** Whether executed requests may be executed a second time, up to a minute later. */
    var repeatsRequests = false

    fun isCutFromPeers() = time.now < peersCutUntil
    fun isCutFromStore() = time.now < storeCutUntil
    fun isRefusedByStore() = time.now < storeRefusedUntil
    fun areWatchesBlocked() = time.now < watchesBlockedUntil
    fun areSendsBlocked() = time.now < sendsBlockedUntil
    fun isCutFromWorkers() = time.now < workersCutUntil
    fun isStalled() = time.now < stalledUntil

    /**
     * Injects a pending pause or kill, each with a probability of one third. Called before a request of the process is executed,
     * and before the process gets the answer. Throws [NodeDied] if it kills the process.
     */
    fun interruptIfDue(random: Random) {
        if (pauseAtNextRequestMs > 0 && random.nextInt(3) == 0) {
            val ms = pauseAtNextRequestMs
            pauseAtNextRequestMs = 0
            pauseProcess(ms)
        }
        if (killAtNextRequest && random.nextInt(3) == 0) {
            killAtNextRequest = false
            throw NodeDied()
        }
    }

    /** If [repeatsRequests], executes one in [REPEAT_ONE_IN] requests, [act], a second time, up to a minute later. */
    fun repeatLaterIfDue(random: Random, act: () -> Unit) {
        if (repeatsRequests && random.nextInt(REPEAT_ONE_IN) == 0) time.schedule(random.nextLong(50, 60_000)) { runCatching(act) }
    }

    private companion object {
        const val REPEAT_ONE_IN = 12
        const val LATE_ONE_IN = 4
    }
}
