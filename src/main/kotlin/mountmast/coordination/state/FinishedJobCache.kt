package mountmast.coordination.state

import mountmast.protocol.JobId
import mountmast.storage.FinishedJobRecord

/** Caches the final states of the jobs that finished most recently, at most [MAX_JOBS]. Guarded by the lock of the leader's term. */
internal class FinishedJobCache {
    private val records = LinkedHashMap<JobId, FinishedJobRecord>()

    operator fun contains(id: JobId) = id in records

    /** The final state of the job [id], or null if the job is not finished or its final state is no longer cached. */
    operator fun get(id: JobId): FinishedJobRecord? = records[id]

    /** Adds the final state of the job [id] as the most recent one. */
    fun add(id: JobId, record: FinishedJobRecord) {
        records.remove(id)
        records[id] = record
        if (records.size > MAX_JOBS) records.remove(records.keys.first())
    }

    private companion object {
        const val MAX_JOBS = 1000
    }
}
