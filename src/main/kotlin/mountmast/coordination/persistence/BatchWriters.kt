package mountmast.coordination.persistence

import mountmast.coordination.state.Job
import mountmast.protocol.Clock
import mountmast.protocol.ModRevision

/**
 * All writers that fill the leader's batches, in the order of priority: first the state that the next leader needs, last progress for
 * users and hints. Guarded by the lock of [PersistenceContext].
 */
internal class BatchWriters(context: PersistenceContext, clock: Clock) {
    private val journalWriter = JournalWriter(context, clock)
    private val finishedJobsWriter = FinishedJobsWriter(context, clock)
    val snapshots = SnapshotWriter(context)
    val progress = ProgressWriter(context.cluster, clock)
    private val stateWriters = listOf(CancellationWatermarkWriter(context, clock), MachineTypesWriter(context), snapshots)
    private val hintWriters = listOf(progress, FailingJobsWriter(context.cluster, clock), ImagesWriter(context.cluster, clock))
    private var isFinishedJobsTurn = false

    /** Fills the empty [batch] with whatever is due, as far as its operations go. */
    fun fill(batch: WriteBatch, options: BatchOptions) {
        // Listed before the journal entries are added: adding them may release obsolete starts, whose jobs then finish with the next batch.
        val finishedJobs = finishedJobsWriter.findFinishedJobs()
        isFinishedJobsTurn = !isFinishedJobsTurn
        journalWriter.contribute(batch, options, computeJournalOps(batch.remainingOps, finishedJobs))
        finishedJobsWriter.contribute(batch, finishedJobs)
        stateWriters.forEach { it.contribute(batch, options) }
        if (!options.limits.isMinimum) hintWriters.forEach { it.contribute(batch, options) }
    }

    /** Returns how many of [available] operations the journal may use: it leaves up to half to [finishedJobs], and one to other writers. */
    private fun computeJournalOps(available: Int, finishedJobs: List<Job>): Int {
        val half = maxOf(FinishedJobsWriter.OPS_PER_JOB, available / 2)
        val forFinished = minOf(finishedJobs.size * FinishedJobsWriter.OPS_PER_JOB, half)
        val journalOps = when {
            available > forFinished -> available - forFinished
            // The journal and finished jobs do not fit into one batch: they take turns.
            isFinishedJobsTurn -> 0
            else -> available
        }
        return if (journalOps >= MIN_SHARED_OPS) journalOps - 1 else journalOps
    }

    /** Makes later batches write the contents of [batch] again, since [batch] is not known to be committed. */
    fun requeue(batch: WriteBatch) {
        journalWriter.requeue(batch.journaledChanges)
        stateWriters.forEach { it.requeue() }
        hintWriters.forEach { it.requeue() }
    }

    /** Tells the writers that [batch] was committed at [modRevision]. */
    fun onCommitted(batch: WriteBatch, modRevision: ModRevision) {
        stateWriters.forEach { it.onCommitted(batch, modRevision) }
        hintWriters.forEach { it.onCommitted(batch, modRevision) }
    }

    private companion object {
        /** With this many operations or more, the journal leaves one to other writers. */
        const val MIN_SHARED_OPS = 3
    }
}
