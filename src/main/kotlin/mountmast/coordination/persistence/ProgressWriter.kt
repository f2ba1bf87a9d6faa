package mountmast.coordination.persistence

import kotlinx.serialization.json.encodeToJsonElement
import mountmast.coordination.state.ClusterState
import mountmast.protocol.Clock
import mountmast.protocol.MonotonicTime
import mountmast.protocol.WireJson
import mountmast.storage.Keys
import mountmast.storage.ProgressRecord
import mountmast.storage.TextCodec

/**
 * Writes how many tasks of each running job are done and how many run, so that every node can answer users' requests for a job's
 * status. Writes about once a second, and less often while writes are scarce. Guarded as its [ClusterState] is.
 */
internal class ProgressWriter(private val cluster: ClusterState, private val clock: Clock) : BatchContributor {
    /** The record that was added last for each part; null if it is unknown or may not be in the store. */
    private val lastAdded = ArrayList<ProgressRecord?>()
    private var roundEndedAt = MonotonicTime(Long.MIN_VALUE / 2)

    /** All parts of the progress that is being written, possibly by several batches; null once all of them were added. */
    private var round: List<ProgressRecord>? = null

    /** Whether [setStoredParts] was called. Before that, outdated parts of an earlier leader might stay in the store. */
    var areStoredPartsKnown = false
        private set

    /** Sets which [keys] of progress the store holds; parts of an earlier leader that are no longer needed will be emptied. */
    fun setStoredParts(keys: List<String>) {
        areStoredPartsKnown = true
        val parts = keys.mapNotNull { it.removePrefix(Keys.PROGRESS).toIntOrNull() }.maxOrNull()?.plus(1) ?: 0
        while (lastAdded.size < parts) lastAdded += null
    }

    override fun contribute(batch: WriteBatch, options: BatchOptions) {
        val now = clock.now()
        if (round == null && now - roundEndedAt < if (options.isScarce) SCARCE_INTERVAL_MS else INTERVAL_MS) return
        val records = round ?: packRecords(options).also { round = it }
        for ((part, record) in records.withIndex()) {
            if (lastAdded[part] == record) continue
            if (batch.remainingOps <= 0) return
            batch.put(Keys.progress(part), WireJson.encodeToJsonElement(record))
            lastAdded[part] = record
        }
        round = null
        roundEndedAt = now
    }

    override fun requeue() {
        lastAdded.replaceAll { null }
        round = null
        roundEndedAt = MonotonicTime(Long.MIN_VALUE / 2)
    }

    private fun packRecords(options: BatchOptions): List<ProgressRecord> {
        val records = TextCodec.pack(formatProgress(), options.limits.valueBytes, options.isCompact)
            .mapTo(ArrayList()) { ProgressRecord(it.plain, it.compressed) }
        // Parts that are no longer needed are emptied.
        while (records.size < lastAdded.size) records += ProgressRecord("")
        while (lastAdded.size < records.size) lastAdded += null
        return records
    }

    private fun formatProgress(): String = buildString {
        for (job in cluster.jobs.values) {
            if (job.live.isEmpty() && job.doneCount == 0) continue
            append(job.id.text).append(' ').append(job.doneCount).append(' ').append(job.live.size).append(TextCodec.ENTRY_END)
        }
    }

    private companion object {
        const val INTERVAL_MS = 1000L
        const val SCARCE_INTERVAL_MS = 3000L
    }
}
