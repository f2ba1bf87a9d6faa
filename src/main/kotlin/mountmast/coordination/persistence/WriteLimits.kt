package mountmast.coordination.persistence

import mountmast.protocol.StateLimits

/**
 * What the leader fills values and transactions up to.
 *
 * @property valueBytes bytes of JSON in a value
 * @property transactionOps puts and deletes in a transaction
 */
data class WriteLimits(val valueBytes: Int, val transactionOps: Int) {
    /** Whether nothing smaller is tried. */
    val isLeast: Boolean get() = valueBytes == MIN_VALUE_BYTES && transactionOps == StateLimits.MIN_TRANSACTION_OPS

    /** For a state service that takes less than the settings say. */
    fun halved() = WriteLimits(
        maxOf(valueBytes / 2, MIN_VALUE_BYTES),
        maxOf(transactionOps / 2, StateLimits.MIN_TRANSACTION_OPS),
    )

    companion object {
        /** The longest entry of the journal fits, with the JSON around it. */
        private const val MIN_VALUE_BYTES = 512

        fun of(limits: StateLimits) = WriteLimits(
            maxOf(limits.valueBytes, MIN_VALUE_BYTES),
            limits.transactionOps,
        )
    }
}
