package mountmast.coordination.persistence

import kotlinx.serialization.json.encodeToJsonElement
import mountmast.coordination.state.ClusterState
import mountmast.protocol.Clock
import mountmast.protocol.MonotonicTime
import mountmast.protocol.WireJson
import mountmast.storage.Keys
import mountmast.storage.ProgressRecord
import mountmast.storage.TextCodec

/** Tells the nodes that users ask how far the running jobs have come: about once a second, less often while changes are short. */
class ProgressWriter(private val cluster: ClusterState, private val clock: Clock) {
    private val written = ArrayList<ProgressRecord?>()
    private var doneAt = MonotonicTime(Long.MIN_VALUE / 2)

    /** Parts of the round that is being written. */
    private var round: List<ProgressRecord>? = null

    var knowsParts = false
        private set

    /** The store holds [keys]; parts that an earlier leader wrote and that are not needed are emptied. */
    fun found(keys: List<String>) {
        knowsParts = true
        val parts = keys.mapNotNull { it.removePrefix(Keys.PROGRESS).toIntOrNull() }.maxOrNull()?.plus(1) ?: 0
        while (written.size < parts) written += null
    }

    fun addTo(batch: WriteBatch, limits: WriteLimits, compact: Boolean, isScarce: Boolean) {
        val now = clock.now()
        if (round == null && now - doneAt < if (isScarce) SHORT_EVERY_MS else EVERY_MS) return
        val records = round ?: records(limits, compact).also { round = it }
        for ((part, record) in records.withIndex()) {
            if (written[part] == record) continue
            if (batch.room <= 0) return
            batch.put(Keys.progress(part), WireJson.encodeToJsonElement(record))
            written[part] = record
        }
        round = null
        doneAt = now
    }

    /** What was in a batch may not have been written. */
    fun forget() {
        written.replaceAll { null }
        round = null
        doneAt = MonotonicTime(Long.MIN_VALUE / 2)
    }

    private fun records(limits: WriteLimits, compact: Boolean): List<ProgressRecord> {
        val records = TextCodec.pack(describe(), limits.valueBytes, compact).mapTo(ArrayList()) { ProgressRecord(it.plain, it.compressed) }
        // Parts that are not needed any more are emptied.
        while (records.size < written.size) records += ProgressRecord("")
        while (written.size < records.size) written += null
        return records
    }

    private fun describe(): String = buildString {
        for (job in cluster.jobs.values) {
            if (job.live.isEmpty() && job.doneCount == 0) continue
            append(job.id.text).append(' ').append(job.doneCount).append(' ').append(job.live.size).append(TextCodec.ENTRY_END)
        }
    }

    private companion object {
        const val EVERY_MS = 1000L
        const val SHORT_EVERY_MS = 3000L
    }
}
