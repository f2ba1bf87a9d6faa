package mountmast.coordination.jobs

import kotlinx.serialization.json.decodeFromJsonElement
import mountmast.protocol.JobId
import mountmast.protocol.WireJson
import mountmast.storage.Compare
import mountmast.storage.FinishedJobRecord
import mountmast.storage.JobRecord
import mountmast.storage.Keys
import mountmast.storage.StateStore
import mountmast.storage.StoreException
import mountmast.storage.Transaction
import mountmast.storage.TransactionResult

/**
 * Gets states of jobs from the state service: those of cached records by comparisons of [maxCompares] jobs each, all others by a
 * read of each job. Thread-safe; blocks for the state service.
 */
internal class JobStateLoader(private val store: StateStore, private val records: UnconfirmedRecordCache, private val maxCompares: Int) {
    /** The states of those of [ids] whose cached records are still current; without the others, also if a comparison fails. */
    fun confirmCached(ids: Set<JobId>): Map<JobId, JobState> {
        val cached = ids.mapNotNull { id -> records[id]?.let { id to it } }
        val confirmed = HashMap<JobId, JobState>()
        for (part in cached.chunked(maxCompares)) {
            // A single job is read as cheaply as compared.
            if (part.size == 1) continue
            val candidates = part.toMap()
            for (id in unchanged(candidates)) confirmed[id] = JobState.Live(candidates.getValue(id).record)
        }
        return confirmed
    }

    private fun unchanged(candidates: Map<JobId, CachedRecord>): Set<JobId> = try {
        val compares = candidates.map { (id, cached) -> Compare(Keys.job(id), cached.modRevision) }
        when (val result = store.commit(Transaction(compares, emptyList()))) {
            is TransactionResult.Committed -> candidates.keys
            is TransactionResult.CompareFailed -> candidates.keys - result.failed.mapNotNull(Keys::jobOfKey).toSet()
        }
    } catch (e: StoreException) {
        emptySet()
    }

    /**
     * Reads the state of [id], and caches its record if it is live. Throws [StoreException] if the state service fails, and
     * [IllegalArgumentException] if the record cannot be decoded.
     */
    fun load(id: JobId): JobState {
        store.get(Keys.job(id))?.let { entry ->
            val record = WireJson.decodeFromJsonElement<JobRecord>(entry.value)
            records.put(record, entry.modRevision)
            return JobState.Live(record)
        }
        records.remove(id)
        // A job moves from one key to the other but never back, so this order cannot miss it.
        val entry = store.get(Keys.finished(id)) ?: return JobState.Unknown
        return JobState.Finished(WireJson.decodeFromJsonElement<FinishedJobRecord>(entry.value))
    }
}
