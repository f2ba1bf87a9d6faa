package mountmast.coordination.controller

import mountmast.coordination.election.LeaseTiming
import mountmast.coordination.state.Invariants
import mountmast.coordination.state.TaskLosses
import mountmast.coordination.workers.ForgottenAttempts
import mountmast.protocol.Clock
import mountmast.protocol.JobId
import mountmast.protocol.ModRevision
import mountmast.storage.JobRecord
import mountmast.storage.PrerequisiteLists
import mountmast.storage.StateStore
import mountmast.transport.WorkerClient

/** Everything that all terms of one process share: external systems, the clock and timing, caches of jobs, and counters. */
class LeaderTermEnvironment(
    val store: StateStore,
    val workerClient: WorkerClient,
    val timing: LeaseTiming,
    val clock: Clock,
    val prerequisiteLists: PrerequisiteLists,
    val jobCache: NodeJobCache = NodeJobCache.Empty,
    val diagnostics: Diagnostics = Diagnostics(),
) {
    /** Counters that outlive a term: lost tasks by cause, violations of invariants, and attempts that workers were told to forget. */
    class Diagnostics(
        val taskLosses: TaskLosses = TaskLosses(),
        val invariantChecker: Invariants = Invariants(),
        val forgottenAttempts: ForgottenAttempts = ForgottenAttempts(),
    )
}

/** The jobs and cancellations that a node caches even while it does not lead. Called with the term's lock held: must not do I/O. */
interface NodeJobCache {
    /** Returns whether any node has broadcast the cancellation of job [id]. */
    fun isCancelled(id: JobId): Boolean

    /** Caches the [record] of a live job that the leader has read at [modRevision]. */
    fun onJobRecord(record: JobRecord, modRevision: ModRevision)

    /** The default cache of [LeaderTermEnvironment]: stores no job records and knows no broadcast cancellations. */
    object Empty : NodeJobCache {
        override fun isCancelled(id: JobId) = false

        override fun onJobRecord(record: JobRecord, modRevision: ModRevision) = Unit
    }
}
