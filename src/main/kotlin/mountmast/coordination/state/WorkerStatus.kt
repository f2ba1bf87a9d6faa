package mountmast.coordination.state

import mountmast.protocol.HeartbeatSequence
import mountmast.protocol.MonotonicTime
import mountmast.protocol.WorkerIncarnation

/** What the heartbeats of one machine's worker say, and what was answered to them. Guarded as its [ClusterState] is. */
class WorkerStatus {
    /** Where commands are sent, or null before it is known. */
    var address: String? = null
        private set

    /** The worker's incarnation, or null before the first heartbeat. */
    var incarnation: WorkerIncarnation? = null
        private set

    /** When the incarnation became known. */
    var incarnationSince = MonotonicTime(0)
        private set

    /** The latest heartbeat of the incarnation that was reconciled. */
    var sequence = HeartbeatSequence(0u)
        private set

    /** When a heartbeat last arrived, by itself or as the answer to a command. */
    var lastContactAt = MonotonicTime(0)
        private set

    /** When a heartbeat last arrived by itself: a worker that only answers commands receives no answers to its heartbeats. */
    var lastHeartbeatAt = MonotonicTime(0)
        private set

    /** The highest heartbeat of this incarnation that was answered as such, and not as the answer to a command. */
    var answeredHeartbeatSequence = HeartbeatSequence(0u)
        private set

    /** The heartbeat of this incarnation that this leader answered last, if any. */
    var answeredSequence: HeartbeatSequence? = null
        private set

    /** When a heartbeat was last answered, or the incarnation became known: the worker's lease runs from then at the latest. */
    var leaseRenewedAt = MonotonicTime(0)
        private set

    /**
     * Whether the worker has shown the current leader's term: from then on it refuses what earlier leaders say, and its heartbeats
     * are no copies from before this term, which might be of a machine long gone.
     */
    var hasShownCurrentTerm = false
        private set

    /** Tasks in the last heartbeat that the cluster state has no assignment for. */
    var unassignedTasks = emptyList<UnassignedTask>()
        private set

    /**
     * Begins [next] as of [now]. An incarnation that nobody has answered yet holds a full lease from its beginning, which may have
     * been just now.
     */
    internal fun beginIncarnation(next: WorkerIncarnation, now: MonotonicTime) {
        incarnation = next
        incarnationSince = now
        answeredSequence = null
        answeredHeartbeatSequence = HeartbeatSequence(0u)
        leaseRenewedAt = now
    }

    /** Records the arrival of the heartbeat [received], sent by itself or as the answer to a command, from a worker at [from]. */
    fun recordHeartbeat(received: HeartbeatSequence, from: String, now: MonotonicTime) {
        sequence = received
        address = from
        lastContactAt = now
    }

    /** Records that the heartbeat that arrived at [now] was sent by itself, not as the answer to a command. */
    fun recordUnsolicitedHeartbeat(now: MonotonicTime) {
        lastHeartbeatAt = now
    }

    /** Records that the heartbeat [answered] is about to be answered, which renews the worker's lease from [now]. */
    fun recordLeaseRenewal(answered: HeartbeatSequence, now: MonotonicTime) {
        answeredHeartbeatSequence = answered
        leaseRenewedAt = now
        answeredSequence = answered
    }

    /** Records that a leader before this one may have renewed the worker's lease as late as [at]. */
    fun assumeLeaseRenewal(at: MonotonicTime) {
        leaseRenewedAt = at
    }

    /** Records that a leader before this one may have received a heartbeat, and renewed the lease, as late as [at]. */
    fun assumeHeartbeat(at: MonotonicTime) {
        leaseRenewedAt = at
        lastContactAt = at
    }

    /** Records where the cloud says that the worker listens. */
    fun recordListedAddress(listed: String?) {
        address = listed
    }

    /** Records that the worker has shown the current leader's term. */
    fun confirmCurrentTerm() {
        hasShownCurrentTerm = true
    }

    /** Replaces what the heartbeat before listed beside the assignments. */
    fun replaceUnassignedTasks(tasks: List<UnassignedTask>) {
        unassignedTasks = tasks
    }
}
