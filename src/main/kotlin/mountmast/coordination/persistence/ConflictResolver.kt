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
 * Reads keys whose compare failed and replaces the leader's view of them by what the store holds. Takes the lock of
 * [PersistenceContext], but never holds it during a call to the store.
 */
internal class ConflictResolver(
    private val context: PersistenceContext,
    private val store: StateStore,
    private val snapshots: SnapshotWriter,
) {
    /**
     * Adopts what the store holds under [key]. Throws `StoreException` if the store cannot be read, and `IllegalArgumentException` if
     * the record cannot be decoded.
     */
    fun resolve(key: String) {
        when {
            key.startsWith(Keys.JOBS) -> Keys.jobOfKey(key)?.let { resolveJob(it, key) }
            // An earlier transaction with a snapshot's pointer may have been committed without an answer.
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
                else -> log.error("job={} has neither a live nor a finished record in the store", id)
            }
        }
    }

    private fun resolveSnapshot() {
        val entry = store.get(Keys.SNAPSHOT) ?: return
        val pointer = WireJson.decodeFromJsonElement<SnapshotRecord>(entry.value)
        context.lock.withLock { snapshots.onPointerStored(pointer, entry.modRevision) }
    }
}
