package mountmast.coordination.membership

import mountmast.protocol.Clock
import mountmast.protocol.JobId
import mountmast.protocol.MonotonicTime
import mountmast.protocol.NodeId
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/**
 * Cancellations of jobs that the nodes broadcast to one another. Just after a node has committed a cancellation, the store may refuse
 * requests of the leader alone, and then of every node, so that the leader does not learn of it there. The node therefore sends the
 * cancellation to each of [members] in its peer heartbeats until that member answers one.
 *
 * A broadcast may be lost and its sender may end, so correctness never depends on one. A broadcast only stops tasks sooner
 * than the bound on renewals by nodes that do not know the cancellation (`LeaseTiming.maxStalenessMs`).
 *
 * Thread-safe; every collection is guarded by [lock]. A cancellation is retained for [retentionMs] milliseconds, or until [MAX_RETAINED]
 * later ones are known, and removed when the next one arrives.
 */
class CancellationBroadcast(members: List<NodeId>, private val clock: Clock, private val retentionMs: Long) {
    private val lock = ReentrantLock()

    /** For each member, the cancelled jobs that it has not acknowledged, the oldest first. */
    private val pending = members.associateWith { LinkedHashSet<JobId>() }

    /** The cancelled jobs, each with the time at which its cancellation was last received or was broadcast by this node. */
    private val retained = LinkedHashMap<JobId, MonotonicTime>()

    /** Queues the cancellation of job [id], which this node committed, for all members. */
    fun broadcast(id: JobId): Unit = lock.withLock {
        if (id in retained) return
        retain(id)
        for (queue in pending.values) {
            queue += id
            if (queue.size > MAX_PENDING) queue.remove(queue.first())
        }
    }

    /** Retains the cancellations of the jobs [ids], which another node broadcast. */
    fun receive(ids: List<JobId>): Unit = lock.withLock { ids.forEach(::retain) }

    private fun retain(id: JobId) {
        val now = clock.now()
        retained[id] = now
        val oldestFirst = retained.entries.iterator()
        while (oldestFirst.hasNext()) {
            val entry = oldestFirst.next()
            if (now - entry.value <= retentionMs && retained.size <= MAX_RETAINED) break
            oldestFirst.remove()
        }
    }

    /** Returns whether a cancellation of job [id] is retained, broadcast by this node or by another one. */
    operator fun contains(id: JobId): Boolean = lock.withLock { id in retained }

    /** Returns the cancelled jobs that [member] has not acknowledged, the oldest first, at most [MAX_PER_HEARTBEAT] of them. */
    fun pendingFor(member: NodeId): List<JobId> = lock.withLock { pending[member].orEmpty().take(MAX_PER_HEARTBEAT) }

    /** Records that [member] answered a heartbeat that carried the cancellations of the jobs [ids]. */
    fun acknowledge(member: NodeId, ids: List<JobId>) {
        lock.withLock { pending[member]?.removeAll(ids.toSet()) }
    }

    private companion object {
        /** So many cancellations take about 10 KB of a heartbeat. */
        const val MAX_PER_HEARTBEAT = 500
        const val MAX_PENDING = 5000
        const val MAX_RETAINED = 10_000
    }
}
