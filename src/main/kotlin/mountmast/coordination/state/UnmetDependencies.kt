package mountmast.coordination.state

import mountmast.protocol.JobId
import mountmast.protocol.WallTime

/** What one job still waits for before any of its tasks may start. Guarded as its [ClusterState] is. */
class UnmetDependencies {
    private val openIds = LinkedHashSet<JobId>()

    /** The prerequisites that are not known to be done. */
    val open: Set<JobId> get() = openIds

    /** False until a list of prerequisites that is stored apart from the job's record has been read. */
    var isListKnown = true
        private set

    /** When the last prerequisite so far was done, by its record; null if no record says so. */
    var lastDoneAt: WallTime? = null
        private set

    /** Records that the list of prerequisites is stored apart and has not been read. */
    internal fun awaitList() {
        isListKnown = false
    }

    /** Records that the list of prerequisites is known; [addOpen] and [recordDone] say of each one whether it is done. */
    internal fun markListKnown() {
        isListKnown = true
    }

    /** Records that the prerequisite [id] is not known to be done. */
    internal fun addOpen(id: JobId) {
        openIds += id
    }

    /** Records that the prerequisite [id] was done at [at], which records of earlier versions do not say. */
    internal fun recordDone(id: JobId, at: WallTime?) {
        openIds -= id
        if (at != null) lastDoneAt = maxOf(at, lastDoneAt ?: at)
    }
}
