package mountmast.coordination.state

import java.util.BitSet

/** Which of a job's tasks are done and which may be placed. Guarded by the lock of the leader's term. */
internal class TaskProgress(private val taskCount: Int) {
    /** Tasks whose completion is known. */
    val done = BitSet()

    /** Tasks that may be placed: neither done nor assigned. */
    val open = BitSet(taskCount).apply { set(0, taskCount) }
    var openCount = taskCount
        private set
    var doneCount = 0
        private set

    /** The indices of the first [count] open tasks; there must be as many. */
    fun firstOpen(count: Int): IntArray {
        var index = -1
        return IntArray(count) {
            index = open.nextSetBit(index + 1)
            index
        }
    }

    fun setDone(index: Int) {
        if (done.get(index)) return
        done.set(index)
        doneCount++
        setOpen(index, false)
    }

    fun setOpen(index: Int, isOpen: Boolean) {
        if (open.get(index) == isOpen) return
        open.set(index, isOpen)
        openCount += if (isOpen) 1 else -1
    }
}
