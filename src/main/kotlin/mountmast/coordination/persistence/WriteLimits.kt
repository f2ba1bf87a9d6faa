package mountmast.coordination.persistence

import mountmast.protocol.StateLimits

/**
 * Sizes up to which the leader fills values and transactions.
 *
 * @property valueBytes most bytes of JSON in one value
 * @property transactionOps most puts and deletes in one transaction
 */
internal data class WriteLimits(val valueBytes: Int, val transactionOps: Int) {
    /** Whether these are the smallest limits, which are not halved any further. */
    val isMinimum: Boolean get() = valueBytes == MIN_VALUE_BYTES && transactionOps == StateLimits.MIN_TRANSACTION_OPS

    /** Returns half of these limits, but never less than the minimum, for a store that accepts less than the settings say. */
    fun halved() = WriteLimits(
        maxOf(valueBytes / 2, MIN_VALUE_BYTES),
        maxOf(transactionOps / 2, StateLimits.MIN_TRANSACTION_OPS),
    )

    companion object {
        /** The longest journal entry fits into a value of this size, together with the JSON around it. */
        private const val MIN_VALUE_BYTES = 512

        /** Returns the [limits] of the settings, but never less than the minimum. */
        fun of(limits: StateLimits) = WriteLimits(
            maxOf(limits.valueBytes, MIN_VALUE_BYTES),
            limits.transactionOps,
        )
    }
}
