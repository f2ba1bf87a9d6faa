package mountmast.coordination.state

import mountmast.protocol.MachineId
import mountmast.protocol.MonotonicTime
import mountmast.storage.FailingJob

/** How one job's tasks failed lately, and until when that holds it back. Guarded as its [ClusterState] is. */
class JobFailures {
    /** Machines on which a task failed since one of the job's tasks last completed. */
    val machines = LinkedHashSet<MachineId>()

    /** Failures since one of the job's tasks last completed. */
    var count = 0
        private set

    /** None of its tasks is placed before this. */
    var notBefore = MonotonicTime(Long.MIN_VALUE)
        private set

    /** Records that a task failed on [machine]. */
    internal fun record(machine: MachineId) {
        machines += machine
        count++
    }

    /** Takes over what an earlier leader recorded. */
    internal fun recall(recorded: FailingJob) {
        machines += recorded.machines
        count = maxOf(count, recorded.failures)
    }

    /** Counts one failure for each machine that is left, and ends the pause. */
    internal fun recount() {
        count = machines.size
        notBefore = MonotonicTime(Long.MIN_VALUE)
    }

    /** Forgets all failures, as one of the job's tasks completed; a pause goes on. */
    fun clear() {
        machines.clear()
        count = 0
    }

    /** Places none of its tasks before [until]. */
    fun pausePlacementUntil(until: MonotonicTime) {
        notBefore = until
    }
}
