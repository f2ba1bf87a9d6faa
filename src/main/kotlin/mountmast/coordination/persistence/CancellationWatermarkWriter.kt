package mountmast.coordination.persistence

import kotlinx.serialization.json.encodeToJsonElement
import mountmast.protocol.Clock
import mountmast.protocol.MonotonicTime
import mountmast.protocol.WallTime
import mountmast.protocol.WireJson
import mountmast.storage.CancellationWatermarkRecord
import mountmast.storage.Keys

/**
 * Writes the low watermark of cancellations: tasks of jobs whose cancellation was committed before it no longer run. The next leader
 * reads it, and so do the nodes that renew worker leases on that leader's behalf. Guarded by the lock of [PersistenceContext].
 */
internal class CancellationWatermarkWriter(private val context: PersistenceContext, private val clock: Clock) : BatchContributor {
    private var notBefore = MonotonicTime(0)
    private var lastAdded: WallTime? = null

    override fun contribute(batch: WriteBatch, options: BatchOptions) {
        val now = clock.now()
        if (now < notBefore || batch.remainingOps <= 0) return
        notBefore = now + INTERVAL_MS
        val watermark = context.jobs.watermark()
        if (watermark == lastAdded) return
        lastAdded = watermark
        batch.put(Keys.WATERMARK, WireJson.encodeToJsonElement(CancellationWatermarkRecord(watermark)))
    }

    override fun requeue() {
        notBefore = MonotonicTime(0)
        lastAdded = null
    }

    private companion object {
        const val INTERVAL_MS = 2000L
    }
}
