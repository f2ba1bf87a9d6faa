package mountmast.soak

import mountmast.standin.VirtualTime
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.thread
import kotlin.concurrent.withLock

/** Lets the stand-ins' [VirtualTime] follow this machine's clock. All stand-ins of a run are guarded by one lock. */
class SoakClock : AutoCloseable {
    private val lock = ReentrantLock()
    private val beganNanos = System.nanoTime()

    /** The time of all stand-ins; used under the lock only. */
    val time = VirtualTime()

    @Volatile
    private var isOpen = true

    /** What happens at each tick, under the lock. */
    private val onTick = ArrayList<() -> Unit>()

    /** The first fault found by a tick, such as a broken rule. */
    @Volatile
    var failure: Throwable? = null
        private set

    /** Runs [act] under the lock, after time has caught up. */
    fun <T> locked(act: () -> T): T = lock.withLock {
        catchUp()
        act()
    }

    /** Has [act] run at each tick; a failure of it ends the run. */
    fun eachTick(act: () -> Unit) {
        onTick += act
    }

    /** Notes what a stand-in saw go wrong. */
    fun failed(error: Throwable) {
        if (failure == null) failure = error
    }

    /** Starts the ticks. */
    fun start() {
        thread(name = "soak-clock", isDaemon = true) {
            while (isOpen) {
                noting { locked { onTick.forEach { it() } } }
                Thread.sleep(TICK_MS)
            }
        }
    }

    /** Runs [act]; whatever it throws is noted as this run's failure. */
    @Suppress("TooGenericExceptionCaught") // A run reports whatever goes wrong in any of its threads.
    fun noting(act: () -> Unit) {
        try {
            act()
        } catch (e: Throwable) {
            failed(e)
        }
    }

    private fun catchUp() {
        val passedMs = (System.nanoTime() - beganNanos) / NANOS_PER_MS
        if (passedMs > time.now) time.advance(passedMs - time.now)
    }

    override fun close() {
        isOpen = false
    }

    private companion object {
        const val TICK_MS = 20L
        const val NANOS_PER_MS = 1_000_000L
    }
}
