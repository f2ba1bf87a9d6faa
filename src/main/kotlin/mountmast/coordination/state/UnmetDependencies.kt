package mountmast.coordination.state

import mountmast.protocol.JobId
import mountmast.protocol.WallTime

/** The prerequisites that one job waits for before any of its tasks may start. Guarded by the lock of the leader's term. */
class UnmetDependencies {
    private val openIds = LinkedHashSet<JobId>()

    /** The prerequisites that are not known to be done. */
    val open: Set<JobId> get() = openIds

    /** Whether the job's prerequisites are known; false until a list that is stored separately from the job's record has been read. */
    var isListKnown = true
        private set

    /** The latest time at which a prerequisite was done, according to the records; null if no record tells a time. */
    var lastDoneAt: WallTime? = null
        private set

    /** Records that the list of prerequisites is stored separately and has not been read. */
    internal fun awaitList() {
        isListKnown = false
    }

    /** Records that the list of prerequisites is known. The caller adds each prerequisite by [addOpen] or [recordDone]. */
    internal fun markListKnown() {
        isListKnown = true
    }

    /** Records that the prerequisite [id] is not known to be done. */
    internal fun addOpen(id: JobId) {
        openIds += id
    }

    /** Records that the prerequisite [id] was done at [doneAt], which is null if an earlier version wrote the record. */
    internal fun recordDone(id: JobId, doneAt: WallTime?) {
        openIds -= id
        if (doneAt != null) lastDoneAt = maxOf(doneAt, lastDoneAt ?: doneAt)
    }
}
