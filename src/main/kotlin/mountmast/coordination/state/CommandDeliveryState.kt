package mountmast.coordination.state

import mountmast.protocol.Attempt
import mountmast.protocol.MonotonicTime

/** Progress of the commands that are sent directly to one machine's worker. Guarded as its [ClusterState] is. */
class CommandDeliveryState {
    /** Whether a request waits for its answer; there is at most one. */
    var isInFlight = false
        private set

    /** No request is sent before this. */
    var notBefore = MonotonicTime(Long.MIN_VALUE)
        private set

    /** When this leader last announced itself to the worker. */
    var announcedAt = MonotonicTime(0)
        private set

    /** By how much the fencing token for this machine is above the term's first. */
    var tokenOffset = 0
        private set

    /**
     * Attempts whose start was in a request that got no answer, with the token offset of that request. It may still be executed,
     * minutes later, and a start repeated after `forget` runs the task again; so these are not forgotten within this
     * incarnation, until the worker shows a higher token.
     */
    private val unansweredStarts = HashMap<TaskAttempt, Int>()

    /** Records that a request with commands is on its way. */
    fun begin() {
        isInFlight = true
    }

    /** Records that a request without commands, which announces the new leader, is on its way since [now]. */
    fun beginAnnouncement(now: MonotonicTime) {
        isInFlight = true
        announcedAt = now
    }

    /** Records that the request on its way was answered or given up. */
    fun end() {
        isInFlight = false
    }

    /** Sends no request before [until]. */
    fun pauseUntil(until: MonotonicTime) {
        notBefore = until
    }

    /** Records that the start of an attempt got no answer, in a request with the token offset [sentWith]. */
    fun recordUnansweredStart(taskName: String, attempt: Attempt, sentWith: Int) {
        unansweredStarts[TaskAttempt(taskName, attempt)] = sentWith
    }

    /** Whether a start of the attempt that got no answer may still be executed. */
    fun hasUnansweredStart(taskName: String, attempt: Attempt) = TaskAttempt(taskName, attempt) in unansweredStarts

    /** Raises the fencing token above that of an unanswered start of the attempt, if there is one, so that the worker refuses it. */
    fun fenceOffStart(taskName: String, attempt: Attempt) {
        val sentWith = unansweredStarts[TaskAttempt(taskName, attempt)] ?: return
        tokenOffset = maxOf(tokenOffset, sentWith + 1)
    }

    /** Records that the worker shows the token offset [shown]: it refuses requests with a lower one from now on. */
    fun observeTokenOffset(shown: Int) {
        tokenOffset = maxOf(tokenOffset, shown)
        unansweredStarts.values.removeIf { it < shown }
    }

    /** Forgets all unanswered starts: a new incarnation refuses requests for the one before. */
    internal fun forgetUnansweredStarts() = unansweredStarts.clear()
}
