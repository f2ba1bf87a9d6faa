package mountmast.coordination.membership

import mountmast.protocol.Clock
import mountmast.protocol.JobId
import mountmast.protocol.MonotonicTime
import mountmast.protocol.NodeId

/**
 * Cancellations that the nodes tell one another of. The state service may refuse the leader alone, and then everybody, just
 * after another node has committed some; so that node tells all others, again with each greeting until one is answered.
 *
 * A notice may be lost and a node may end, so no rule rests on them: they only stop tasks sooner than the
 * bound on answers of those who cannot know does (`LeaseTiming.informedMs`).
 */
class CancellationBroadcast(private val members: List<NodeId>, private val clock: Clock, private val keepMs: Long) {
    private val lock = Any()
    private val pending = members.associateWith { LinkedHashSet<JobId>() }
    private val known = LinkedHashMap<JobId, MonotonicTime>()

    /** This node committed the cancellation of [id]. */
    fun committed(id: JobId): Unit = synchronized(lock) {
        if (known.containsKey(id)) return
        remember(id)
        for (waiting in pending.values) {
            waiting += id
            if (waiting.size > MAX_PENDING) waiting.remove(waiting.first())
        }
    }

    /** Another node committed the cancellations of [ids]. */
    fun heard(ids: List<JobId>): Unit = synchronized(lock) { ids.forEach(::remember) }

    private fun remember(id: JobId) {
        val now = clock.now()
        known[id] = now
        val oldest = known.entries.iterator()
        while (oldest.hasNext()) {
            val entry = oldest.next()
            if (now - entry.value <= keepMs && known.size <= MAX_KNOWN) break
            oldest.remove()
        }
    }

    /** Whether the job is known to be cancelled, by a notice of the last while. */
    operator fun contains(id: JobId): Boolean = synchronized(lock) { id in known }

    /** All that is known of the last while. */
    fun all(): List<JobId> = synchronized(lock) { known.keys.toList() }

    /** What [member] has still to be told, the oldest first. */
    fun pendingFor(member: NodeId): List<JobId> = synchronized(lock) { pending[member].orEmpty().take(MAX_AT_ONCE) }

    /** [member] answered a greeting with [ids]. */
    fun acknowledged(member: NodeId, ids: List<JobId>): Unit = synchronized(lock) { pending[member]?.removeAll(ids.toSet()) }

    private companion object {
        /** Some 10 KB of a greeting. */
        const val MAX_AT_ONCE = 500
        const val MAX_PENDING = 5000
        const val MAX_KNOWN = 10_000
    }
}
