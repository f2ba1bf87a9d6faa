package mountmast.coordination.state

import mountmast.protocol.ImageId

/**
 * The images that the worker of one machine is expected to have in its cache. This is an estimate from the tasks placed there,
 * since the worker does not report its cache. Guarded by the lock of the leader's term.
 */
internal class ImageCache {
    /** The sizes of the images in GB, the least recently used image first. */
    val images = LinkedHashMap<ImageId, Double>()

    /** Adds the images that the previous leader recorded, except those that are known already. */
    fun restore(recorded: Map<ImageId, Double>) {
        for ((image, sizeGb) in recorded) images.putIfAbsent(image, sizeGb)
    }

    /** Records a use of [image] and evicts the least recently used images until the rest fits into [cacheGb]. */
    fun touch(image: ImageId, sizeGb: Double, cacheGb: Double) {
        images.remove(image)
        images[image] = sizeGb
        var usedGb = images.values.sum()
        val oldestImages = images.entries.iterator()
        while (usedGb > cacheGb && oldestImages.hasNext()) {
            usedGb -= oldestImages.next().value
            oldestImages.remove()
        }
    }
}
