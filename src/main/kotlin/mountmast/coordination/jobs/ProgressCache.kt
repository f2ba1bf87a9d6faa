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

/** How many of a job's tasks are done, and how many run on machines. */
internal data class Progress(val done: Int, val running: Int)

/**
 * How far running jobs have come, as the leader writes it about once a second. For display alone: one read of all jobs serves
 * every status request of a second, and after a failed read the last progress is shown on. Thread-safe.
 */
internal class ProgressCache(private val store: StateStore, private val clock: Clock) {
    /** Guards [progressByJob] and [nextReadAt]; never held during a request to the state service. */
    private val lock = ReentrantLock()
    private var progressByJob: Map<JobId, Progress> = emptyMap()
    private var nextReadAt = MonotonicTime(Long.MIN_VALUE)

    /** The progress of [id], no older than a second or two if the state service answers; none for a job that the leader has not written. */
    fun progressOf(id: JobId): Progress {
        val now = clock.now()
        val isReadDue = lock.withLock {
            (now >= nextReadAt).also { if (it) nextReadAt = now + READ_INTERVAL_MS }
        }
        if (isReadDue) refresh()
        return lock.withLock { progressByJob[id] } ?: NONE
    }

    private fun refresh() {
        val entries = try {
            store.list(Keys.PROGRESS).entries
        } catch (e: StoreException) {
            // The last progress is shown a while longer; the job's own state was read a moment ago.
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
            text.splitToSequence(';').forEach { job -> addProgress(job.split(' '), read) }
        }
        lock.withLock { progressByJob = read }
    }

    /** Adds the progress of the job in [fields], which are its id and its numbers of done and running tasks; other forms are skipped. */
    private fun addProgress(fields: List<String>, to: HashMap<JobId, Progress>) {
        if (fields.size != FIELDS_PER_JOB) return
        val job = JobId.parse(fields[0])
        val done = fields[1].toIntOrNull()
        val running = fields[2].toIntOrNull()
        if (job != null && done != null && running != null) to[job] = Progress(done, running)
    }

    private companion object {
        const val READ_INTERVAL_MS = 1000L
        const val FIELDS_PER_JOB = 3
        val NONE = Progress(0, 0)
    }
}
