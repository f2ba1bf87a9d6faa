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
    private val snapshotWriter: SnapshotWriter,
) {
    /**
     * Adopts what the store holds under [key]. Throws `StoreException` if the store cannot be read, and `IllegalArgumentException` if
     * the record cannot be decoded.
     */
    fun resolveConflict(key: String) {
        when {
            key.startsWith(Keys.JOBS) -> Keys.jobOfKey(key)?.let { resolveJob(it, key) }
            // An earlier transaction with a snapshot's pointer may have been committed although this node got no answer.
            key == Keys.SNAPSHOT -> resolveSnapshot()
            else -> log.error("key={} was changed by another writer", key)
        }
    }

    private fun resolveJob(id: JobId, key: String) {
        val liveEntry = store.get(key)
        val finishedEntry = if (liveEntry == null) store.get(Keys.finished(id)) else null
        context.lock.withLock {
            val job = context.cluster.jobs[id] ?: return
            when {
                liveEntry != null ->
                    context.jobs.applyRecord(WireJson.decodeFromJsonElement<JobRecord>(liveEntry.value), liveEntry.modRevision)
                finishedEntry != null ->
                    context.jobs.removeFinished(job, WireJson.decodeFromJsonElement<FinishedJobRecord>(finishedEntry.value))
                else -> log.error("job={} has neither a live nor a finished record in the store", id)
            }
        }
    }

    private fun resolveSnapshot() {
        val entry = store.get(Keys.SNAPSHOT) ?: return
        val pointer = WireJson.decodeFromJsonElement<SnapshotRecord>(entry.value)
        context.lock.withLock { snapshotWriter.onPointerStored(pointer, entry.modRevision) }
    }
}
