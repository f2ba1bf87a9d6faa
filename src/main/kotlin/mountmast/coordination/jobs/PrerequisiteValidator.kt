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

/** Whether the jobs that a submission names may be prerequisites. */
internal sealed interface PrerequisiteCheck {
    data object Valid : PrerequisiteCheck

    /** No job [id] was ever accepted. */
    class NeverAccepted(val id: JobId) : PrerequisiteCheck

    /** [id] is a service, which never is done. */
    class IsService(val id: JobId) : PrerequisiteCheck
}

/**
 * Checks the prerequisites of a new job. That a job was accepted never changes and is cached; what no cache holds is read from the
 * state service, one by one or, for many, in bulk. Thread-safe.
 */
internal class PrerequisiteValidator(
    private val store: StateStore,
    private val reader: JobReader,
    private val records: UnconfirmedRecordCache,
    private val finalStates: FinalStateCache,
    private val maxCompares: Int,
) {
    /** Jobs known to have been accepted, whatever became of them. */
    private val accepted: Cache<JobId, Unit> = CacheBuilder.newBuilder().maximumSize(MAX_ACCEPTED).build()

    /**
     * Checks [ids], and tells the first that may not be a prerequisite. Throws `StoreException` if they cannot be read, and
     * [IllegalArgumentException] if a record cannot be decoded.
     */
    fun check(ids: List<JobId>): PrerequisiteCheck {
        val unknown = ids.filterNotTo(LinkedHashSet(), ::isKnownAccepted)
        when {
            unknown.isEmpty() -> {}
            unknown.size <= MAX_READ_SINGLY -> readSingly(unknown)
            else -> readInBulk(unknown)
        }
        ids.firstOrNull { !isKnownAccepted(it) }?.let { return PrerequisiteCheck.NeverAccepted(it) }
        return ids.firstOrNull(::isKnownService)?.let { PrerequisiteCheck.IsService(it) } ?: PrerequisiteCheck.Valid
    }

    private fun isKnownAccepted(id: JobId) = id in finalStates || id in records || accepted.getIfPresent(id) != null

    private fun isKnownService(id: JobId) = finalStates[id]?.isService == true || records[id]?.record?.spec?.shape == Shape.SERVICE

    /** Reads [ids], which caches the live ones. */
    private fun readSingly(ids: Set<JobId>) {
        for ((id, state) in reader.readAll(ids)) {
            if (state is JobState.Finished) finalStates[id] = state.record
        }
    }

    /** Pages through the live jobs once; a job that is not among them is finished, or was never accepted. */
    private fun readInBulk(ids: Set<JobId>) {
        val lastKey = Keys.job(ids.max())
        var after: String? = null
        do {
            val page = store.list(Keys.JOBS, after)
            for (entry in page.entries) {
                val record = WireJson.decodeFromJsonElement<JobRecord>(entry.value)
                if (record.spec.id in ids) {
                    accepted.put(record.spec.id, Unit)
                    records.putIfNewer(record, entry.modRevision)
                }
            }
            after = page.entries.lastOrNull()?.key
        } while (page.more && after != null && after <= lastKey)
        ids.filterNot(::isKnownAccepted).chunked(maxCompares).forEach(::findFinished)
    }

    /** Caches those of [ids] that are finished. A comparison with "does not exist" fails for those that do: one request tells of many. */
    private fun findFinished(ids: List<JobId>) {
        val compares = ids.map { Compare(Keys.finished(it), ModRevision.ABSENT) }
        val result = store.commit(Transaction(compares, emptyList()))
        if (result !is TransactionResult.CompareFailed) return
        val existing = result.failed.toSet()
        ids.filter { Keys.finished(it) in existing }.forEach { accepted.put(it, Unit) }
    }

    private companion object {
        const val MAX_ACCEPTED = 20_000L

        /** More jobs than this are looked for in pages of all live jobs. */
        const val MAX_READ_SINGLY = 16
    }
}
