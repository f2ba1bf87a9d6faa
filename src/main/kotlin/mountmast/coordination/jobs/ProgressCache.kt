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

/** How many tasks of a job are done, and how many run on machines. */
internal data class Progress(val done: Int, val running: Int)

/**
 * Caches the progress of running jobs, which the leader writes about once a second. Progress is only for display: one read of the
 * progress of all jobs serves the status requests of a second, and after a failed read the previous progress stays. Thread-safe.
 */
internal class ProgressCache(private val store: StateStore, private val clock: Clock) {
    /** Guards [progressByJob] and [nextReadAt]; never held during a request to the state service. */
    private val lock = ReentrantLock()
    private var progressByJob: Map<JobId, Progress> = emptyMap()
    private var nextReadAt = MonotonicTime(Long.MIN_VALUE)

    /**
     * Returns the progress of [id], at most a second or two old if the state service answers; zero for a job whose progress the leader
     * has not written.
     */
    fun getProgress(id: JobId): Progress {
        val now = clock.now()
        val isReadDue = lock.withLock {
            (now >= nextReadAt).also { if (it) nextReadAt = now + READ_INTERVAL_MS }
        }
        if (isReadDue) refresh()
        return lock.withLock { progressByJob[id] } ?: NO_PROGRESS
    }

    private fun refresh() {
        val entries = try {
            store.list(Keys.PROGRESS).entries
        } catch (e: StoreException) {
            // The previous progress is shown until a later read succeeds; the job's state itself was read just before.
            log.debug("cannot read progress: {}", e.message)
            return
        }
        val readProgress = HashMap<JobId, Progress>()
        for (entry in entries) {
            val text = try {
                WireJson.decodeFromJsonElement<ProgressRecord>(entry.value).text()
            } catch (e: IllegalArgumentException) {
                log.warn("cannot decode progress record {}: {}", entry.key, e.message)
                continue
            }
            text.splitToSequence(';').forEach { job -> addProgress(job.split(' '), readProgress) }
        }
        lock.withLock { progressByJob = readProgress }
    }

    /** Adds the progress in [fields], which are a job id and its numbers of done and running tasks; skips fields of any other form. */
    private fun addProgress(fields: List<String>, target: HashMap<JobId, Progress>) {
        if (fields.size != FIELDS_PER_JOB) return
        val job = JobId.parse(fields[0])
        val done = fields[1].toIntOrNull()
        val running = fields[2].toIntOrNull()
        if (job != null && done != null && running != null) target[job] = Progress(done, running)
    }

    private companion object {
        const val READ_INTERVAL_MS = 1000L
        const val FIELDS_PER_JOB = 3
        val NO_PROGRESS = Progress(0, 0)
    }
}
