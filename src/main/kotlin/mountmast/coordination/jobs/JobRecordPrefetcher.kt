package mountmast.coordination.jobs

import kotlinx.serialization.json.decodeFromJsonElement
import mountmast.protocol.ModRevision
import mountmast.protocol.Revision
import mountmast.protocol.WireJson
import mountmast.storage.JobRecord
import mountmast.storage.Keys
import mountmast.storage.StateStore
import mountmast.storage.StoreException
import mountmast.storage.WatchEvent
import mountmast.storage.WatchResult
import org.slf4j.LoggerFactory

private val log = LoggerFactory.getLogger("mountmast.jobs")

/**
 * Has a node that does not lead hear of each job soon after another node accepted it: a submission that names jobs then needs
 * no reading before it is written, and questions about many jobs are answered by one comparison. No answer rests on what is
 * heard here but on what never changes in a record, so that missing some only costs a reading. Called by one thread.
 */
class JobRecordPrefetcher(private val store: StateStore, private val onRecord: (JobRecord, ModRevision) -> Unit) {
    private var from: Revision? = null

    /** Waits up to [waitMs] for changes and tells of them; false where the state service did not answer. */
    fun step(waitMs: Long): Boolean {
        if (!store.isReachable) return false
        return try {
            val start = from ?: latest()
            when (val outcome = store.watch(Keys.JOBS, start, waitMs)) {
                is WatchResult.Changes -> {
                    outcome.changes.forEach(::take)
                    from = outcome.upTo
                }
                // What was missed is read when somebody asks for it.
                WatchResult.Compacted -> from = null
            }
            true
        } catch (e: StoreException) {
            log.debug("watching jobs: {}", e.message)
            false
        }
    }

    private fun latest(): Revision = store.list(Keys.JOBS, after = Keys.JOBS + LAST, limit = 1).revision

    private fun take(change: WatchEvent) {
        val value = change.value ?: return
        if (Keys.jobOfKey(change.key) == null) return
        try {
            onRecord(WireJson.decodeFromJsonElement<JobRecord>(value), change.modRevision)
        } catch (e: IllegalArgumentException) {
            log.error("unreadable record {}: {}", change.key, e.message)
        }
    }

    private companion object {
        /** Behind every id, so that a page from there is empty and tells the revision alone. */
        const val LAST = "~"
    }
}
