package mountmast.coordination.state

import mountmast.protocol.JobId
import mountmast.protocol.MonotonicTime

/** The task failures and the stragglers on one machine, and its quarantine. Guarded by the lock of the leader's term. */
class MachineHealth {
    /** The jobs of the tasks that failed on this machine since a task last completed on it, one entry for each counted failure. */
    val consecutiveFailures = ArrayList<JobId>()

    /** How many tasks in a row took far longer on this machine than other tasks of their jobs on other machines. */
    var consecutiveStragglers = 0
        private set

    /** Whether the machine is quarantined: it gets no more tasks and is returned to the cloud once it is empty. */
    var isQuarantined = false
        private set

    /** The time before which no task is placed on the machine. */
    var notBefore = MonotonicTime(Long.MIN_VALUE)
        private set

    /** Allows no task to be placed on the machine before [until]. */
    fun pausePlacementUntil(until: MonotonicTime) {
        notBefore = until
    }

    /** Counts a failure of a task of [job] on this machine. */
    internal fun addFailure(job: JobId) {
        consecutiveFailures += job
    }

    /** Forgets the failures, since a task completed on this machine and only consecutive failures count. */
    fun clearFailures() = consecutiveFailures.clear()

    /** Counts a task that took far longer on this machine than on others. */
    internal fun addStraggler() {
        consecutiveStragglers++
    }

    /** Forgets the stragglers, since a task took no longer on this machine than on others. */
    internal fun clearStragglers() {
        consecutiveStragglers = 0
    }

    /** Quarantines the machine; this is never undone. */
    internal fun quarantine() {
        isQuarantined = true
    }
}
