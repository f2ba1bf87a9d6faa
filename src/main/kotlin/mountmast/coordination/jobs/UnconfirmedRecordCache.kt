package mountmast.coordination.jobs

import com.google.common.cache.Cache
import com.google.common.cache.CacheBuilder
import mountmast.protocol.JobId
import mountmast.protocol.ModRevision
import mountmast.storage.JobRecord

/** A record as it was at [modRevision] of its key. */
internal class CachedRecord(val record: JobRecord, val modRevision: ModRevision)

/**
 * Records of jobs that were not finished when they were last read or watched. They may be out of date: an entry answers only
 * what never changes in a record, such as its spec, until a comparison of its revision confirms the rest. Thread-safe.
 */
internal class UnconfirmedRecordCache {
    private val records: Cache<JobId, CachedRecord> = CacheBuilder.newBuilder().maximumSize(MAX_RECORDS).build()

    /** The entry of [id], or null if none is cached. */
    operator fun get(id: JobId): CachedRecord? = records.getIfPresent(id)

    /** Whether [id] is in the cache, and so was accepted. */
    operator fun contains(id: JobId): Boolean = get(id) != null

    /** Caches a record just read from its key, whatever was cached before. */
    fun put(record: JobRecord, modRevision: ModRevision) = records.put(record.spec.id, CachedRecord(record, modRevision))

    /** Caches a record that was watched, listed or written, unless a newer one is cached. */
    fun putIfNewer(record: JobRecord, modRevision: ModRevision) {
        val candidate = CachedRecord(record, modRevision)
        records.asMap().merge(record.spec.id, candidate) { old, new -> if (new.modRevision.number > old.modRevision.number) new else old }
    }

    /** Drops the entry of [id], whose key no longer exists. */
    fun remove(id: JobId) = records.invalidate(id)

    private companion object {
        /** Records of some 400 bytes. */
        const val MAX_RECORDS = 4000L
    }
}
