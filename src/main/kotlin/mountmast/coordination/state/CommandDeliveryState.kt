package mountmast.coordination.state

import mountmast.protocol.Attempt
import mountmast.protocol.MonotonicTime

/** The state of the direct requests that carry commands to one machine's worker. Guarded by the lock of the leader's term. */
class CommandDeliveryState {
    /** Whether a request to the worker waits for its answer; there is never more than one at a time. */
    var isRequestInFlight = false
        private set

    /** The time before which no request is sent to the worker. */
    var notBefore = MonotonicTime(Long.MIN_VALUE)
        private set

    /** When this leader last sent the worker a request that announces the new leader. */
    var announcedAt = MonotonicTime(0)
        private set

    /** The difference between the fencing token in use for this machine and the first token of the term. */
    var tokenOffset = 0
        private set

    /**
     * Attempts whose start command was in a request that got no answer, with the token offset of that request. The worker may still
     * execute the request minutes later, and a start that arrives after the `forget` command of its attempt runs the task again. So
     * an entry is kept until the worker shows a higher token or begins a new incarnation.
     */
    private val unansweredStarts = HashMap<TaskAttempt, Int>()

    /**
     * The highest token offset of a request in this term that carried a start command, or null if there was none. A duplicate of such a
     * request may arrive much later, even of one that was answered; the worker rejects it once it has seen a higher token.
     */
    var highestStartOffset: Int? = null
        private set

    /**
     * Whether the current token is above that of every request with a start command that was sent so far. A worker that has accepted a
     * message under the current token rejects all of these requests, and those of earlier terms, whose tokens are lower.
     */
    val areStartsFencedOff: Boolean get() = highestStartOffset.let { it == null || it < tokenOffset }

    /** Records that a request with commands is being sent; [carriesStart] tells whether a start command is among them. */
    fun beginRequest(carriesStart: Boolean) {
        isRequestInFlight = true
        if (carriesStart) highestStartOffset = tokenOffset
    }

    /** Records that a request without commands, which announces the new leader, is being sent at [now]. */
    fun beginAnnouncement(now: MonotonicTime) {
        isRequestInFlight = true
        announcedAt = now
    }

    /** Records that the outstanding request was answered or given up. */
    fun endRequest() {
        isRequestInFlight = false
    }

    /** Delays the next request to the worker until [until]. */
    fun pauseUntil(until: MonotonicTime) {
        notBefore = until
    }

    /** Records that the start command of an attempt got no answer, in a request with the token offset [requestTokenOffset]. */
    fun recordUnansweredStart(taskName: String, attempt: Attempt, requestTokenOffset: Int) {
        unansweredStarts[TaskAttempt(taskName, attempt)] = requestTokenOffset
    }

    /** Whether the worker may still execute a start command of the attempt that got no answer. */
    fun hasUnansweredStart(taskName: String, attempt: Attempt) = TaskAttempt(taskName, attempt) in unansweredStarts

    /**
     * Raises the fencing token above that of an unanswered start command of the attempt, so that the worker refuses the command. Does
     * nothing if there is no such command.
     */
    fun fenceOffStart(taskName: String, attempt: Attempt) {
        val requestTokenOffset = unansweredStarts[TaskAttempt(taskName, attempt)] ?: return
        tokenOffset = maxOf(tokenOffset, requestTokenOffset + 1)
    }

    /** Raises the fencing token above that of every request with a start command that was sent so far. */
    fun fenceOffAllStarts() {
        val highest = highestStartOffset ?: return
        tokenOffset = maxOf(tokenOffset, highest + 1)
    }

    /** Raises the fencing token above every token that was sent to the worker so far. */
    fun raiseToken() {
        tokenOffset++
    }

    /** Records that the worker shows the token offset [shownOffset]: from now on it refuses requests with a lower offset. */
    fun observeTokenOffset(shownOffset: Int) {
        tokenOffset = maxOf(tokenOffset, shownOffset)
        unansweredStarts.values.removeIf { it < shownOffset }
    }

    /** Forgets all unanswered start commands, since the worker's new incarnation refuses requests for the previous one. */
    internal fun forgetUnansweredStarts() = unansweredStarts.clear()
}
