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
 * Writes which images the machines have cached, one bucket of machines at a time, as a hint for the next leader. Heartbeats do not list
 * cached images, and a leader without the hint sends urgent tasks to machines that must fetch the image first. Guarded as its
 * [ClusterState] is.
 */
internal class ImagesWriter(private val cluster: ClusterState, private val clock: Clock) : BatchContributor {
    private var notBefore = MonotonicTime(Long.MIN_VALUE / 2)
    private var nextBucket = 0
    private val lastAdded = HashMap<Int, Map<MachineId, ImageSizesGb>>()

    override fun contribute(batch: WriteBatch, options: BatchOptions) {
        val now = clock.now()
        if (batch.remainingOps <= 0 || now < notBefore) return
        notBefore = now + if (options.isScarce) SCARCE_INTERVAL_MS else INTERVAL_MS
        val buckets = computeBucketCount(options.limits.valueBytes)
        // Unless writes are scarce, each bucket is written within ROUND_MS, however many buckets there are.
        val dueBuckets = if (options.isScarce) 1 else 1 + buckets * INTERVAL_MS.toInt() / ROUND_MS
        repeat(minOf(dueBuckets, buckets)) { addNextBucket(batch, buckets, options.limits) }
    }

    private fun addNextBucket(batch: WriteBatch, buckets: Int, limits: WriteLimits) {
        if (batch.remainingOps <= 0) return
        val bucket = nextBucket % buckets
        nextBucket = bucket + 1
        val images = collectImages(bucket, buckets, limits.valueBytes - TextCodec.ENVELOPE_BYTES)
        if (images == lastAdded[bucket] || (images.isEmpty() && bucket !in lastAdded)) return
        lastAdded[bucket] = images
        batch.put(Keys.IMAGES + bucket, WireJson.encodeToJsonElement(ImagesRecord(images)))
    }

    /** Returns how many buckets the machines need: a power of two, so that machines rarely move to another bucket. */
    private fun computeBucketCount(valueBytes: Int): Int {
        var buckets = MIN_BUCKETS
        while (buckets.toLong() * valueBytes < cluster.machines.size.toLong() * USUAL_MACHINE_BYTES) buckets *= 2
        return buckets
    }

    /** Returns the images on the machines of [bucket], for as many machines as fit into [maxBytes] of JSON. */
    private fun collectImages(bucket: Int, buckets: Int, maxBytes: Int): Map<MachineId, ImageSizesGb> {
        val imagesByMachine = LinkedHashMap<MachineId, ImageSizesGb>()
        var bytes = 0
        for (machine in cluster.machines.values) {
            if (machine.id.hashCode().mod(buckets) != bucket || machine.images.isEmpty()) continue
            val images = machine.images.mapValuesTo(LinkedHashMap()) { (_, sizeGb) -> Math.rint(sizeGb * STEPS_PER_GB) / STEPS_PER_GB }
            // The braces of this object count in place of the comma between two machines in the record.
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

        /** Approximate JSON size of a machine with some images, with a margin for buckets with more machines than the average. */
        const val USUAL_MACHINE_BYTES = 128

        /** Time within which each bucket is written once, unless writes are scarce. */
        const val ROUND_MS = 60_000

        /** Sizes are rounded to a hundredth of a gigabyte. */
        const val STEPS_PER_GB = 100.0
    }
}
