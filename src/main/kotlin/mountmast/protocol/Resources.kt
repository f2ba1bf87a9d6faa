package mountmast.protocol

/** Resources of a task, machine or team: virtual processors, GPUs, and memory in gigabytes. */
data class Resources(val cpus: Double, val gpus: Double, val memoryGb: Double) {
    operator fun plus(other: Resources) = Resources(cpus + other.cpus, gpus + other.gpus, memoryGb + other.memoryGb)

    operator fun minus(other: Resources) = Resources(cpus - other.cpus, gpus - other.gpus, memoryGb - other.memoryGb)

    operator fun times(count: Int) = Resources(cpus * count, gpus * count, memoryGb * count)

    /** Returns these resources rounded to a millionth, so that sums of the same amounts in a different order are equal. */
    fun rounded() = Resources(rounded(cpus), rounded(gpus), rounded(memoryGb))

    private fun rounded(amount: Double) = Math.rint(amount * STEPS_PER_UNIT) / STEPS_PER_UNIT

    /** Whether these resources fit into the [free] resources of a machine or team. */
    fun fitsWithin(free: Resources) = cpus <= free.cpus + EPSILON && gpus <= free.gpus + EPSILON && memoryGb <= free.memoryGb + EPSILON

    /** Returns how many times these resources fit into the [free] ones, but at most [maximum]. */
    fun instancesWithin(free: Resources, maximum: Int): Int {
        var times = maximum.toDouble()
        if (cpus > 0) times = minOf(times, Math.floor((free.cpus + EPSILON) / cpus))
        if (gpus > 0) times = minOf(times, Math.floor((free.gpus + EPSILON) / gpus))
        if (memoryGb > 0) times = minOf(times, Math.floor((free.memoryGb + EPSILON) / memoryGb))
        return maxOf(0, times.toInt())
    }

    companion object {
        /** Differences up to this size are taken for rounding errors. */
        const val EPSILON = 1e-6
        private const val STEPS_PER_UNIT = 1e6

        /** No resources at all. */
        val NONE = Resources(0.0, 0.0, 0.0)
    }
}
