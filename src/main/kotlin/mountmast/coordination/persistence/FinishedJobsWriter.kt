package mountmast.coordination.persistence

import mountmast.coordination.state.Job
import mountmast.protocol.Clock
import mountmast.protocol.JobStatus
import mountmast.protocol.Shape
import mountmast.storage.FinishedJobRecord

/** Replaces the live record of each finished job by its final record. Guarded by the lock of [PersistenceContext]. */
internal class FinishedJobsWriter(private val context: PersistenceContext, private val clock: Clock) {
    /** Returns the completed and cancelled jobs of which no task runs any more. */
    fun findFinishedJobs(): List<Job> = context.cluster.finishingJobs.filter { it.hasNoLiveAssignments() }

    /** Adds as many of [jobs] to [batch] as it has operations left for. */
    fun contribute(batch: WriteBatch, jobs: List<Job>) {
        for (job in jobs) if (batch.remainingOps >= OPS_PER_JOB) batch.addFinishedJob(FinishedJob(job, createFinalRecord(job)))
    }

    private fun createFinalRecord(job: Job): FinishedJobRecord {
        val status = if (job.isCancellationRecorded) JobStatus.CANCELLED else JobStatus.DONE
        return FinishedJobRecord(status, job.spec.tasks, clock.wall(), job.spec.shape == Shape.SERVICE)
    }

    companion object {
        /** A finished job takes one put of its final record and one delete of its live record. */
        const val OPS_PER_JOB = 2
    }
}
