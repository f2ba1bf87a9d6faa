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

/** The result of one watch for job records. */
enum class PrefetchResult {
    /** The state service answered the watch, with or without changes. */
    WATCHED,

    /** The state service did not answer, or is not reachable; the caller should pause before the next watch. */
    STORE_UNAVAILABLE,
}

/**
 * Watches the records of jobs that other nodes accept, for the caches of a node that does not lead. A submission that names these jobs as
 * prerequisites then needs no read before it is written. One transaction that compares the revisions of many cached records can confirm
 * all of them, in place of one read for each. A cached record that is not confirmed is used only for what never changes in it, so a
 * record that the watch misses costs no more than a read. Not thread-safe: called by one thread.
 */
class JobRecordPrefetcher(private val store: StateStore, private val onRecord: (JobRecord, ModRevision) -> Unit) {
    /** The revision from which the next watch begins; null to begin from the revision of the store at that time. */
    private var nextRevision: Revision? = null

    /** Waits up to [waitMs] milliseconds for changes of job records, and passes each record that was written to [onRecord]. */
    fun prefetch(waitMs: Long): PrefetchResult {
        if (!store.isReachable) return PrefetchResult.STORE_UNAVAILABLE
        return try {
            val start = nextRevision ?: readCurrentRevision()
            when (val result = store.watch(Keys.JOBS, start, waitMs)) {
                is WatchResult.Changes -> {
                    result.changes.forEach(::passOnRecord)
                    nextRevision = result.upTo
                }
                // The watch misses records that were written before it begins anew; each is read when a request needs it.
                WatchResult.Compacted -> nextRevision = null
            }
            PrefetchResult.WATCHED
        } catch (e: StoreException) {
            log.debug("cannot watch job records: {}", e.message)
            PrefetchResult.STORE_UNAVAILABLE
        }
    }

    private fun readCurrentRevision(): Revision = store.list(Keys.JOBS, after = Keys.JOBS + AFTER_EVERY_JOB_ID, limit = 1).revision

    private fun passOnRecord(change: WatchEvent) {
        val value = change.value ?: return
        if (Keys.jobOfKey(change.key) == null) return
        try {
            onRecord(WireJson.decodeFromJsonElement<JobRecord>(value), change.modRevision)
        } catch (e: IllegalArgumentException) {
            log.error("cannot decode job record {}: {}", change.key, e.message)
        }
    }

    private companion object {
        /** Sorts after every job id: a page that begins after it has no entries, only the revision of the store. */
        const val AFTER_EVERY_JOB_ID = "~"
    }
}
