package mountmast.soak

import mountmast.standin.VirtualTime
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.thread
import kotlin.concurrent.withLock

/** Advances the stand-ins' [VirtualTime] with this machine's clock. One lock guards all stand-ins of a run. */
class SoakClock : AutoCloseable {
    private val lock = ReentrantLock()
    private val startedAtNanos = System.nanoTime()

    /** The time of all stand-ins; accessed under the lock only. */
    val time = VirtualTime()

    @Volatile
    private var isOpen = true

    /** The actions that each tick runs under the lock. */
    private val tickActions = ArrayList<() -> Unit>()

    /** The first failure in any thread of the run, such as a violated invariant. */
    @Volatile
    var failure: Throwable? = null
        private set

    /** Advances the stand-ins' time to the present and runs [action], both under the lock. */
    fun <T> runLocked(action: () -> T): T = lock.withLock {
        advanceToPresent()
        action()
    }

    /** Adds [action] to the actions of each tick; an exception that it throws fails the run. */
    fun addTickAction(action: () -> Unit) {
        tickActions += action
    }

    /** Records [error] as the run's failure, unless one is recorded already. */
    fun recordFailure(error: Throwable) {
        if (failure == null) failure = error
    }

    /** Starts the thread that runs the ticks. */
    fun start() {
        thread(name = "soak-clock", isDaemon = true) {
            while (isOpen) {
                runRecordingFailure { runLocked { tickActions.forEach { it() } } }
                Thread.sleep(TICK_MS)
            }
        }
    }

    /** Runs [action] and records whatever it throws as the run's failure. */
    @Suppress("TooGenericExceptionCaught") // A run reports whatever goes wrong in any of its threads.
    fun runRecordingFailure(action: () -> Unit) {
        try {
            action()
        } catch (e: Throwable) {
            recordFailure(e)
        }
    }

    private fun advanceToPresent() {
        val elapsedMs = (System.nanoTime() - startedAtNanos) / NANOS_PER_MS
        if (elapsedMs > time.now) time.advance(elapsedMs - time.now)
    }

    override fun close() {
        isOpen = false
    }

    private companion object {
        const val TICK_MS = 20L
        const val NANOS_PER_MS = 1_000_000L
    }
}
