package mountmast.coordination.jobs

import com.google.common.cache.Cache
import com.google.common.cache.CacheBuilder
import mountmast.protocol.JobId
import mountmast.protocol.JobStatus
import mountmast.storage.FinishedJobRecord

/** Jobs that are done or cancelled. Final states never change, so that an entry may be answered without a read. Thread-safe. */
internal class FinalStateCache {
    private val records: Cache<JobId, FinishedJobRecord> = CacheBuilder.newBuilder().maximumSize(MAX_RECORDS).build()

    /** The final state of [id], or null if it is not cached: the job may be finished all the same. */
    operator fun get(id: JobId): FinishedJobRecord? = records.getIfPresent(id)

    /** Caches the final state of [id]. */
    operator fun set(id: JobId, record: FinishedJobRecord) = records.put(id, record)

    /** Whether [id] is in the cache, and so was accepted. */
    operator fun contains(id: JobId): Boolean = get(id) != null

    /** Whether [id] is known to be done. */
    fun isDone(id: JobId): Boolean = get(id)?.status == JobStatus.DONE

    /** Whether [id] is known to be cancelled. */
    fun isCancelled(id: JobId): Boolean = get(id)?.status == JobStatus.CANCELLED

    private companion object {
        const val MAX_RECORDS = 20_000L
    }
}
