package mountmast.coordination.persistence

import kotlinx.serialization.json.encodeToJsonElement
import mountmast.coordination.state.ClusterState
import mountmast.protocol.Clock
import mountmast.protocol.ImageId
import mountmast.protocol.MachineId
import mountmast.protocol.MonotonicTime
import mountmast.protocol.WireJson
import mountmast.storage.ImagesRecord
import mountmast.storage.Keys
import mountmast.storage.TextCodec
import mountmast.storage.jsonSize

/**
 * Notes now and then which images machines hold, a share of the machines at a time: reports do not say, and a new leader
 * that does not know sends urgent work to machines that must fetch first.
 */
class ImagesWriter(private val cluster: ClusterState, private val clock: Clock) {
    private var notBefore = MonotonicTime(Long.MIN_VALUE / 2)
    private var nextBucket = 0
    private val written = HashMap<Int, Map<MachineId, Map<ImageId, Double>>>()

    fun addTo(batch: WriteBatch, limits: WriteLimits, isScarce: Boolean) {
        val now = clock.now()
        if (batch.room <= 0 || now < notBefore) return
        notBefore = now + if (isScarce) SHORT_EVERY_MS else EVERY_MS
        val buckets = buckets(limits.valueBytes)
        // While there is room each bucket's turn comes within a minute, however many there are.
        val turns = if (isScarce) 1 else 1 + buckets * EVERY_MS.toInt() / ROUND_MS
        repeat(minOf(turns, buckets)) { addNext(batch, buckets, limits) }
    }

    private fun addNext(batch: WriteBatch, buckets: Int, limits: WriteLimits) {
        if (batch.room <= 0) return
        val bucket = nextBucket % buckets
        nextBucket = bucket + 1
        val held = held(bucket, buckets, limits.valueBytes - TextCodec.ENVELOPE_BYTES)
        if (held == written[bucket] || (held.isEmpty() && bucket !in written)) return
        written[bucket] = held
        batch.put(Keys.IMAGES + bucket, WireJson.encodeToJsonElement(ImagesRecord(held)))
    }

    /** As many as the machines need, by powers of two, so that few machines ever change their bucket. */
    private fun buckets(valueBytes: Int): Int {
        var buckets = LEAST_BUCKETS
        while (buckets.toLong() * valueBytes < cluster.machines.size.toLong() * USUAL_MACHINE_BYTES) buckets *= 2
        return buckets
    }

    /** What the machines of [bucket] hold, as many of them as there is room for. */
    private fun held(bucket: Int, buckets: Int, mostBytes: Int): Map<MachineId, Map<ImageId, Double>> {
        val held = LinkedHashMap<MachineId, Map<ImageId, Double>>()
        var bytes = 0
        for (machine in cluster.machines.values) {
            if (machine.id.hashCode().mod(buckets) != bucket || machine.images.isEmpty()) continue
            val images = machine.images.mapValuesTo(LinkedHashMap()) { (_, sizeGb) -> Math.rint(sizeGb * SIZE_STEPS) / SIZE_STEPS }
            // The braces around it stand for the comma before it.
            bytes += jsonSize(WireJson.encodeToJsonElement(mapOf(machine.id to images)))
            if (bytes > mostBytes) break
            held[machine.id] = images
        }
        return held
    }

    private companion object {
        const val EVERY_MS = 1500L
        const val SHORT_EVERY_MS = 6000L

        const val LEAST_BUCKETS = 8

        /** About what a machine with some images takes, with room for buckets that get more than their share. */
        const val USUAL_MACHINE_BYTES = 128

        /** Within so long all buckets are written once, while changes are not short. */
        const val ROUND_MS = 60_000

        /** Sizes are noted to a hundredth of a gigabyte. */
        const val SIZE_STEPS = 100.0
    }
}
