package mountmast.protocol

/**
 * Limits that the state service sets to its clients.
 *
 * @property requestsPerSecond requests of all nodes together, of any kind
 * @property writesPerSecond puts and deletes of all nodes together; a transaction counts as many as it contains
 * @property valueKb size of the largest value in KiB
 * @property transactionOps the largest number of puts and deletes in one transaction
 */
data class StateLimits(val requestsPerSecond: Double, val writesPerSecond: Double, val valueKb: Double, val transactionOps: Int) {
    /** The largest number of compares in one transaction. */
    val transactionCompares: Int get() = transactionOps * COMPARES_PER_OP

    /**
     * Size in bytes of JSON up to which this code fills a value. It is below the limit, since the state service may serialize the same
     * value to more bytes.
     */
    val valueBytes: Int get() = (valueKb * BYTES_PER_KB * MAX_FILL_RATIO).toInt()

    /** Returns limits of which each is the lower of this object's limit and that of [other]. */
    fun lowerOf(other: StateLimits) = StateLimits(
        requestsPerSecond = minOf(requestsPerSecond, other.requestsPerSecond),
        writesPerSecond = minOf(writesPerSecond, other.writesPerSecond),
        valueKb = minOf(valueKb, other.valueKb),
        transactionOps = minOf(transactionOps, other.transactionOps),
    )

    companion object {
        /** The state service accepts four times as many compares as puts and deletes in a transaction. */
        const val COMPARES_PER_OP = 4

        private const val BYTES_PER_KB = 1024
        private const val MAX_FILL_RATIO = 0.95

        /** A job that finishes takes two changes in one transaction: a put of its final state and a delete of its record. */
        const val MIN_TRANSACTION_OPS = 2
    }
}
