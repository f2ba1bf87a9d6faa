package mountmast.coordination.membership

import mountmast.protocol.Clock
import mountmast.protocol.JobId
import mountmast.protocol.MonotonicTime
import mountmast.protocol.NodeId
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/**
 * Cancellations of jobs that the nodes broadcast to one another. Just after a node has committed a cancellation, the store may refuse
 * requests of the leader alone, and then of every node, so that the leader does not learn of the cancellation from the store. The node
 * therefore sends the cancellation to each of [members] in its peer heartbeats until the member has answered one that carries it.
 *
 * A broadcast may be lost and its sender may end, so correctness never depends on a broadcast. It only stops tasks sooner: a node that
 * does not know a cancellation renews workers' leases no longer than `LeaseTiming.maxStalenessMs`.
 *
 * Thread-safe; every collection is guarded by [lock]. A cancellation is retained for [retentionMs] milliseconds, or until
 * [MAX_RETAINED_CANCELLATIONS] later cancellations are known. It is then removed when the next cancellation arrives.
 */
class CancellationBroadcast(members: List<NodeId>, private val clock: Clock, private val retentionMs: Long) {
    private val lock = ReentrantLock()

    /** For each member, the cancelled jobs that it has not acknowledged, the oldest first. */
    private val unacknowledgedJobs = members.associateWith { LinkedHashSet<JobId>() }

    /** The cancelled jobs, each with the time at which its cancellation was last received or was broadcast by this node. */
    private val retainedCancellations = LinkedHashMap<JobId, MonotonicTime>()

    /** Queues the cancellation of job [id], which this node committed, for all members. */
    fun broadcast(id: JobId): Unit = lock.withLock {
        if (id in retainedCancellations) return
        retain(id)
        for (queue in unacknowledgedJobs.values) {
            queue += id
            if (queue.size > MAX_UNACKNOWLEDGED_PER_MEMBER) queue.remove(queue.first())
        }
    }

    /** Retains the cancellations of the jobs [ids], which another node broadcast. */
    fun receive(ids: List<JobId>): Unit = lock.withLock { ids.forEach(::retain) }

    private fun retain(id: JobId) {
        val now = clock.now()
        retainedCancellations[id] = now
        val oldestFirst = retainedCancellations.entries.iterator()
        while (oldestFirst.hasNext()) {
            val entry = oldestFirst.next()
            if (now - entry.value <= retentionMs && retainedCancellations.size <= MAX_RETAINED_CANCELLATIONS) break
            oldestFirst.remove()
        }
    }

    /** Returns whether a cancellation of job [id] is retained, broadcast by this node or by another one. */
    operator fun contains(id: JobId): Boolean = lock.withLock { id in retainedCancellations }

    /** Returns the cancelled jobs that [member] has not acknowledged, the oldest first, at most [MAX_PER_HEARTBEAT] of them. */
    fun unacknowledgedBy(member: NodeId): List<JobId> = lock.withLock { unacknowledgedJobs[member].orEmpty().take(MAX_PER_HEARTBEAT) }

    /** Records that [member] answered a heartbeat that carried the cancellations of the jobs [ids]. */
    fun acknowledge(member: NodeId, ids: List<JobId>) {
        lock.withLock { unacknowledgedJobs[member]?.removeAll(ids.toSet()) }
    }

    private companion object {
        /** The largest number of cancellations in one heartbeat; they take about 10 KB of it. */
        const val MAX_PER_HEARTBEAT = 500
        const val MAX_UNACKNOWLEDGED_PER_MEMBER = 5000
        const val MAX_RETAINED_CANCELLATIONS = 10_000
    }
}
