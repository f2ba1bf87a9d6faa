package mountmast.coordination.state

import mountmast.protocol.ImageId

/**
 * Images that were used on one machine, with their sizes in GB, least recently used first. A guess: the worker does not report its
 * cache. Guarded as its [ClusterState] is.
 */
internal class ImageCache {
    val images = LinkedHashMap<ImageId, Double>()

    /** Adds the images that an earlier leader knew of, where they are not known yet. */
    fun recall(known: Map<ImageId, Double>) {
        for ((image, sizeGb) in known) images.putIfAbsent(image, sizeGb)
    }

    /** Records a use of [image], and drops the least recently used images beyond the capacity of [cacheGb]. */
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
