package mountmast.coordination.membership

import mountmast.protocol.Clock
import mountmast.protocol.JobId
import mountmast.protocol.MonotonicTime
import mountmast.protocol.NodeId
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/**
 * Cancellations that the nodes broadcast to one another. The store may refuse the leader alone, and then everybody, just after
 * another node has committed some; so that node sends them to all [members] with each peer heartbeat until one is acknowledged.
 *
 * A broadcast may be lost and its sender may end, so correctness never depends on one: it only stops tasks sooner than
 * the bound on renewals by nodes that do not know the cancellation (`LeaseTiming.informedMs`).
 *
 * Thread-safe; every field is guarded by [lock]. A cancellation is remembered for [retentionMs] milliseconds.
 */
class CancellationBroadcast(members: List<NodeId>, private val clock: Clock, private val retentionMs: Long) {
    private val lock = ReentrantLock()
    private val pending = members.associateWith { LinkedHashSet<JobId>() }
    private val known = LinkedHashMap<JobId, MonotonicTime>()

    /** Queues the cancellation of [id], which this node committed, for all members. */
    fun broadcast(id: JobId): Unit = lock.withLock {
        if (id in known) return
        remember(id)
        for (queue in pending.values) {
            queue += id
            if (queue.size > MAX_PENDING) queue.remove(queue.first())
        }
    }

    /** Remembers the cancellations of [ids], which another node broadcast. */
    fun receive(ids: List<JobId>): Unit = lock.withLock { ids.forEach(::remember) }

    private fun remember(id: JobId) {
        val now = clock.now()
        known[id] = now
        val oldestFirst = known.entries.iterator()
        while (oldestFirst.hasNext()) {
            val entry = oldestFirst.next()
            if (now - entry.value <= retentionMs && known.size <= MAX_KNOWN) break
            oldestFirst.remove()
        }
    }

    /** Returns whether the job is known to be cancelled, by a broadcast of this node or another that is still remembered. */
    operator fun contains(id: JobId): Boolean = lock.withLock { id in known }

    /** Returns the cancellations that [member] has not acknowledged, the oldest first, at most as many as one heartbeat carries. */
    fun pendingFor(member: NodeId): List<JobId> = lock.withLock { pending[member].orEmpty().take(MAX_PER_HEARTBEAT) }

    /** Records that [member] answered a heartbeat that carried the cancellations of [ids]. */
    fun acknowledge(member: NodeId, ids: List<JobId>) {
        lock.withLock { pending[member]?.removeAll(ids.toSet()) }
    }

    private companion object {
        /** Some 10 KB of a heartbeat. */
        const val MAX_PER_HEARTBEAT = 500
        const val MAX_PENDING = 5000
        const val MAX_KNOWN = 10_000
    }
}
