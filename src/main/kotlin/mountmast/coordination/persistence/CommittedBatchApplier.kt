package mountmast.coordination.persistence

import mountmast.coordination.state.Assignment
import mountmast.coordination.state.PendingChange
import mountmast.coordination.state.Phase
import mountmast.protocol.Clock
import mountmast.protocol.ModRevision
import org.slf4j.LoggerFactory
import kotlin.concurrent.withLock

private val log = LoggerFactory.getLogger("mountmast.writer")

/**
 * Applies a committed batch to the cluster state: journaled starts may be sent to workers, assignments whose end is journaled are
 * released, finished jobs are removed. Takes the lock of [PersistenceContext].
 */
internal class CommittedBatchApplier(
    private val context: PersistenceContext,
    private val writers: BatchWriters,
    private val clock: Clock,
) {
    /** Applies [batch], whose transaction was committed at [modRevision]. */
    fun apply(batch: WriteBatch, modRevision: ModRevision) = context.lock.withLock {
        context.journal.recordCommit(clock.now())
        context.journal.append(batch.journalRecords, modRevision)
        batch.journaledChanges.forEach(::applyChange)
        if (batch.journaledChanges.any { it is PendingChange.Ended }) context.signals.requestSchedulingCycle()
        writers.onCommitted(batch, modRevision)
        for (finished in batch.finishedJobs) {
            log.debug("job={} finished", finished.job.id)
            context.jobs.removeFinished(finished.job, finished.record)
        }
    }

    /**
     * Applies the tombstone that was committed at [modRevision] in the slot of the first record of [batch]. No attempt at [batch] was
     * or can be committed, so its contents are queued again.
     */
    fun applyTombstone(batch: WriteBatch, modRevision: ModRevision) = context.lock.withLock {
        context.journal.recordCommit(clock.now())
        context.journal.append(listOf(batch.journalRecords.first()), modRevision)
        writers.requeue(batch)
    }

    private fun applyChange(change: PendingChange) {
        when (change) {
            is PendingChange.Started -> applyStart(change.assignment)
            is PendingChange.Ended -> context.cluster.assignments.release(change.assignment, clock.now())
            is PendingChange.Reserved -> Unit
        }
    }

    private fun applyStart(assignment: Assignment) {
        val wasIntended = assignment.phase == Phase.INTENDED
        assignment.markJournaled()
        // An assignment that ended before the commit is not sent to its worker: its end is among the pending changes.
        if (wasIntended) context.onStartCommitted(assignment.machine)
    }
}
