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
 * Loads states of jobs from the state service. Cached records are confirmed by transactions without writes, each of which compares
 * the revisions of up to [maxCompares] records; all other jobs are read one by one. Thread-safe; blocks during its requests to
 * the state service.
 */
internal class JobStateLoader(
    private val store: StateStore,
    private val recordCache: UnconfirmedRecordCache,
    private val maxCompares: Int,
) {
    /**
     * Returns the states of those of [ids] whose cached records are current, as a comparison of their revisions shows. Leaves out all
     * other jobs: those without a cached record, those whose record has changed, and those whose comparison the state service did not
     * answer.
     */
    fun confirmCached(ids: Set<JobId>): Map<JobId, JobState> {
        val cached = ids.mapNotNull { id -> recordCache[id]?.let { id to it } }
        val confirmed = HashMap<JobId, JobState>()
        for (chunk in cached.chunked(maxCompares)) {
            // Reading a single job costs no more than comparing its revision, so it is left to a read.
            if (chunk.size == 1) continue
            val candidates = chunk.toMap()
            for (id in findUnchanged(candidates)) confirmed[id] = JobState.Live(candidates.getValue(id).record)
        }
        return confirmed
    }

    private fun findUnchanged(candidates: Map<JobId, CachedRecord>): Set<JobId> = try {
        val compares = candidates.map { (id, cached) -> Compare(Keys.job(id), cached.modRevision) }
        when (val result = store.commit(Transaction(compares, emptyList()))) {
            is TransactionResult.Committed -> candidates.keys
            is TransactionResult.CompareFailed -> candidates.keys - result.failed.mapNotNull(Keys::jobOfKey).toSet()
        }
    } catch (e: StoreException) {
        emptySet()
    }

    /**
     * Reads the state of [id]. Caches the record of a live job, and removes that of any other from the cache. Throws [StoreException] if
     * a request to the state service fails, and [IllegalArgumentException] if the record cannot be decoded.
     */
    fun load(id: JobId): JobState {
        store.get(Keys.job(id))?.let { entry ->
            val record = WireJson.decodeFromJsonElement<JobRecord>(entry.value)
            recordCache.put(record, entry.modRevision)
            return JobState.Live(record)
        }
        recordCache.remove(id)
        // One transaction deletes the job record and writes the final state, never the reverse, so this order cannot miss an accepted job.
        val entry = store.get(Keys.finished(id)) ?: return JobState.Unknown
        return JobState.Finished(WireJson.decodeFromJsonElement<FinishedJobRecord>(entry.value))
    }
}
