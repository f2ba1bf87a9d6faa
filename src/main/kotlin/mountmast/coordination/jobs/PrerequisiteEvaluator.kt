package mountmast.coordination.jobs

import com.google.common.cache.Cache
import com.google.common.cache.CacheBuilder
import kotlinx.serialization.json.decodeFromJsonElement
import mountmast.protocol.JobId
import mountmast.protocol.JobStatus
import mountmast.protocol.ModRevision
import mountmast.protocol.Shape
import mountmast.protocol.WireJson
import mountmast.storage.Compare
import mountmast.storage.FinishedJobRecord
import mountmast.storage.JobRecord
import mountmast.storage.Keys
import mountmast.storage.PrerequisiteLists
import mountmast.storage.StateStore
import mountmast.storage.Transaction
import mountmast.storage.TransactionResult
import org.slf4j.LoggerFactory

private val log = LoggerFactory.getLogger("mountmast.prerequisites")

/** Whether a job may run as far as the jobs it waits for go. */
sealed interface PrerequisiteState {
    /** All of them are done. */
    data object Satisfied : PrerequisiteState

    /** [jobs], which it names itself, are not done yet. */
    class Waiting(val jobs: List<JobId>) : PrerequisiteState

    /** One of them is cancelled, directly or through others: so is the job. */
    data object Cancelled : PrerequisiteState
}

/** What is wrong with the names in a submission. */
sealed interface PrerequisiteFault {
    class NeverAccepted(val id: JobId) : PrerequisiteFault

    class IsService(val id: JobId) : PrerequisiteFault
}

/**
 * Tells on any node what a job's prerequisites mean for it, from the state service alone: the leader may be cut off, or
 * may not have written yet that a job is cancelled together with another. A job is never called pending or running
 * from its own record alone.
 *
 * A prerequisite that is done ends the search, as everything before it is done as well. Final states never change and
 * are kept in memory; everything else is read for each answer. Thread-safe.
 */
class PrerequisiteEvaluator(
    private val store: StateStore,
    private val reader: JobReader,
    private val lists: PrerequisiteLists,
    private val finalStates: Cache<JobId, FinishedJobRecord>,
    private val maxCompares: Int,
) {
    private val satisfied: Cache<JobId, Unit> = CacheBuilder.newBuilder().maximumSize(MAX_REMEMBERED).build()
    private val longLists: Cache<JobId, List<JobId>> = CacheBuilder.newBuilder().maximumSize(MAX_LONG_LISTS).build()

    /** Jobs known to have been accepted, whatever became of them. */
    private val accepted: Cache<JobId, Unit> = CacheBuilder.newBuilder().maximumSize(MAX_REMEMBERED).build()

    /** What the prerequisites of the job in [record] mean for it now; throws `StoreException` where they cannot be read. */
    fun evaluate(record: JobRecord): PrerequisiteState {
        val id = record.spec.id
        if (!record.hasPrerequisites || satisfied.getIfPresent(id) != null) return PrerequisiteState.Satisfied
        val direct = prerequisites(record)
        if (isCancelledThrough(direct)) return PrerequisiteState.Cancelled
        val waiting = direct.filter { !isDone(it) }
        if (waiting.isNotEmpty()) return PrerequisiteState.Waiting(waiting)
        satisfied.put(id, Unit)
        return PrerequisiteState.Satisfied
    }

    /** Whether one of [direct], or a job that one of them waits for, is cancelled. Reads each level of jobs at once. */
    private fun isCancelledThrough(direct: List<JobId>): Boolean {
        val visited = HashSet<JobId>()
        var level = withKnownAncestors(direct, visited)
        while (level.isNotEmpty()) {
            if (level.any(::isCancelled)) return true
            val states = reader.readAll(level.filterTo(HashSet()) { !isDone(it) })
            val next = ArrayList<JobId>()
            for ((id, state) in states) {
                when (state) {
                    is JobState.Finished -> finalStates.put(id, state.record)
                    is JobState.Live -> if (state.record.cancelled) return true else next += prerequisites(state.record)
                    JobState.Unknown -> log.error("prerequisite {} is not in the store", id)
                }
            }
            if (states.keys.any(::isCancelled)) return true
            level = withKnownAncestors(next, visited)
        }
        return false
    }

    /**
     * Those of [ids] not [visited] yet, with all jobs before them as far as records read earlier tell: who waits for
     * whom never changes, so a long chain is read level by level only once.
     */
    private fun withKnownAncestors(ids: List<JobId>, visited: MutableSet<JobId>): List<JobId> {
        val found = ArrayList<JobId>()
        val pending = ArrayDeque(ids)
        while (pending.isNotEmpty()) {
            val id = pending.removeFirst()
            if (isDone(id) || !visited.add(id)) continue
            found += id
            reader.lastSeen(id)?.let { pending += prerequisites(it) }
        }
        return found
    }

    private fun isDone(id: JobId) = finalStates.getIfPresent(id)?.status == JobStatus.DONE

    private fun isCancelled(id: JobId) = finalStates.getIfPresent(id)?.status == JobStatus.CANCELLED

    private fun prerequisites(record: JobRecord): List<JobId> {
        if (record.prerequisiteList == null) return record.spec.prerequisites
        return longLists.getIfPresent(record.spec.id) ?: lists.read(record).also { longLists.put(record.spec.id, it) }
    }

    /** What is wrong with [names] as prerequisites of a new job, or null; throws `StoreException` where that is unknown. */
    fun faultIn(names: List<JobId>): PrerequisiteFault? {
        val unknown = names.filterTo(LinkedHashSet()) { !isKnown(it) }
        when {
            unknown.isEmpty() -> {}
            unknown.size <= MAX_READ_SINGLY -> readSingly(unknown)
            else -> readInBulk(unknown)
        }
        names.firstOrNull { !isKnown(it) }?.let { return PrerequisiteFault.NeverAccepted(it) }
        return names.firstOrNull(::isService)?.let { PrerequisiteFault.IsService(it) }
    }

    private fun isKnown(id: JobId) =
        finalStates.getIfPresent(id) != null || reader.lastSeen(id) != null || accepted.getIfPresent(id) != null

    private fun isService(id: JobId) = finalStates.getIfPresent(id)?.isService == true || reader.lastSeen(id)?.spec?.shape == Shape.SERVICE

    private fun readSingly(ids: Set<JobId>) {
        for ((id, state) in reader.readAll(ids)) {
            if (state is JobState.Finished) finalStates.put(id, state.record)
        }
    }

    /** Pages through the live jobs once; a job that is not among them is over, or was never accepted. */
    private fun readInBulk(ids: Set<JobId>) {
        val last = Keys.job(ids.max())
        var after: String? = null
        do {
            val page = store.list(Keys.JOBS, after)
            for (entry in page.entries) {
                val record = WireJson.decodeFromJsonElement<JobRecord>(entry.value)
                if (record.spec.id in ids) {
                    accepted.put(record.spec.id, Unit)
                    reader.note(record, entry.modRevision)
                }
            }
            after = page.entries.lastOrNull()?.key
        } while (page.more && after != null && after <= last)
        ids.filter { !isKnown(it) }.chunked(maxCompares).forEach(::noteFinished)
    }

    /** A comparison with "does not exist" fails for those that do: one request tells of many. */
    private fun noteFinished(ids: List<JobId>) {
        val compares = ids.map { Compare(Keys.finished(it), ModRevision.ABSENT) }
        val outcome = store.commit(Transaction(compares, emptyList()))
        if (outcome !is TransactionResult.CompareFailed) return
        val failed = outcome.failed.toSet()
        ids.filter { Keys.finished(it) in failed }.forEach { accepted.put(it, Unit) }
    }

    private companion object {
        const val MAX_REMEMBERED = 20_000L
        const val MAX_LONG_LISTS = 16L

        /** More names than this are looked for in pages of all live jobs. */
        const val MAX_READ_SINGLY = 16
    }
}
