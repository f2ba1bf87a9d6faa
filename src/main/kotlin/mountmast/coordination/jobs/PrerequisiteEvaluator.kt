package mountmast.coordination.jobs

import com.google.common.cache.Cache
import com.google.common.cache.CacheBuilder
import mountmast.protocol.JobId
import mountmast.protocol.JobStatus
import mountmast.storage.JobRecord
import mountmast.storage.PrerequisiteLists
import org.slf4j.LoggerFactory

private val log = LoggerFactory.getLogger("mountmast.prerequisites")

/** Whether the prerequisites of a job allow it to run. */
internal sealed interface PrerequisiteState {
    /** All prerequisites are done. */
    data object Satisfied : PrerequisiteState

    /** No prerequisite is cancelled, but the direct prerequisites [jobs] are not done yet. */
    class Waiting(val jobs: List<JobId>) : PrerequisiteState

    /** A direct or indirect prerequisite is cancelled, and therefore the job as well. */
    data object Cancelled : PrerequisiteState
}

/**
 * Evaluates on any node whether the prerequisites of a job allow it to run, from the state service and without the leader: the leader
 * may be unreachable, or may not have written yet that a job is cancelled because a prerequisite is. For this reason, the record of
 * a job with prerequisites is never enough to report the job as pending or running.
 *
 * The search does not go beyond a prerequisite that is done, because all prerequisites of a done job are done as well. Three facts
 * never change and are cached: the final state of a job, its list of prerequisites, and that all of its prerequisites are done. The
 * states of all other jobs are read from the state service for each evaluation. Thread-safe.
 */
internal class PrerequisiteEvaluator(
    private val jobReader: JobReader,
    private val recordCache: UnconfirmedRecordCache,
    private val prerequisiteLists: PrerequisiteLists,
    private val finalStateCache: FinalStateCache,
) {
    /** The result of reading one level of prerequisites. */
    private sealed interface Expansion {
        data object FoundCancelled : Expansion

        /** No job of the level is cancelled; [jobs] are the direct prerequisites of its live jobs. */
        class NextLevel(val jobs: List<JobId>) : Expansion
    }

    private val satisfiedJobs: Cache<JobId, Unit> = CacheBuilder.newBuilder().maximumSize(MAX_SATISFIED_JOBS).build()
    private val longListCache: Cache<JobId, List<JobId>> = CacheBuilder.newBuilder().maximumSize(MAX_LONG_LISTS).build()

    /**
     * Returns whether the prerequisites of the job in [record] allow it to run. Throws `StoreException` if the prerequisites cannot be
     * read, and [IllegalArgumentException] if a stored record cannot be decoded.
     */
    fun evaluate(record: JobRecord): PrerequisiteState {
        val id = record.spec.id
        if (!record.hasPrerequisites || satisfiedJobs.getIfPresent(id) != null) return PrerequisiteState.Satisfied
        val directPrerequisites = readPrerequisites(record)
        if (isAnyCancelledTransitively(directPrerequisites)) return PrerequisiteState.Cancelled
        val unfinished = directPrerequisites.filterNot(finalStateCache::isDone)
        if (unfinished.isEmpty()) satisfiedJobs.put(id, Unit)
        return if (unfinished.isEmpty()) PrerequisiteState.Satisfied else PrerequisiteState.Waiting(unfinished)
    }

    /**
     * Whether one of [directPrerequisites], or a direct or indirect prerequisite of one of them, is cancelled. Reads the jobs of each
     * level together.
     */
    private fun isAnyCancelledTransitively(directPrerequisites: List<JobId>): Boolean {
        val visited = HashSet<JobId>()
        var level = collectWithCachedPrerequisites(directPrerequisites, visited)
        while (level.isNotEmpty()) {
            if (level.any(finalStateCache::isCancelled)) return true
            val states = jobReader.readAll(level.filterNotTo(HashSet(), finalStateCache::isDone))
            when (val expansion = expandLevel(states)) {
                Expansion.FoundCancelled -> return true
                is Expansion.NextLevel -> level = collectWithCachedPrerequisites(expansion.jobs, visited)
            }
        }
        return false
    }

    /** Returns the direct prerequisites of the live jobs in [states], unless one of [states] is cancelled; caches the final states. */
    private fun expandLevel(states: Map<JobId, JobState>): Expansion {
        // Decided by what was read: the cache may have dropped a final state by the time the others are added.
        for ((id, state) in states) if (state is JobState.Finished) finalStateCache[id] = state.record
        if (states.values.any(::isCancelled)) return Expansion.FoundCancelled
        val next = ArrayList<JobId>()
        for ((id, state) in states) {
            when (state) {
                is JobState.Finished -> {}
                is JobState.Live -> next += readPrerequisites(state.record)
                JobState.Unknown -> log.error("prerequisite job={} is not in the store", id)
            }
        }
        return Expansion.NextLevel(next)
    }

    private fun isCancelled(state: JobState): Boolean = when (state) {
        is JobState.Finished -> state.record.status == JobStatus.CANCELLED
        is JobState.Live -> state.record.cancelled
        JobState.Unknown -> false
    }

    /**
     * Returns the jobs among [ids], and among their direct and indirect prerequisites, that are neither done nor [visited]. Follows the
     * prerequisites of a job only if its record is cached; the record need not be current, since prerequisites never change. So a long
     * chain of jobs is read level by level only until the records of its jobs are cached.
     */
    private fun collectWithCachedPrerequisites(ids: List<JobId>, visited: MutableSet<JobId>): List<JobId> {
        val found = ArrayList<JobId>()
        val pending = ArrayDeque(ids)
        while (pending.isNotEmpty()) {
            val id = pending.removeFirst()
            if (finalStateCache.isDone(id) || !visited.add(id)) continue
            found += id
            recordCache[id]?.let { pending += readPrerequisites(it.record) }
        }
        return found
    }

    private fun readPrerequisites(record: JobRecord): List<JobId> {
        if (record.prerequisiteList == null) return record.spec.prerequisites
        return longListCache.getIfPresent(record.spec.id) ?: prerequisiteLists.read(record).also { longListCache.put(record.spec.id, it) }
    }

    private companion object {
        const val MAX_SATISFIED_JOBS = 20_000L
        const val MAX_LONG_LISTS = 16L
    }
}
