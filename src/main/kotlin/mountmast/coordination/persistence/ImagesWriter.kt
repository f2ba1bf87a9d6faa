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

private typealias ImageSizesGb = Map<ImageId, Double>

/**
 * Writes which images the machines have cached, one bucket of machines at a time, as a hint: heartbeats do not say, and a new leader
 * that does not know sends urgent work to machines that must fetch first. Guarded as its [ClusterState] is.
 */
internal class ImagesWriter(private val cluster: ClusterState, private val clock: Clock) : BatchContributor {
    private var notBefore = MonotonicTime(Long.MIN_VALUE / 2)
    private var nextBucket = 0
    private val lastAdded = HashMap<Int, Map<MachineId, ImageSizesGb>>()

    override fun contribute(batch: WriteBatch, options: BatchOptions) {
        val now = clock.now()
        if (batch.remainingOps <= 0 || now < notBefore) return
        notBefore = now + if (options.isScarce) SCARCE_INTERVAL_MS else INTERVAL_MS
        val buckets = bucketCount(options.limits.valueBytes)
        // Unless writes are scarce each bucket is written within a minute, however many there are.
        val due = if (options.isScarce) 1 else 1 + buckets * INTERVAL_MS.toInt() / ROUND_MS
        repeat(minOf(due, buckets)) { addNextBucket(batch, buckets, options.limits) }
    }

    private fun addNextBucket(batch: WriteBatch, buckets: Int, limits: WriteLimits) {
        if (batch.remainingOps <= 0) return
        val bucket = nextBucket % buckets
        nextBucket = bucket + 1
        val images = imagesOf(bucket, buckets, limits.valueBytes - TextCodec.ENVELOPE_BYTES)
        if (images == lastAdded[bucket] || (images.isEmpty() && bucket !in lastAdded)) return
        lastAdded[bucket] = images
        batch.put(Keys.IMAGES + bucket, WireJson.encodeToJsonElement(ImagesRecord(images)))
    }

    /** How many buckets the machines need: a power of two, so that few machines ever change their bucket. */
    private fun bucketCount(valueBytes: Int): Int {
        var buckets = MIN_BUCKETS
        while (buckets.toLong() * valueBytes < cluster.machines.size.toLong() * USUAL_MACHINE_BYTES) buckets *= 2
        return buckets
    }

    /** The images on the machines of [bucket], of as many machines as fit into [maxBytes]. */
    private fun imagesOf(bucket: Int, buckets: Int, maxBytes: Int): Map<MachineId, ImageSizesGb> {
        val imagesByMachine = LinkedHashMap<MachineId, ImageSizesGb>()
        var bytes = 0
        for (machine in cluster.machines.values) {
            if (machine.id.hashCode().mod(buckets) != bucket || machine.images.isEmpty()) continue
            val images = machine.images.mapValuesTo(LinkedHashMap()) { (_, sizeGb) -> Math.rint(sizeGb * STEPS_PER_GB) / STEPS_PER_GB }
            // The braces around it stand for the comma before it.
            bytes += jsonSize(WireJson.encodeToJsonElement(mapOf(machine.id to images)))
            if (bytes > maxBytes) break
            imagesByMachine[machine.id] = images
        }
        return imagesByMachine
    }

    private companion object {
        const val INTERVAL_MS = 1500L
        const val SCARCE_INTERVAL_MS = 6000L

        const val MIN_BUCKETS = 8

        /** About what a machine with some images takes, with a margin for buckets that get more than their share. */
        const val USUAL_MACHINE_BYTES = 128

        /** All buckets are written once within this time, unless writes are scarce. */
        const val ROUND_MS = 60_000

        /** Sizes are rounded to a hundredth of a gigabyte. */
        const val STEPS_PER_GB = 100.0
    }
}
