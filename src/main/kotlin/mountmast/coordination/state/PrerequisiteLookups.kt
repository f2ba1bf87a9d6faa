package mountmast.coordination.state

import mountmast.protocol.JobId
import mountmast.protocol.MonotonicTime
import mountmast.storage.JobRecord

/** What has to be read from the state service before live jobs can be released. Guarded as its [ClusterState] is. */
internal class PrerequisiteLookups {
    /** Prerequisites that are not among the live jobs, and when to look for their final state next. */
    private val unresolved = LinkedHashMap<JobId, MonotonicTime>()

    /** Jobs whose list of prerequisites is stored apart from their record and was not read yet. */
    private val unreadLists = LinkedHashMap<JobId, JobRecord>()

    /** The records of the jobs whose list of prerequisites has to be read. */
    val lists: List<JobRecord> get() = unreadLists.values.toList()

    /** Has the list of prerequisites read that [record] refers to. */
    fun addList(record: JobRecord) {
        unreadLists[record.spec.id] = record
    }

    /** Ends the lookup of the list of [id]; returns whether there was one. */
    fun removeList(id: JobId): Boolean = unreadLists.remove(id) != null

    /** Has the final state of [id] looked up, from [now] on. */
    fun addPrerequisite(id: JobId, now: MonotonicTime) {
        unresolved[id] = now
    }

    /** Ends the lookup of the final state of [id]. */
    fun removePrerequisite(id: JobId) {
        unresolved.remove(id)
    }

    /** At most [most] prerequisites to be looked up at [now]; the same are due again after a pause. */
    fun nextPrerequisites(most: Int, now: MonotonicTime): List<JobId> {
        val due = unresolved.entries.filter { it.value <= now }.take(most).map { it.key }
        for (id in due) unresolved[id] = now + RETRY_MS
        return due
    }

    private companion object {
        const val RETRY_MS = 1000L
    }
}
