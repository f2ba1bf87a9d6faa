package mountmast.coordination.persistence

import mountmast.coordination.state.Job
import mountmast.protocol.Clock
import mountmast.protocol.ModRevision

/**
 * Everything that writes into the leader's transactions, in the order of worth: first what the next leader needs, last what is for
 * display or a hint. Guarded by the lock of [PersistenceContext].
 */
internal class BatchWriters(context: PersistenceContext, clock: Clock) {
    private val journal = JournalWriter(context, clock)
    private val finished = FinishedJobsWriter(context, clock)
    val snapshots = SnapshotWriter(context)
    val progress = ProgressWriter(context.cluster, clock)
    private val state = listOf(CancellationWatermarkWriter(context, clock), TypesWriter(context), snapshots)
    private val hints = listOf(progress, FailingJobsWriter(context.cluster, clock), ImagesWriter(context.cluster, clock))
    private var isFinishedJobsTurn = false

    /** Fills [batch], which is empty. */
    fun fill(batch: WriteBatch, options: BatchOptions) {
        // Before the journal is written: that may drop void starts of further jobs, which finish with the next batch.
        val jobs = finished.finishedJobs()
        isFinishedJobsTurn = !isFinishedJobsTurn
        journal.contribute(batch, options, journalOps(batch.remainingOps, jobs))
        finished.contribute(batch, jobs)
        state.forEach { it.contribute(batch, options) }
        if (!options.limits.isMinimum) hints.forEach { it.contribute(batch, options) }
    }

    /** Of [available] operations the journal leaves up to half to [finishedJobs], and one to what else is due. */
    private fun journalOps(available: Int, finishedJobs: List<Job>): Int {
        val half = maxOf(FinishedJobsWriter.OPS_PER_JOB, available / 2)
        val forFinished = minOf(finishedJobs.size * FinishedJobsWriter.OPS_PER_JOB, half)
        val left = when {
            available > forFinished -> available - forFinished
            // Where both do not fit they take turns.
            isFinishedJobsTurn -> 0
            else -> available
        }
        return if (left >= MIN_SHARED_OPS) left - 1 else left
    }

    /** Makes what [batch] holds be written again, since it is not in the store. */
    fun requeue(batch: WriteBatch) {
        journal.requeue(batch.journaledChanges)
        state.forEach { it.requeue() }
        hints.forEach { it.requeue() }
    }

    /** Tells the writers that [batch] was committed at [modRevision]. */
    fun onCommitted(batch: WriteBatch, modRevision: ModRevision) {
        state.forEach { it.onCommitted(batch, modRevision) }
        hints.forEach { it.onCommitted(batch, modRevision) }
    }

    private companion object {
        /** From so many operations on the journal leaves one to others. */
        const val MIN_SHARED_OPS = 3
    }
}
