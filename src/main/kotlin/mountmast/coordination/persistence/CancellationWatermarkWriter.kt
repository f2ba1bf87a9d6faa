package mountmast.coordination.persistence

import kotlinx.serialization.json.encodeToJsonElement
import mountmast.protocol.Clock
import mountmast.protocol.MonotonicTime
import mountmast.protocol.WallTime
import mountmast.protocol.WireJson
import mountmast.storage.CancellationWatermarkRecord
import mountmast.storage.Keys

/**
 * Tells the next leader, and those who help it, from when on there may be cancellations that no worker was told of. Guarded by
 * the lock of [PersistenceContext].
 */
class CancellationWatermarkWriter(private val context: PersistenceContext, private val clock: Clock) {
    private var notBefore = MonotonicTime(0)
    private var written: WallTime? = null

    fun addTo(batch: WriteBatch) {
        val now = clock.now()
        if (now < notBefore || batch.room <= 0) return
        notBefore = now + EVERY_MS
        val watermark = context.jobs.watermark()
        if (watermark == written) return
        written = watermark
        batch.put(Keys.WATERMARK, WireJson.encodeToJsonElement(CancellationWatermarkRecord(watermark)))
    }

    /** What was added last may not have been written. */
    fun requeue() {
        notBefore = MonotonicTime(0)
        written = null
    }

    private companion object {
        const val EVERY_MS = 2000L
    }
}
