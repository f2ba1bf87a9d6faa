package mountmast.protocol

/** Resources that a task takes, or that a machine or team has: virtual processors, GPUs and memory in gigabytes. */
data class Resources(val cpus: Double, val gpus: Double, val memoryGb: Double) {
    operator fun plus(other: Resources) = Resources(cpus + other.cpus, gpus + other.gpus, memoryGb + other.memoryGb)

    operator fun minus(other: Resources) = Resources(cpus - other.cpus, gpus - other.gpus, memoryGb - other.memoryGb)

    operator fun times(count: Int) = Resources(cpus * count, gpus * count, memoryGb * count)

    /** Rounded to a millionth, so that sums that were taken in another order are equal. */
    fun rounded() = Resources(rounded(cpus), rounded(gpus), rounded(memoryGb))

    private fun rounded(amount: Double) = Math.rint(amount * ROUNDED_STEPS) / ROUNDED_STEPS

    /** Whether this fits into the [free] resources of a machine or team. */
    fun fitsWithin(free: Resources) = cpus <= free.cpus + EPSILON && gpus <= free.gpus + EPSILON && memoryGb <= free.memoryGb + EPSILON

    /** How many times this fits into the [free] resources, at most [maximum]. */
    fun instancesWithin(free: Resources, maximum: Int): Int {
        var times = maximum.toDouble()
        if (cpus > 0) times = minOf(times, Math.floor((free.cpus + EPSILON) / cpus))
        if (gpus > 0) times = minOf(times, Math.floor((free.gpus + EPSILON) / gpus))
        if (memoryGb > 0) times = minOf(times, Math.floor((free.memoryGb + EPSILON) / memoryGb))
        return maxOf(0, times.toInt())
    }

    companion object {
        /** Differences below this are rounding. */
        const val EPSILON = 1e-6
        private const val ROUNDED_STEPS = 1e6

        /** No resources at all. */
        val NONE = Resources(0.0, 0.0, 0.0)
    }
}
