package mountmast.coordination.state

import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.Condition
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/** Wakes the threads that write the journal and that run scheduling cycles. [lock] is the lock of the leader's term. */
class TermSignals(private val lock: ReentrantLock) {
    private val writerCondition: Condition = lock.newCondition()
    private val cycleCondition: Condition = lock.newCondition()
    private var isCycleRequested = false

    /** Requests a scheduling cycle and wakes the thread that runs it; the caller holds the lock. */
    fun requestSchedulingCycle() {
        isCycleRequested = true
        cycleCondition.signalAll()
    }

    /** Wakes the thread that writes the journal; the caller holds the lock. */
    fun wakeWriter() = writerCondition.signalAll()

    /** Records that a scheduling cycle begins, which meets all earlier requests; the caller holds the lock. */
    fun beginCycle() {
        isCycleRequested = false
    }

    /** Waits until a scheduling cycle is requested, for at most [timeoutMs] milliseconds; takes the lock. */
    fun awaitCycleRequest(timeoutMs: Long) {
        lock.withLock { if (!isCycleRequested) cycleCondition.await(timeoutMs, TimeUnit.MILLISECONDS) }
    }

    /** Waits until [wakeWriter] is called, for at most [timeoutMs] milliseconds; takes the lock. */
    fun awaitWriterWakeUp(timeoutMs: Long) {
        lock.withLock { writerCondition.await(timeoutMs, TimeUnit.MILLISECONDS) }
    }
}
