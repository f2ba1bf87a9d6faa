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
    fun restore(known: Map<ImageId, Double>) {
        for ((image, sizeGb) in known) images.putIfAbsent(image, sizeGb)
    }

    /** Records a use of [image] and evicts the least recently used images until the rest fits into [cacheGb]. */
    fun touch(image: ImageId, sizeGb: Double, cacheGb: Double) {
        images.remove(image)
        images[image] = sizeGb
        var used = images.values.sum()
        val oldest = images.entries.iterator()
        while (used > cacheGb && oldest.hasNext()) {
            used -= oldest.next().value
            oldest.remove()
        }
    }
}
