package mountmast.coordination.persistence

import mountmast.protocol.StateLimits

/**
 * The sizes up to which the leader fills values and transactions.
 *
 * @property valueBytes bytes of JSON in a value
 * @property transactionOps puts and deletes in a transaction
 */
internal data class WriteLimits(val valueBytes: Int, val transactionOps: Int) {
    /** Whether nothing smaller is tried. */
    val isMinimum: Boolean get() = valueBytes == MIN_VALUE_BYTES && transactionOps == StateLimits.MIN_TRANSACTION_OPS

    /** Half of these limits, though never below the minimum: for a store that accepts less than the settings say. */
    fun halved() = WriteLimits(
        maxOf(valueBytes / 2, MIN_VALUE_BYTES),
        maxOf(transactionOps / 2, StateLimits.MIN_TRANSACTION_OPS),
    )

    companion object {
        /** The longest entry of the journal fits, with the JSON around it. */
        private const val MIN_VALUE_BYTES = 512

        /** The limits that the settings give, though never below the minimum. */
        fun of(limits: StateLimits) = WriteLimits(
            maxOf(limits.valueBytes, MIN_VALUE_BYTES),
            limits.transactionOps,
        )
    }
}
