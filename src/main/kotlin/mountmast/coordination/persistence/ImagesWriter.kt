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
 * Writes which images the machines have cached, as a hint for the next leader. The machines are divided into buckets by their ID, and
 * each bucket is stored as one value. Heartbeats do not list cached images, and a leader without the hint sends urgent tasks to machines
 * that must fetch the image first. Guarded as its [ClusterState] is.
 */
internal class ImagesWriter(private val cluster: ClusterState, private val clock: Clock) : BatchContributor {
    private var nextWriteNotBefore = MonotonicTime(Long.MIN_VALUE / 2)
    private var nextBucket = 0
    private val lastAddedByBucket = HashMap<Int, Map<MachineId, ImageSizesGb>>()

    override fun contribute(batch: WriteBatch, options: BatchOptions) {
        val now = clock.now()
        if (batch.remainingOps <= 0 || now < nextWriteNotBefore) return
        nextWriteNotBefore = now + if (options.areWritesScarce) SCARCE_WRITE_INTERVAL_MS else WRITE_INTERVAL_MS
        val bucketCount = computeBucketCount(options.limits.valueBytes)
        // Unless writes are scarce, each bucket is written within ROUND_MS, however many buckets there are.
        val dueBucketCount = if (options.areWritesScarce) 1 else 1 + bucketCount * WRITE_INTERVAL_MS.toInt() / ROUND_MS
        repeat(minOf(dueBucketCount, bucketCount)) { addNextBucket(batch, bucketCount, options.limits) }
    }

    private fun addNextBucket(batch: WriteBatch, bucketCount: Int, limits: WriteLimits) {
        if (batch.remainingOps <= 0) return
        val bucket = nextBucket % bucketCount
        nextBucket = bucket + 1
        val images = collectImages(bucket, bucketCount, limits.valueBytes - TextCodec.ENVELOPE_BYTES)
        if (images == lastAddedByBucket[bucket] || (images.isEmpty() && bucket !in lastAddedByBucket)) return
        lastAddedByBucket[bucket] = images
        batch.put(Keys.IMAGES + bucket, WireJson.encodeToJsonElement(ImagesRecord(images)))
    }

    /** Returns how many buckets the machines need: a power of two, so that machines rarely move to another bucket. */
    private fun computeBucketCount(valueBytes: Int): Int {
        var bucketCount = MIN_BUCKETS
        while (bucketCount.toLong() * valueBytes < cluster.machines.size.toLong() * USUAL_MACHINE_BYTES) bucketCount *= 2
        return bucketCount
    }

    /** Returns the images on the machines of [bucket], for as many machines as fit into [maxBytes] of JSON. */
    private fun collectImages(bucket: Int, bucketCount: Int, maxBytes: Int): Map<MachineId, ImageSizesGb> {
        val imagesByMachine = LinkedHashMap<MachineId, ImageSizesGb>()
        var bytes = 0
        for (machine in cluster.machines.values) {
            if (machine.id.hashCode().mod(bucketCount) != bucket || machine.images.isEmpty()) continue
            val images = machine.images.mapValuesTo(LinkedHashMap()) { (_, sizeGb) -> Math.rint(sizeGb * STEPS_PER_GB) / STEPS_PER_GB }
            // The braces of this JSON object are counted in place of the comma that separates two machines in the record.
            bytes += jsonSize(WireJson.encodeToJsonElement(mapOf(machine.id to images)))
            if (bytes > maxBytes) break
            imagesByMachine[machine.id] = images
        }
        return imagesByMachine
    }

    private companion object {
        const val WRITE_INTERVAL_MS = 1500L
        const val SCARCE_WRITE_INTERVAL_MS = 6000L

        const val MIN_BUCKETS = 8

        /**
         * Approximate size of one machine with its images, in bytes of JSON, with a margin for buckets that have more machines than the
         * average.
         */
        const val USUAL_MACHINE_BYTES = 128

        /** Time within which each bucket is written once, unless writes are scarce. */
        const val ROUND_MS = 60_000

        /** Image sizes are rounded to a hundredth of a gigabyte. */
        const val STEPS_PER_GB = 100.0
    }
}
