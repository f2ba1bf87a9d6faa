package mountmast.coordination.jobs

import com.google.common.cache.Cache
import com.google.common.cache.CacheBuilder
import mountmast.protocol.JobId
import mountmast.storage.JobRecord
import mountmast.storage.PrerequisiteLists
import org.slf4j.LoggerFactory

private val log = LoggerFactory.getLogger("mountmast.prerequisites")

/** Whether a job may run as far as its prerequisites go. */
internal sealed interface PrerequisiteState {
    /** All prerequisites are done. */
    data object Satisfied : PrerequisiteState

    /** [jobs], which are direct prerequisites, are not done yet. */
    class Waiting(val jobs: List<JobId>) : PrerequisiteState

    /** A prerequisite is cancelled, directly or through others: so is the job. */
    data object Cancelled : PrerequisiteState
}

/**
 * Evaluates on any node what a job's prerequisites mean for it, from the state service alone: the leader may be cut off, or may
 * not have written yet that a job is cancelled together with another. A job is never called pending or running from its own
 * record alone.
 *
 * A prerequisite that is done ends the search, as everything before it is done as well. Final states and lists of
 * prerequisites never change and are cached; everything else is read for each answer. Thread-safe.
 */
internal class PrerequisiteEvaluator(
    private val reader: JobReader,
    private val records: UnconfirmedRecordCache,
    private val lists: PrerequisiteLists,
    private val finalStates: FinalStateCache,
) {
    private sealed interface Expansion {
        data object FoundCancelled : Expansion

        class WaitsFor(val jobs: List<JobId>) : Expansion
    }

    private val satisfied: Cache<JobId, Unit> = CacheBuilder.newBuilder().maximumSize(MAX_SATISFIED).build()
    private val longLists: Cache<JobId, List<JobId>> = CacheBuilder.newBuilder().maximumSize(MAX_LONG_LISTS).build()

    /**
     * What the prerequisites of the job in [record] mean for it now. Throws `StoreException` if they cannot be read, and
     * [IllegalArgumentException] if a record among them cannot be decoded.
     */
    fun evaluate(record: JobRecord): PrerequisiteState {
        val id = record.spec.id
        if (!record.hasPrerequisites || satisfied.getIfPresent(id) != null) return PrerequisiteState.Satisfied
        val direct = prerequisitesOf(record)
        if (isCancelledThrough(direct)) return PrerequisiteState.Cancelled
        val waiting = direct.filterNot(finalStates::isDone)
        if (waiting.isEmpty()) satisfied.put(id, Unit)
        return if (waiting.isEmpty()) PrerequisiteState.Satisfied else PrerequisiteState.Waiting(waiting)
    }

    /** Whether one of [direct], or a job that one of them waits for, is cancelled. Reads each level of jobs at once. */
    private fun isCancelledThrough(direct: List<JobId>): Boolean {
        val visited = HashSet<JobId>()
        var level = withCachedAncestors(direct, visited)
        while (level.isNotEmpty()) {
            if (level.any(finalStates::isCancelled)) return true
            val states = reader.readAll(level.filterNotTo(HashSet(), finalStates::isDone))
            when (val expansion = expand(states)) {
                Expansion.FoundCancelled -> return true
                is Expansion.WaitsFor -> level = withCachedAncestors(expansion.jobs, visited)
            }
        }
        return false
    }

    /** The jobs that the jobs in [states] wait for, unless one of [states] is cancelled; caches those that are finished. */
    private fun expand(states: Map<JobId, JobState>): Expansion {
        val next = ArrayList<JobId>()
        for ((id, state) in states) {
            when (state) {
                is JobState.Finished -> finalStates[id] = state.record
                is JobState.Live -> if (state.record.cancelled) return Expansion.FoundCancelled else next += prerequisitesOf(state.record)
                JobState.Unknown -> log.error("prerequisite job={} is not in the store", id)
            }
        }
        return if (states.keys.any(finalStates::isCancelled)) Expansion.FoundCancelled else Expansion.WaitsFor(next)
    }

    /**
     * Those of [ids] not [visited] yet, with all their ancestors that cached records name: prerequisites never change, so a long
     * chain is read level by level only once.
     */
    private fun withCachedAncestors(ids: List<JobId>, visited: MutableSet<JobId>): List<JobId> {
        val found = ArrayList<JobId>()
        val pending = ArrayDeque(ids)
        while (pending.isNotEmpty()) {
            val id = pending.removeFirst()
            if (finalStates.isDone(id) || !visited.add(id)) continue
            found += id
            records[id]?.let { pending += prerequisitesOf(it.record) }
        }
        return found
    }

    private fun prerequisitesOf(record: JobRecord): List<JobId> {
        if (record.prerequisiteList == null) return record.spec.prerequisites
        return longLists.getIfPresent(record.spec.id) ?: lists.read(record).also { longLists.put(record.spec.id, it) }
    }

    private companion object {
        const val MAX_SATISFIED = 20_000L
        const val MAX_LONG_LISTS = 16L
    }
}
