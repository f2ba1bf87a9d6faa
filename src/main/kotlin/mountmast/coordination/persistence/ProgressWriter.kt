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
    /** The record that was added last for each part of the progress; null if that record is unknown or may not be in the store. */
    private val lastAddedRecords = ArrayList<ProgressRecord?>()
    private var allAddedAt = MonotonicTime(Long.MIN_VALUE / 2)

    /** The records of all parts of the progress, which several batches may have to write; null once all of them were added to a batch. */
    private var recordsToAdd: List<ProgressRecord>? = null

    /** Whether [setStoredParts] was called. Before that, outdated progress of an earlier leader might stay in the store. */
    var areStoredPartsKnown = false
        private set

    /**
     * Sets which [keys] of progress the store holds. Keys that the current progress does not need will be overwritten with an empty text.
     */
    fun setStoredParts(keys: List<String>) {
        areStoredPartsKnown = true
        val partCount = keys.mapNotNull { it.removePrefix(Keys.PROGRESS).toIntOrNull() }.maxOrNull()?.plus(1) ?: 0
        while (lastAddedRecords.size < partCount) lastAddedRecords += null
    }

    override fun contribute(batch: WriteBatch, options: BatchOptions) {
        val now = clock.now()
        if (recordsToAdd == null && now - allAddedAt < if (options.areWritesScarce) SCARCE_WRITE_INTERVAL_MS else WRITE_INTERVAL_MS) return
        val records = recordsToAdd ?: packRecords(options).also { recordsToAdd = it }
        for ((part, record) in records.withIndex()) {
            if (lastAddedRecords[part] == record) continue
            if (batch.remainingOps <= 0) return
            batch.put(Keys.progress(part), WireJson.encodeToJsonElement(record))
            lastAddedRecords[part] = record
        }
        recordsToAdd = null
        allAddedAt = now
    }

    override fun requeue() {
        lastAddedRecords.replaceAll { null }
        recordsToAdd = null
        allAddedAt = MonotonicTime(Long.MIN_VALUE / 2)
    }

    private fun packRecords(options: BatchOptions): List<ProgressRecord> {
        val records = TextCodec.pack(formatProgress(), options.limits.valueBytes, options.mayCompress)
            .mapTo(ArrayList()) { ProgressRecord(it.plain, it.compressed) }
        // Keys of progress that are no longer needed are overwritten with an empty text.
        while (records.size < lastAddedRecords.size) records += ProgressRecord("")
        while (lastAddedRecords.size < records.size) lastAddedRecords += null
        return records
    }

    private fun formatProgress(): String = buildString {
        for (job in cluster.jobs.values) {
            if (job.unreleasedAssignments.isEmpty() && job.doneCount == 0) continue
            append(job.id.text).append(' ').append(job.doneCount).append(' ')
                .append(job.unreleasedAssignments.size).append(TextCodec.ENTRY_END)
        }
    }

    private companion object {
        const val WRITE_INTERVAL_MS = 1000L
        const val SCARCE_WRITE_INTERVAL_MS = 3000L
    }
}
