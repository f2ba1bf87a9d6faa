package mountmast.coordination.jobs

import com.google.common.cache.Cache
import com.google.common.cache.CacheBuilder
import mountmast.protocol.JobId
import mountmast.protocol.JobStatus
import mountmast.storage.FinishedJobRecord

/**
 * Caches the final states of jobs that are done or cancelled. A final state never changes, so requests for a job whose final state is
 * cached are answered without a read of the state service. A job may be cached as cancelled once its cancellation, or that of one of its
 * direct or indirect prerequisites, is committed. Thread-safe.
 */
internal class FinalStateCache {
    private val records: Cache<JobId, FinishedJobRecord> = CacheBuilder.newBuilder().maximumSize(MAX_RECORDS).build()

    /** The final state of [id], or null if none is cached; the job may be finished even so. */
    operator fun get(id: JobId): FinishedJobRecord? = records.getIfPresent(id)

    /** Caches the final state of [id]. */
    operator fun set(id: JobId, record: FinishedJobRecord) = records.put(id, record)

    /** Whether a final state of [id] is cached, which implies that the job was accepted. */
    operator fun contains(id: JobId): Boolean = get(id) != null

    /** Whether [id] is cached as done. */
    fun isDone(id: JobId): Boolean = get(id)?.status == JobStatus.DONE

    /** Whether [id] is cached as cancelled. */
    fun isCancelled(id: JobId): Boolean = get(id)?.status == JobStatus.CANCELLED

    private companion object {
        const val MAX_RECORDS = 20_000L
    }
}
