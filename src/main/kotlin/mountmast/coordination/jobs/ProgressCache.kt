package mountmast.coordination.jobs

import kotlinx.serialization.json.decodeFromJsonElement
import mountmast.protocol.Clock
import mountmast.protocol.JobId
import mountmast.protocol.MonotonicTime
import mountmast.protocol.WireJson
import mountmast.storage.Keys
import mountmast.storage.ProgressRecord
import mountmast.storage.StateStore
import mountmast.storage.StoreException
import org.slf4j.LoggerFactory
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

private val log = LoggerFactory.getLogger("mountmast.progress")

/** How many of a job's tasks are done and on machines. */
data class Progress(val done: Int, val running: Int)

/**
 * How far running jobs have come, as the leader notes it about once a second: for display alone, so one reading
 * serves all polls of a while instead of a request for each.
 */
class ProgressCache(private val store: StateStore, private val clock: Clock) {
    private val lock = ReentrantLock()
    private var board: Map<JobId, Progress> = emptyMap()
    private var readNotBefore = MonotonicTime(Long.MIN_VALUE)

    fun of(id: JobId): Progress {
        val now = clock.now()
        val reads = lock.withLock {
            (now >= readNotBefore).also { if (it) readNotBefore = now + READ_EVERY_MS }
        }
        if (reads) refresh()
        return lock.withLock { board[id] } ?: NONE
    }

    private fun refresh() {
        val entries = try {
            store.list(Keys.PROGRESS).entries
        } catch (e: StoreException) {
            // What was known serves a while longer; the job's own state was read a moment ago.
            log.debug("reading progress: {}", e.message)
            return
        }
        val read = HashMap<JobId, Progress>()
        for (entry in entries) {
            val text = try {
                WireJson.decodeFromJsonElement<ProgressRecord>(entry.value).text()
            } catch (e: IllegalArgumentException) {
                log.warn("unreadable record {}: {}", entry.key, e.message)
                continue
            }
            text.splitToSequence(';').forEach { line -> add(line.split(' '), read) }
        }
        lock.withLock { board = read }
    }

    private fun add(fields: List<String>, to: HashMap<JobId, Progress>) {
        if (fields.size != FIELDS) return
        val job = JobId.parse(fields[0]) ?: return
        to[job] = Progress(fields[1].toIntOrNull() ?: return, fields[2].toIntOrNull() ?: return)
    }

    private companion object {
        const val READ_EVERY_MS = 1000L
        const val FIELDS = 3
        val NONE = Progress(0, 0)
    }
}
