package mountmast.coordination.persistence

import mountmast.coordination.state.Job
import mountmast.protocol.Clock
import mountmast.protocol.ModRevision

/**
 * All writers that fill the leader's batches, in the order of priority: first the state that the next leader needs to continue, last the
 * progress of jobs for users, and the hints about failing jobs and cached images. Guarded by the lock of [PersistenceContext].
 */
internal class BatchWriters(context: PersistenceContext, clock: Clock) {
    private val journalWriter = JournalWriter(context, clock)
    private val finishedJobsWriter = FinishedJobsWriter(context, clock)
    val snapshotWriter = SnapshotWriter(context)
    val progressWriter = ProgressWriter(context.cluster, clock)
    private val stateWriters = listOf(CancellationWatermarkWriter(context, clock), MachineTypesWriter(context), snapshotWriter)
    private val lowPriorityWriters = listOf(progressWriter, FailingJobsWriter(context.cluster, clock), ImagesWriter(context.cluster, clock))
    private var isFinishedJobsTurn = false

    /** Fills the empty [batch] with whatever is due, as far as its operations go. */
    fun fill(batch: WriteBatch, options: BatchOptions) {
        // Finished jobs are listed first, since adding journal entries may release assignments that ended, or whose job was cancelled,
        // before their start was journaled. A job that has no live assignment only after that is found for the next batch.
        val finishedJobs = finishedJobsWriter.findFinishedJobs()
        isFinishedJobsTurn = !isFinishedJobsTurn
        journalWriter.contribute(batch, options, computeJournalOps(batch.remainingOps, finishedJobs))
        finishedJobsWriter.contribute(batch, finishedJobs)
        stateWriters.forEach { it.contribute(batch, options) }
        if (!options.limits.isMinimum) lowPriorityWriters.forEach { it.contribute(batch, options) }
    }

    /**
     * Returns how many of the [available] operations of a batch the journal may use. About half of them, if needed, are kept for
     * [finishedJobs], and one for the other writers.
     */
    private fun computeJournalOps(available: Int, finishedJobs: List<Job>): Int {
        val half = maxOf(FinishedJobsWriter.OPS_PER_JOB, available / 2)
        val forFinished = minOf(finishedJobs.size * FinishedJobsWriter.OPS_PER_JOB, half)
        val journalOps = when {
            available > forFinished -> available - forFinished
            // The journal and finished jobs do not fit into one batch: they take turns.
            isFinishedJobsTurn -> 0
            else -> available
        }
        return if (journalOps >= MIN_SHARED_JOURNAL_OPS) journalOps - 1 else journalOps
    }

    /** Makes later batches write the contents of [batch] again, since [batch] is not known to be committed. */
    fun requeue(batch: WriteBatch) {
        journalWriter.requeue(batch.journaledChanges)
        stateWriters.forEach { it.requeue() }
        lowPriorityWriters.forEach { it.requeue() }
    }

    /** Tells the writers that [batch] was committed at [modRevision]. */
    fun onCommitted(batch: WriteBatch, modRevision: ModRevision) {
        stateWriters.forEach { it.onCommitted(batch, modRevision) }
        lowPriorityWriters.forEach { it.onCommitted(batch, modRevision) }
    }

    private companion object {
        /** If the journal may use at least this many operations of a batch, one of them is kept for the other writers. */
        const val MIN_SHARED_JOURNAL_OPS = 3
    }
}
