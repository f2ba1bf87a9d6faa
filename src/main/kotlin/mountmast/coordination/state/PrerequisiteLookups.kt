package mountmast.coordination.state

import mountmast.protocol.JobId
import mountmast.protocol.MonotonicTime
import mountmast.storage.JobRecord

/**
 * The final states of prerequisites, and the lists of prerequisites, that must be read from the state service to release live jobs.
 * Guarded by the lock of the leader's term.
 */
internal class PrerequisiteLookups {
    /** Prerequisites that are not among the live jobs, with the time of the next lookup of their final state. */
    private val nextLookupTimes = LinkedHashMap<JobId, MonotonicTime>()

    /** The records of jobs whose list of prerequisites is stored separately and was not read yet. */
    private val unreadListRecords = LinkedHashMap<JobId, JobRecord>()

    /** The records of the jobs whose list of prerequisites is still to be read. */
    val recordsWithUnreadList: List<JobRecord> get() = unreadListRecords.values.toList()

    /** Schedules a lookup of the list of prerequisites that [record] refers to. */
    fun addList(record: JobRecord) {
        unreadListRecords[record.spec.id] = record
    }

    /** Ends the lookup of the list of prerequisites of the job [id]; returns whether there was one. */
    fun removeList(id: JobId): Boolean = unreadListRecords.remove(id) != null

    /** Schedules lookups of the final state of the prerequisite [id], the first one at [now]. */
    fun addPrerequisite(id: JobId, now: MonotonicTime) {
        nextLookupTimes[id] = now
    }

    /** Ends the lookups of the final state of the prerequisite [id]. */
    fun removePrerequisite(id: JobId) {
        nextLookupTimes.remove(id)
    }

    /** Returns at most [limit] prerequisites whose lookup is due at [now]; they are due again after a pause. */
    fun nextPrerequisites(limit: Int, now: MonotonicTime): List<JobId> {
        val due = nextLookupTimes.entries.filter { it.value <= now }.take(limit).map { it.key }
        for (id in due) nextLookupTimes[id] = now + RETRY_INTERVAL_MS
        return due
    }

    private companion object {
        const val RETRY_INTERVAL_MS = 1000L
    }
}
