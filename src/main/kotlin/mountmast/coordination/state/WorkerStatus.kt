package mountmast.coordination.state

import mountmast.protocol.FencingToken
import mountmast.protocol.HeartbeatSequence
import mountmast.protocol.MonotonicTime
import mountmast.protocol.WorkerIncarnation

/** The contents of the heartbeats of one machine's worker, and the answers that they got. Guarded by the lock of the leader's term. */
class WorkerStatus {
    /** The address to which commands for the worker are sent, or null before it is known. */
    var address: String? = null
        private set

    /** The worker's incarnation, or null before the first heartbeat. */
    var incarnation: WorkerIncarnation? = null
        private set

    /** When this leader learned of the worker's incarnation. */
    var incarnationSince = MonotonicTime(0)
        private set

    /** The sequence number of the latest heartbeat that was reconciled with the cluster state. */
    var sequence = HeartbeatSequence(0u)
        private set

    /** When a heartbeat last arrived, unsolicited or in the answer to a command. */
    var lastContactAt = MonotonicTime(0)
        private set

    /** When an unsolicited heartbeat last arrived. A worker that only answers commands receives no answers to its heartbeats. */
    var lastHeartbeatAt = MonotonicTime(0)
        private set

    /** The sequence number of the latest heartbeat of this incarnation that got an answer, which excludes those in answers to commands. */
    var answeredHeartbeatSequence = HeartbeatSequence(0u)
        private set

    /** The sequence number of the heartbeat of this incarnation that this leader answered last, or null if it answered none. */
    var answeredSequence: HeartbeatSequence? = null
        private set

    /** When a heartbeat was last answered or the incarnation became known. The worker's lease was renewed no later than that. */
    var leaseRenewedAt = MonotonicTime(0)
        private set

    /**
     * Whether a heartbeat of the worker has shown the current leader's term. From then on the worker refuses messages of earlier
     * leaders, and its heartbeats are known not to be late copies from before this term, which a deleted machine may have sent.
     */
    var hasShownCurrentTerm = false
        private set

    /** The first token of this incarnation that was sent to a worker suspected to have restarted without its memory, or null. */
    private var restartToken: FencingToken? = null

    /** Whether the worker has restarted without its memory, so that its sequence numbers of this incarnation are used again. */
    var hasRestarted = false
        private set

    /** The attempts in the last heartbeat for which the cluster state has no assignment. */
    var unassignedTasks = emptyList<UnassignedTask>()
        private set

    /**
     * Begins the incarnation [next] at [now]. A new incarnation holds a full lease from its start even before any answer, and it may
     * have started just before [now].
     */
    internal fun beginIncarnation(next: WorkerIncarnation, now: MonotonicTime) {
        incarnation = next
        incarnationSince = now
        answeredSequence = null
        answeredHeartbeatSequence = HeartbeatSequence(0u)
        leaseRenewedAt = now
        restartToken = null
        hasRestarted = false
    }

    /**
     * Records that the worker may have restarted without its memory. The response that is about to be sent shows it [token], which no
     * worker of this incarnation has seen before, and renews its lease from [now].
     */
    fun suspectRestart(token: FencingToken, now: MonotonicTime) {
        if (restartToken == null) restartToken = token
        leaseRenewedAt = now
    }

    /**
     * Whether a heartbeat of this incarnation with the number [shownSequence] and the token [shownToken] proves that the worker restarted:
     * without a restart, a heartbeat that shows a token has a higher number than those before the token was sent.
     */
    fun provesRestart(shownSequence: HeartbeatSequence, shownToken: FencingToken): Boolean =
        restartToken.let { it != null && shownToken >= it } && shownSequence <= sequence

    /** Records that the worker has restarted without its memory. */
    fun recordRestart() {
        hasRestarted = true
    }

    /**
     * Records that the heartbeat [received] arrived at [now], unsolicited or in the answer to a command, from a worker at
     * [senderAddress].
     */
    fun recordHeartbeat(received: HeartbeatSequence, senderAddress: String, now: MonotonicTime) {
        sequence = received
        address = senderAddress
        lastContactAt = now
    }

    /** Records that the heartbeat that arrived at [now] was unsolicited, that is, not in the answer to a command. */
    fun recordUnsolicitedHeartbeat(now: MonotonicTime) {
        lastHeartbeatAt = now
    }

    /** Records that the heartbeat [answered] is about to be answered, which renews the worker's lease from [now]. */
    fun recordLeaseRenewal(answered: HeartbeatSequence, now: MonotonicTime) {
        answeredHeartbeatSequence = answered
        leaseRenewedAt = now
        answeredSequence = answered
    }

    /** Records that an earlier leader may have renewed the worker's lease as late as [at]. */
    fun assumeLeaseRenewal(at: MonotonicTime) {
        leaseRenewedAt = at
    }

    /** Records that an earlier leader may have received a heartbeat of the worker, and renewed its lease, as late as [at]. */
    fun assumeHeartbeat(at: MonotonicTime) {
        leaseRenewedAt = at
        lastContactAt = at
    }

    /** Records the address of the worker that the cloud lists. */
    fun recordListedAddress(listed: String?) {
        address = listed
    }

    /** Records that a heartbeat of the worker has shown the current leader's term. */
    fun confirmCurrentTerm() {
        hasShownCurrentTerm = true
    }

    /** Replaces the unassigned tasks by those that the last heartbeat lists. */
    fun replaceUnassignedTasks(tasks: List<UnassignedTask>) {
        unassignedTasks = tasks
    }
}
