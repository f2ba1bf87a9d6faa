package mountmast.coordination.state

import mountmast.protocol.JobId
import mountmast.storage.FinishedJobRecord

/** The final states of the jobs that were seen to finish last, at most [MAX_JOBS]. Guarded as its [ClusterState] is. */
internal class FinishedJobCache {
    private val records = LinkedHashMap<JobId, FinishedJobRecord>()

    operator fun contains(id: JobId) = id in records

    /** The final state of [id], or null if it is not finished or no longer cached. */
    operator fun get(id: JobId): FinishedJobRecord? = records[id]

    /** Adds the final state of [id] as the latest. */
    fun add(id: JobId, record: FinishedJobRecord) {
        records.remove(id)
        records[id] = record
        if (records.size > MAX_JOBS) records.remove(records.keys.first())
    }

    private companion object {
        const val MAX_JOBS = 1000
    }
}
