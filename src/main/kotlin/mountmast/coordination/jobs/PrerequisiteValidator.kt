package mountmast.coordination.jobs

import com.google.common.cache.Cache
import com.google.common.cache.CacheBuilder
import kotlinx.serialization.json.decodeFromJsonElement
import mountmast.protocol.JobId
import mountmast.protocol.ModRevision
import mountmast.protocol.Shape
import mountmast.protocol.WireJson
import mountmast.storage.Compare
import mountmast.storage.FinishedJobRecord
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

    /** What is known of a job that was accepted. */
    private enum class AcceptedAs {
        SERVICE,

        /** An array, or a job of which only the acceptance is known. */
        OTHER,
    }

    /**
     * Returns whether [ids] may all be prerequisites; if not, names the first that was never accepted, or else the first that is known
     * as a service. Throws `StoreException` if the jobs cannot be read, and [IllegalArgumentException] if a record cannot be decoded.
     */
    fun check(ids: List<JobId>): PrerequisiteCheck {
        // Each cache may drop a job while others are read, so what a lookup finds is kept until the check ends.
        val accepted = HashMap<JobId, AcceptedAs>()
        for (id in ids) findCached(id)?.let { accepted[id] = it }
        val unknown = ids.filterNotTo(LinkedHashSet(), accepted::containsKey)
        when {
            unknown.isEmpty() -> {}
            unknown.size <= MAX_JOBS_READ_INDIVIDUALLY -> accepted += readIndividually(unknown)
            else -> accepted += readInBulk(unknown)
        }
        ids.firstOrNull { it !in accepted }?.let { return PrerequisiteCheck.NeverAccepted(it) }
        return ids.firstOrNull { accepted[it] == AcceptedAs.SERVICE }?.let { PrerequisiteCheck.IsService(it) } ?: PrerequisiteCheck.Valid
    }

    /** Returns what the caches know of the job [id], or null if none of them knows that it was accepted. */
    private fun findCached(id: JobId): AcceptedAs? = finalStateCache[id]?.let(::acceptedAs)
        ?: recordCache[id]?.let { acceptedAs(it.record) }
        ?: acceptedJobs.getIfPresent(id)?.let { AcceptedAs.OTHER }

    private fun acceptedAs(record: FinishedJobRecord) = if (record.isService) AcceptedAs.SERVICE else AcceptedAs.OTHER

    private fun acceptedAs(record: JobRecord) = if (record.spec.shape == Shape.SERVICE) AcceptedAs.SERVICE else AcceptedAs.OTHER

    /**
     * Reads [ids] by their keys and returns those that were accepted. The reader caches the records of live jobs, this function the final
     * states of the others.
     */
    private fun readIndividually(ids: Set<JobId>): Map<JobId, AcceptedAs> {
        val accepted = HashMap<JobId, AcceptedAs>()
        for ((id, state) in jobReader.readAll(ids)) {
            when (state) {
                is JobState.Live -> accepted[id] = acceptedAs(state.record)
                is JobState.Finished -> {
                    finalStateCache[id] = state.record
                    accepted[id] = acceptedAs(state.record)
                }
                JobState.Unknown -> {}
            }
        }
        return accepted
    }

    /**
     * Returns those of [ids] that were accepted. Lists the live jobs once, up to the last of [ids]; those of [ids] that are not listed are
     * finished or were never accepted.
     */
    private fun readInBulk(ids: Set<JobId>): Map<JobId, AcceptedAs> {
        val accepted = HashMap<JobId, AcceptedAs>()
        val lastKey = Keys.job(ids.max())
        var after: String? = null
        do {
            val page = store.list(Keys.JOBS, after)
            for (entry in page.entries) {
                val record = WireJson.decodeFromJsonElement<JobRecord>(entry.value)
                if (record.spec.id in ids) {
                    acceptedJobs.put(record.spec.id, Unit)
                    recordCache.putIfNewer(record, entry.modRevision)
                    accepted[record.spec.id] = acceptedAs(record)
                }
            }
            after = page.entries.lastOrNull()?.key
        } while (page.more && after != null && after <= lastKey)
        for (chunk in ids.filterNot(accepted::containsKey).chunked(maxCompares)) {
            for (id in findFinished(chunk)) accepted[id] = AcceptedAs.OTHER
        }
        return accepted
    }

    /**
     * Returns those of [ids] that are finished, and caches them as accepted, all with one request: a transaction that compares each key
     * with "does not exist" fails for exactly the keys that exist.
     */
    private fun findFinished(ids: List<JobId>): List<JobId> {
        val compares = ids.map { Compare(Keys.finished(it), ModRevision.ABSENT) }
        val result = store.commit(Transaction(compares, emptyList()))
        if (result !is TransactionResult.CompareFailed) return emptyList()
        val existing = result.failed.toSet()
        return ids.filter { Keys.finished(it) in existing }.onEach { acceptedJobs.put(it, Unit) }
    }

    private companion object {
        const val MAX_ACCEPTED_JOBS = 20_000L

        /** More jobs than this are not read by their keys but searched for in a list of all live jobs. */
        const val MAX_JOBS_READ_INDIVIDUALLY = 16
    }
}
