package mountmast.coordination.state

import mountmast.protocol.MachineId
import mountmast.protocol.MonotonicTime
import mountmast.storage.FailingJob

/** The recent failures of one job's tasks, and the backoff that follows from them. Guarded by the lock of the leader's term. */
class JobFailures {
    /** Machines on which a task failed since one of the job's tasks last completed. */
    val machines = LinkedHashSet<MachineId>()

    /** How many tasks failed since one of the job's tasks last completed. */
    var count = 0
        private set

    /** The time before which no task of the job is placed. */
    var notBefore = MonotonicTime(Long.MIN_VALUE)
        private set

    /** Records that a task failed on [machine]. */
    internal fun record(machine: MachineId) {
        machines += machine
        count++
    }

    /** Adds the failures that the previous leader recorded. */
    internal fun restore(recorded: FailingJob) {
        machines += recorded.machines
        count = maxOf(count, recorded.failures)
    }

    /** Sets the count to one failure for each machine in [machines], and ends the backoff. */
    internal fun recount() {
        count = machines.size
        notBefore = MonotonicTime(Long.MIN_VALUE)
    }

    /** Forgets all failures, since one of the job's tasks completed. A backoff that has begun continues. */
    fun clear() {
        machines.clear()
        count = 0
    }

    /** Allows no task of the job to be placed before [until]. */
    fun pausePlacementUntil(until: MonotonicTime) {
        notBefore = until
    }
}
