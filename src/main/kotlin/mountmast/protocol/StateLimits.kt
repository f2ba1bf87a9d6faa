package mountmast.protocol

/** What the state service takes at most. */
data class StateLimits(
    val requestsPerSecond: Double,
    /** Puts and deletes. */
    val writesPerSecond: Double,
    /** Largest value, in KiB. */
    val valueKb: Double,
    /** Puts and deletes in one transaction. */
    val transactionOps: Int,
) {
    /** Conditions in one transaction. */
    val transactionCompares: Int get() = transactionOps * COMPARES_PER_OP

    /** Bytes of JSON that a value is filled up to: some room is left, since the state service may write it at greater length. */
    val valueBytes: Int get() = (valueKb * BYTES_PER_KB * FILLED_SHARE).toInt()

    /** Each limit as low as the lower of the two has it. */
    fun lowerOf(other: StateLimits) = StateLimits(
        requestsPerSecond = minOf(requestsPerSecond, other.requestsPerSecond),
        writesPerSecond = minOf(writesPerSecond, other.writesPerSecond),
        valueKb = minOf(valueKb, other.valueKb),
        transactionOps = minOf(transactionOps, other.transactionOps),
    )

    companion object {
        /** A transaction takes four times as many conditions as changes. */
        const val COMPARES_PER_OP = 4

        private const val BYTES_PER_KB = 1024
        private const val FILLED_SHARE = 0.95

        /** A job that is over is moved: one put and one delete. */
        const val MIN_TRANSACTION_OPS = 2
    }
}
