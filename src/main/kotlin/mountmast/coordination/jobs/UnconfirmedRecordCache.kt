package mountmast.coordination.jobs

import com.google.common.cache.Cache
import com.google.common.cache.CacheBuilder
import mountmast.protocol.JobId
import mountmast.protocol.ModRevision
import mountmast.storage.JobRecord

/** A job record as it was when its key was last modified at [modRevision]. */
internal class CachedRecord(val record: JobRecord, val modRevision: ModRevision)

/**
 * Caches records of jobs that were live when the records were read, listed, watched or written. A record may be out of date.
 * Without a request to the state service, it may be used only for what never changes, such as the job's spec and the fact that the
 * job was accepted. A transaction that compares its modification revision confirms the rest. Thread-safe.
 */
internal class UnconfirmedRecordCache {
    private val records: Cache<JobId, CachedRecord> = CacheBuilder.newBuilder().maximumSize(MAX_RECORDS).build()

    /** Returns the cached record of [id], or null if none is cached. */
    operator fun get(id: JobId): CachedRecord? = records.getIfPresent(id)

    /** Whether a record of [id] is cached, which implies that the job was accepted. */
    operator fun contains(id: JobId): Boolean = get(id) != null

    /** Caches a record just read from its key, in place of any that is cached. */
    fun put(record: JobRecord, modRevision: ModRevision) = records.put(record.spec.id, CachedRecord(record, modRevision))

    /** Caches a record that was watched, listed or written, unless one of the same or a later revision is cached. */
    fun putIfNewer(record: JobRecord, modRevision: ModRevision) {
        val candidate = CachedRecord(record, modRevision)
        records.asMap().merge(record.spec.id, candidate) { old, new -> if (new.modRevision.number > old.modRevision.number) new else old }
    }

    /** Removes the cached record of [id], whose key no longer exists in the state service. */
    fun remove(id: JobId) = records.invalidate(id)

    private companion object {
        /** Each cached record takes about 400 bytes. */
        const val MAX_RECORDS = 4000L
    }
}
