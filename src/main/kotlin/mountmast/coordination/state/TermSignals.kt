package mountmast.coordination.state

import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.Condition
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/** Wakes the threads that write and that place tasks, when there is something for them. Uses the leader's [lock]. */
class TermSignals(private val lock: ReentrantLock) {
    private val writable: Condition = lock.newCondition()
    private val placeable: Condition = lock.newCondition()
    private var isPlacementAsked = false

    /** Has the next pass come soon; the caller holds the lock. */
    fun wakePlacement() {
        isPlacementAsked = true
        placeable.signalAll()
    }

    /** Wakes whoever writes; the caller holds the lock. */
    fun wakeWriter() = writable.signalAll()

    /** A pass begins, which sees all that was asked for so far; the caller holds the lock. */
    fun placementBegins() {
        isPlacementAsked = false
    }

    /** Waits until a pass is asked for, up to [ms]. */
    fun awaitPlacement(ms: Long) {
        lock.withLock { if (!isPlacementAsked) placeable.await(ms, TimeUnit.MILLISECONDS) }
    }

    /** Waits until there is something to write, up to [ms]. */
    fun awaitWritable(ms: Long) {
        lock.withLock { writable.await(ms, TimeUnit.MILLISECONDS) }
    }
}
