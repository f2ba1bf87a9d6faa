package mountmast.coordination.state

import mountmast.protocol.JobId
import mountmast.protocol.MonotonicTime

/** Failures and slow tasks on one machine, and what follows from them. Guarded as its [ClusterState] is. */
class MachineHealth {
    /** The jobs whose tasks failed here, without a completion in between. */
    val strikes = ArrayList<JobId>()

    /** Tasks in a row that took far longer here than others of their job elsewhere. */
    var slowStrikes = 0
        private set

    /** Whether it gets no more work, and is returned once it is empty. */
    var isQuarantined = false
        private set

    /** No task is placed here before this. */
    var notBefore = MonotonicTime(Long.MIN_VALUE)
        private set

    /** Places no task here before [until]. */
    fun pausePlacementUntil(until: MonotonicTime) {
        notBefore = until
    }

    /** Records that a task of [job] failed here. */
    internal fun addStrike(job: JobId) {
        strikes += job
    }

    /** Records that a task completed here: failures count only in a row. */
    fun clearStrikes() = strikes.clear()

    /** Records that a task took far longer here than elsewhere. */
    internal fun addSlowStrike() {
        slowStrikes++
    }

    /** Records that a task took no longer here than elsewhere. */
    internal fun clearSlowStrikes() {
        slowStrikes = 0
    }

    /** Gives the machine no more work. */
    internal fun quarantine() {
        isQuarantined = true
    }
}
