package mountmast.protocol

/**
 * The limits of the state service.
 *
 * @property writesPerSecond puts and deletes
 * @property valueKb the largest value in KiB
 * @property transactionOps the most puts and deletes in one transaction
 */
data class StateLimits(val requestsPerSecond: Double, val writesPerSecond: Double, val valueKb: Double, val transactionOps: Int) {
    /** The most compares in one transaction. */
    val transactionCompares: Int get() = transactionOps * COMPARES_PER_OP

    /** Bytes of JSON up to which values are filled: less than the limit, since the state service may write them at greater length. */
    val valueBytes: Int get() = (valueKb * BYTES_PER_KB * FILLED_SHARE).toInt()

    /** Returns the lower of each limit of this and [other]. */
    fun lowerOf(other: StateLimits) = StateLimits(
        requestsPerSecond = minOf(requestsPerSecond, other.requestsPerSecond),
        writesPerSecond = minOf(writesPerSecond, other.writesPerSecond),
        valueKb = minOf(valueKb, other.valueKb),
        transactionOps = minOf(transactionOps, other.transactionOps),
    )

    companion object {
        /** A transaction takes four times as many compares as changes. */
        const val COMPARES_PER_OP = 4

        private const val BYTES_PER_KB = 1024
        private const val FILLED_SHARE = 0.95

        /** A finished job is moved: one put and one delete. */
        const val MIN_TRANSACTION_OPS = 2
    }
}
