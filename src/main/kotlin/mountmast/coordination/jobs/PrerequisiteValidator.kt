package mountmast.coordination.jobs

import com.google.common.cache.Cache
import com.google.common.cache.CacheBuilder
import kotlinx.serialization.json.decodeFromJsonElement
import mountmast.protocol.JobId
import mountmast.protocol.ModRevision
import mountmast.protocol.Shape
import mountmast.protocol.WireJson
import mountmast.storage.Compare
import mountmast.storage.JobRecord
import mountmast.storage.Keys
import mountmast.storage.StateStore
import mountmast.storage.Transaction
import mountmast.storage.TransactionResult

/** Whether the jobs that a submission names may be prerequisites of its job. */
internal sealed interface PrerequisiteCheck {
    data object Valid : PrerequisiteCheck

    /** No job with [id] was ever accepted. */
    class NeverAccepted(val id: JobId) : PrerequisiteCheck

    /** [id] is a service, which is never done. */
    class IsService(val id: JobId) : PrerequisiteCheck
}

/**
 * Checks the prerequisites of a new job. That a job was accepted never changes and is cached. Jobs that no cache knows as accepted are
 * read from the state service: a few by their keys, many by listing all live jobs. Thread-safe.
 */
internal class PrerequisiteValidator(
    private val store: StateStore,
    private val jobReader: JobReader,
    private val recordCache: UnconfirmedRecordCache,
    private val finalStateCache: FinalStateCache,
    private val maxCompares: Int,
) {
    /** Jobs known to have been accepted, whether they are live or finished. */
    private val acceptedJobs: Cache<JobId, Unit> = CacheBuilder.newBuilder().maximumSize(MAX_ACCEPTED_JOBS).build()

    /**
     * Returns whether [ids] may all be prerequisites; if not, names the first that was never accepted, or else the first that is known
     * as a service. Throws `StoreException` if the jobs cannot be read, and [IllegalArgumentException] if a record cannot be decoded.
     */
    fun check(ids: List<JobId>): PrerequisiteCheck {
        val unknown = ids.filterNotTo(LinkedHashSet(), ::isKnownAccepted)
        when {
            unknown.isEmpty() -> {}
            unknown.size <= MAX_JOBS_READ_INDIVIDUALLY -> readIndividually(unknown)
            else -> readInBulk(unknown)
        }
        ids.firstOrNull { !isKnownAccepted(it) }?.let { return PrerequisiteCheck.NeverAccepted(it) }
        return ids.firstOrNull(::isKnownService)?.let { PrerequisiteCheck.IsService(it) } ?: PrerequisiteCheck.Valid
    }

    private fun isKnownAccepted(id: JobId) = id in finalStateCache || id in recordCache || acceptedJobs.getIfPresent(id) != null

    private fun isKnownService(id: JobId) = finalStateCache[id]?.isService == true || recordCache[id]?.record?.spec?.shape == Shape.SERVICE

    /** Reads [ids] by their keys. The reader caches the records of live jobs, this function the final states of the others. */
    private fun readIndividually(ids: Set<JobId>) {
        for ((id, state) in jobReader.readAll(ids)) {
            if (state is JobState.Finished) finalStateCache[id] = state.record
        }
    }

    /** Lists the live jobs once, up to the last of [ids]; those of [ids] that are not listed are finished or were never accepted. */
    private fun readInBulk(ids: Set<JobId>) {
        val lastKey = Keys.job(ids.max())
        var after: String? = null
        do {
            val page = store.list(Keys.JOBS, after)
            for (entry in page.entries) {
                val record = WireJson.decodeFromJsonElement<JobRecord>(entry.value)
                if (record.spec.id in ids) {
                    acceptedJobs.put(record.spec.id, Unit)
                    recordCache.putIfNewer(record, entry.modRevision)
                }
            }
            after = page.entries.lastOrNull()?.key
        } while (page.more && after != null && after <= lastKey)
        ids.filterNot(::isKnownAccepted).chunked(maxCompares).forEach(::findFinished)
    }

    /**
     * Caches as accepted those of [ids] that are finished, all with one request: a transaction that compares each key with "does not
     * exist" fails for exactly the keys that exist.
     */
    private fun findFinished(ids: List<JobId>) {
        val compares = ids.map { Compare(Keys.finished(it), ModRevision.ABSENT) }
        val result = store.commit(Transaction(compares, emptyList()))
        if (result !is TransactionResult.CompareFailed) return
        val existing = result.failed.toSet()
        ids.filter { Keys.finished(it) in existing }.forEach { acceptedJobs.put(it, Unit) }
    }

    private companion object {
        const val MAX_ACCEPTED_JOBS = 20_000L

        /** More jobs than this are not read by their keys but searched for in a list of all live jobs. */
        const val MAX_JOBS_READ_INDIVIDUALLY = 16
    }
}
