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

/** What became of one watch for records. */
enum class PrefetchResult {
    /** The state service answered, with changes or without. */
    WATCHED,

    /** The state service did not answer; the next watch should wait a while. */
    STORE_UNAVAILABLE,
}

/**
 * Brings the records of jobs that other nodes accept to a node that does not lead: a submission that names jobs then needs no
 * read before it is written, and reads of many jobs are answered by one comparison. No answer rests on these records but on
 * what never changes in them, so that a missed one only costs a read. Not thread-safe: called by one thread.
 */
class JobRecordPrefetcher(private val store: StateStore, private val onRecord: (JobRecord, ModRevision) -> Unit) {
    /** Where the next watch begins; null to begin with what changes after the next request. */
    private var nextRevision: Revision? = null

    /** Waits up to [waitMs] milliseconds for changes, and passes each new record on. */
    fun prefetch(waitMs: Long): PrefetchResult {
        if (!store.isReachable) return PrefetchResult.STORE_UNAVAILABLE
        return try {
            val start = nextRevision ?: currentRevision()
            when (val result = store.watch(Keys.JOBS, start, waitMs)) {
                is WatchResult.Changes -> {
                    result.changes.forEach(::passOnRecord)
                    nextRevision = result.upTo
                }
                // A missed record is read when somebody asks for its job.
                WatchResult.Compacted -> nextRevision = null
            }
            PrefetchResult.WATCHED
        } catch (e: StoreException) {
            log.debug("watching jobs: {}", e.message)
            PrefetchResult.STORE_UNAVAILABLE
        }
    }

    private fun currentRevision(): Revision = store.list(Keys.JOBS, after = Keys.JOBS + BEHIND_EVERY_ID, limit = 1).revision

    private fun passOnRecord(change: WatchEvent) {
        val value = change.value ?: return
        if (Keys.jobOfKey(change.key) == null) return
        try {
            onRecord(WireJson.decodeFromJsonElement<JobRecord>(value), change.modRevision)
        } catch (e: IllegalArgumentException) {
            log.error("unreadable record {}: {}", change.key, e.message)
        }
    }

    private companion object {
        /** A page that begins here is empty, so that it carries the revision alone. */
        const val BEHIND_EVERY_ID = "~"
    }
}
