package mountmast.coordination.persistence

import kotlinx.serialization.json.decodeFromJsonElement
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
 * Learns what the store has under keys that were found changed, instead of what the leader expected there. Throws
 * `StoreException` where it cannot be read, and `IllegalArgumentException` where a record is unreadable. Takes the
 * lock of [PersistenceContext], but not during a call.
 */
class ConflictResolver(private val context: PersistenceContext, private val store: StateStore, private val snapshots: SnapshotWriter) {
    fun resolve(key: String) {
        when {
            key.startsWith(Keys.JOBS) -> resolveJob(key)
            // A snapshot's last step may have been carried out without an answer.
            key == Keys.SNAPSHOT -> resolveSnapshot()
            else -> log.error("{} was changed by somebody else", key)
        }
    }

    private fun resolveJob(key: String) {
        val id = Keys.jobOfKey(key) ?: return
        val entry = store.get(key)
        val finished = if (entry == null) store.get(Keys.finished(id)) else null
        context.lock.withLock {
            val job = context.cluster.jobs[id] ?: return
            when {
                entry != null -> context.jobs.takeIn(WireJson.decodeFromJsonElement<JobRecord>(entry.value), entry.modRevision)
                finished != null -> context.jobs.finished(job, WireJson.decodeFromJsonElement<FinishedJobRecord>(finished.value))
                else -> log.error("job {} is in the store no more", id)
            }
        }
    }

    private fun resolveSnapshot() {
        val entry = store.get(Keys.SNAPSHOT) ?: return
        val record = WireJson.decodeFromJsonElement<SnapshotRecord>(entry.value)
        context.lock.withLock { snapshots.became(record, entry.modRevision) }
    }
}
