package mountmast.coordination.persistence

import kotlinx.serialization.json.decodeFromJsonElement
import mountmast.protocol.JobId
import mountmast.protocol.WireJson
import mountmast.storage.FinishedJobRecord
import mountmast.storage.JobRecord
import mountmast.storage.Keys
import mountmast.storage.SnapshotRecord
import mountmast.storage.StateStore
import org.slf4j.LoggerFactory
import kotlin.concurrent.withLock

private val log = LoggerFactory.getLogger("mountmast.writer")

/**
 * Reads keys whose compare failed and adopts what the store has there, instead of what the leader expected. Takes the lock of
 * [PersistenceContext], but not during a call to the store.
 */
internal class ConflictResolver(
    private val context: PersistenceContext,
    private val store: StateStore,
    private val snapshots: SnapshotWriter,
) {
    /**
     * Adopts what the store has under [key]. Throws `StoreException` if it cannot be read, and `IllegalArgumentException` if the
     * record is unreadable.
     */
    fun resolve(key: String) {
        when {
            key.startsWith(Keys.JOBS) -> Keys.jobOfKey(key)?.let { resolveJob(it, key) }
            // A snapshot's pointer may have been committed without an answer.
            key == Keys.SNAPSHOT -> resolveSnapshot()
            else -> log.error("key={} was changed by another writer", key)
        }
    }

    private fun resolveJob(id: JobId, key: String) {
        val live = store.get(key)
        val finished = if (live == null) store.get(Keys.finished(id)) else null
        context.lock.withLock {
            val job = context.cluster.jobs[id] ?: return
            when {
                live != null -> context.jobs.applyRecord(WireJson.decodeFromJsonElement<JobRecord>(live.value), live.modRevision)
                finished != null -> context.jobs.removeFinished(job, WireJson.decodeFromJsonElement<FinishedJobRecord>(finished.value))
                else -> log.error("job={} is missing from the store", id)
            }
        }
    }

    private fun resolveSnapshot() {
        val entry = store.get(Keys.SNAPSHOT) ?: return
        val pointer = WireJson.decodeFromJsonElement<SnapshotRecord>(entry.value)
        context.lock.withLock { snapshots.onPointerStored(pointer, entry.modRevision) }
    }
}
