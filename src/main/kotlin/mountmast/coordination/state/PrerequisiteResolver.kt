package mountmast.coordination.state

import mountmast.protocol.Clock
import mountmast.protocol.JobId
import mountmast.storage.FinishedJobRecord
import mountmast.storage.Keys
import mountmast.storage.PrerequisiteLists
import mountmast.storage.StateStore
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/**
 * Reads, from the state service, final states of prerequisites that this leader does not know, and lists of prerequisites that are
 * stored separately from the job's record. Takes [lock], the lock of the leader's term, but never holds it during such a read.
 */
internal class PrerequisiteResolver(
    private val lock: ReentrantLock,
    private val dependencies: JobDependencies,
    private val store: StateStore,
    private val prerequisiteLists: PrerequisiteLists,
    private val clock: Clock,
    /** Called for each final state that was read, with [lock] held. */
    private val onFinished: (JobId, FinishedJobRecord) -> Unit,
) {
    /** Reads the lists and final states that are due now, and returns how many were due. Jobs that need them wait until they are read. */
    fun resolveDue(): Int = readLists() + readFinalStates()

    private fun readLists(): Int {
        val recordsWithUnreadList = lock.withLock { dependencies.recordsWithUnreadList }
        for (record in recordsWithUnreadList) {
            val prerequisites = prerequisiteLists.read(record)
            lock.withLock { dependencies.addReadList(record.spec.id, prerequisites, clock.now()) }
        }
        return recordsWithUnreadList.size
    }

    private fun readFinalStates(): Int {
        val unresolvedIds = lock.withLock { dependencies.nextUnresolvedPrerequisites(MAX_RESOLVED_AT_ONCE, clock.now()) }
        for (id in unresolvedIds) {
            val entry = store.get(Keys.finished(id)) ?: continue
            val record = RecordDecoder.decode<FinishedJobRecord>(entry.key, entry.value) ?: continue
            lock.withLock { onFinished(id, record) }
        }
        return unresolvedIds.size
    }

    private companion object {
        const val MAX_RESOLVED_AT_ONCE = 100
    }
}
