package mountmast.coordination.jobs

import mountmast.protocol.JobAnswer
import mountmast.protocol.JobId
import mountmast.protocol.JobStatus
import mountmast.storage.FinishedJobRecord
import mountmast.storage.JobRecord

/** Tells users how jobs stand: final states from memory, all others from the state service each time. Thread-safe. */
internal class JobStatusReader(
    private val reader: JobReader,
    private val finalStates: FinalStateCache,
    private val prerequisites: PrerequisiteEvaluator,
    private val progress: ProgressCache,
) {
    /** The final state of [id] without a read, or null if it is not cached. */
    fun cachedFinalStatus(id: JobId): JobAnswer? = finalStates[id]?.let { answerOf(id, it) }

    /**
     * Reads how [id] stands. Throws `StoreException` if the state service fails, and [IllegalArgumentException] if a record
     * cannot be decoded.
     */
    fun find(id: JobId): JobLookup = when (val state = reader.read(id)) {
        is JobState.Live -> JobLookup.Found(answerOf(state.record))
        is JobState.Finished -> {
            finalStates[id] = state.record
            JobLookup.Found(answerOf(id, state.record))
        }
        JobState.Unknown -> JobLookup.NotFound
    }

    /** Caches that the job in [record] is cancelled for ever, and returns its status. */
    fun cacheCancelled(record: JobRecord): JobAnswer {
        val id = record.spec.id
        val cancelled = FinishedJobRecord(JobStatus.CANCELLED, record.spec.tasks)
        finalStates[id] = cancelled
        return answerOf(id, cancelled)
    }

    private fun answerOf(record: JobRecord): JobAnswer {
        if (record.cancelled) return cacheCancelled(record)
        val id = record.spec.id
        return when (val state = prerequisites.evaluate(record)) {
            PrerequisiteState.Satisfied -> runnableAnswer(id)
            PrerequisiteState.Cancelled -> cacheCancelled(record)
            is PrerequisiteState.Waiting ->
                JobAnswer(id, JobStatus.PENDING, done = 0, running = 0, waitsOn = state.jobs.take(MAX_NAMED_PREREQUISITES))
        }
    }

    private fun runnableAnswer(id: JobId): JobAnswer {
        val progress = progress.progressOf(id)
        val status = if (progress.running > 0) JobStatus.RUNNING else JobStatus.PENDING
        return JobAnswer(id, status, progress.done, progress.running)
    }

    private fun answerOf(id: JobId, record: FinishedJobRecord): JobAnswer {
        val done = if (record.status == JobStatus.DONE) record.tasks else null
        return JobAnswer(id, record.status, done, running = done?.let { 0 })
    }

    private companion object {
        /** Of the jobs that a job waits for at most so many are named to its user. */
        const val MAX_NAMED_PREREQUISITES = 20
    }
}
