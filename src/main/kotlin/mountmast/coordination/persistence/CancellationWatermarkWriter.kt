package mountmast.coordination.persistence

import kotlinx.serialization.json.encodeToJsonElement
import mountmast.protocol.Clock
import mountmast.protocol.MonotonicTime
import mountmast.protocol.WallTime
import mountmast.protocol.WireJson
import mountmast.storage.CancellationWatermarkRecord
import mountmast.storage.Keys

/**
 * Writes the low watermark of cancellations: a time such that no task runs of a job whose cancellation was committed before that time.
 * The next leader reads the watermark, and so do the nodes that renew worker leases on that leader's behalf. Guarded by the lock of
 * [PersistenceContext].
 */
internal class CancellationWatermarkWriter(private val context: PersistenceContext, private val clock: Clock) : BatchContributor {
    private var nextWriteNotBefore = MonotonicTime(0)
    private var lastAddedWatermark: WallTime? = null

    override fun contribute(batch: WriteBatch, options: BatchOptions) {
        val now = clock.now()
        if (now < nextWriteNotBefore || batch.remainingOps <= 0) return
        nextWriteNotBefore = now + WRITE_INTERVAL_MS
        val watermark = context.jobs.watermark()
        if (watermark == lastAddedWatermark) return
        lastAddedWatermark = watermark
        batch.put(Keys.WATERMARK, WireJson.encodeToJsonElement(CancellationWatermarkRecord(watermark)))
    }

    override fun requeue() {
        nextWriteNotBefore = MonotonicTime(0)
        lastAddedWatermark = null
    }

    private companion object {
        const val WRITE_INTERVAL_MS = 2000L
    }
}
