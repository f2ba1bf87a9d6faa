package mountmast.coordination.jobs

import mountmast.protocol.JobAnswer
import mountmast.protocol.JobId
import mountmast.protocol.JobStatus
import mountmast.storage.FinishedJobRecord
import mountmast.storage.JobRecord

/** Reads the status of jobs for users: cached final states from memory, all others from the state service each time. Thread-safe. */
internal class JobStatusReader(
    private val jobReader: JobReader,
    private val finalStateCache: FinalStateCache,
    private val prerequisiteEvaluator: PrerequisiteEvaluator,
    private val progressCache: ProgressCache,
) {
    /** Returns the final status of [id] without a read of the state service, or null if no final state is cached. */
    fun cachedFinalStatus(id: JobId): JobAnswer? = finalStateCache[id]?.let { buildAnswer(id, it) }

    /**
     * Reads the status of [id] from the state service, and caches it if it is final. Throws `StoreException` if a request to the state
     * service fails, and [IllegalArgumentException] if a record cannot be decoded.
     */
    fun find(id: JobId): JobLookup = when (val state = jobReader.read(id)) {
        is JobState.Live -> JobLookup.Found(buildAnswer(state.record))
        is JobState.Finished -> {
            finalStateCache[id] = state.record
            JobLookup.Found(buildAnswer(id, state.record))
        }
        JobState.Unknown -> JobLookup.NotFound
    }

    /** Caches that the job in [record] is cancelled, which is final, and returns its status. */
    fun cacheCancelled(record: JobRecord): JobAnswer {
        val id = record.spec.id
        val cancelled = FinishedJobRecord(JobStatus.CANCELLED, record.spec.tasks)
        finalStateCache[id] = cancelled
        return buildAnswer(id, cancelled)
    }

    private fun buildAnswer(record: JobRecord): JobAnswer {
        if (record.cancelled) return cacheCancelled(record)
        val id = record.spec.id
        return when (val state = prerequisiteEvaluator.evaluate(record)) {
            PrerequisiteState.Satisfied -> buildRunnableAnswer(id)
            PrerequisiteState.Cancelled -> cacheCancelled(record)
            is PrerequisiteState.Waiting ->
                JobAnswer(id, JobStatus.PENDING, done = 0, running = 0, waitsOn = state.jobs.take(MAX_NAMED_PREREQUISITES))
        }
    }

    private fun buildRunnableAnswer(id: JobId): JobAnswer {
        val progress = progressCache.getProgress(id)
        val status = if (progress.running > 0) JobStatus.RUNNING else JobStatus.PENDING
        return JobAnswer(id, status, progress.done, progress.running)
    }

    private fun buildAnswer(id: JobId, record: FinishedJobRecord): JobAnswer {
        val done = if (record.status == JobStatus.DONE) record.tasks else null
        return JobAnswer(id, record.status, done, running = done?.let { 0 })
    }

    private companion object {
        /** A pending job's status names at most this many of the prerequisites that are not done. */
        const val MAX_NAMED_PREREQUISITES = 20
    }
}
