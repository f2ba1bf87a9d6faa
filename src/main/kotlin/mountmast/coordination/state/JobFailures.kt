package mountmast.coordination.state

import mountmast.protocol.MachineId
import mountmast.protocol.MonotonicTime
import mountmast.storage.FailingJob

/**
 * The failures of one job's tasks since one of its tasks last completed, and the backoff that follows from them. Guarded by the lock of
 * the leader's term.
 */
class JobFailures {
    private val evidence = LinkedHashSet<MachineId>()

    /** The machines on which tasks failed, except those that have been removed since. */
    val machines: Set<MachineId> get() = evidence

    /** On how many machines tasks failed, including those that have been removed since. */
    var machineCount = 0
        private set

    /** The longest time that one of the failed attempts ran, in seconds. */
    var longestRunS = 0.0
        private set

    /** The time before which no task of the job is placed. */
    var notBefore = NEVER_PAUSED
        private set

    /** The time before which no machine is requested for the job. */
    var rentalNotBefore = NEVER_PAUSED
        private set

    /** Records that an attempt failed on [machine] after running for [ranS] seconds; returns whether it is the first one on [machine]. */
    internal fun record(machine: MachineId, ranS: Double): Boolean {
        longestRunS = maxOf(longestRunS, ranS)
        val isFirst = evidence.add(machine)
        if (isFirst) machineCount++
        return isFirst
    }

    /** Adds the failures that the previous leader recorded. */
    internal fun restore(recorded: FailingJob) {
        evidence += recorded.machines
        machineCount = maxOf(machineCount, recorded.failures, evidence.size)
        longestRunS = maxOf(longestRunS, recorded.longestRunS)
    }

    /** Forgets the failures on [machine], which proved to be faulty; returns whether there were any. */
    internal fun disregard(machine: MachineId): Boolean {
        val hadFailed = evidence.remove(machine)
        if (hadFailed) machineCount--
        return hadFailed
    }

    /** Removes the machines that match [isRemoved] from [machines]: whether they or the job were at fault can no longer be found out. */
    internal fun dropMachines(isRemoved: (MachineId) -> Boolean) {
        evidence.removeIf(isRemoved)
    }

    /** Forgets all failures, since one of the job's tasks completed. A backoff that has begun continues. */
    fun clear() {
        acquit()
        longestRunS = 0.0
    }

    /** Forgets the machines on which tasks failed, since an attempt ran far longer than those that failed. */
    internal fun acquit() {
        evidence.clear()
        machineCount = 0
    }

    /** Allows no task of the job to be placed before [until]. */
    fun pausePlacementUntil(until: MonotonicTime) {
        notBefore = until
    }

    /** Allows no machine to be requested for the job before [until]. */
    internal fun pauseRentalsUntil(until: MonotonicTime) {
        rentalNotBefore = until
    }

    /** Ends the pauses of placement and of requests for machines. */
    internal fun endPauses() {
        notBefore = NEVER_PAUSED
        rentalNotBefore = NEVER_PAUSED
    }

    private companion object {
        val NEVER_PAUSED = MonotonicTime(Long.MIN_VALUE)
    }
}
