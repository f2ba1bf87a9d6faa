package mountmast.storage

import mountmast.protocol.StoreLeaseId

/** A call to the state service did not succeed. The subclasses tell whether the request may have been executed. */
open class StoreException(message: String) : Exception(message)

/** The call was refused, or the state service could not be reached: the request was not executed and will not be. */
class StoreUnavailableException(message: String) : StoreException(message)

/** No readable answer arrived: the request may have been executed, or may still be. */
class StoreTimeoutException(message: String) : StoreException(message)

/** A transaction refers to a lease of the state service that has expired. The keys attached to the lease have been deleted. */
class StoreLeaseExpiredException(storeLease: StoreLeaseId) : StoreException("lease $storeLease of the state service has expired")

/**
 * The state service rejected a transaction as malformed or too large. The same transaction would be rejected again.
 *
 * @property largestKey the key with the largest value in the transaction, or an empty string if the transaction contains no put
 * @property largestBytes size of that value as JSON, in bytes; 0 if there is none
 * @property changes number of puts and deletes
 * @property answer beginning of the state service's answer
 */
class StoreRequestRejectedException(val largestKey: String, val largestBytes: Int, val changes: Int, val answer: String) :
    StoreException("rejected: $changes changes, the largest value $largestBytes bytes at $largestKey: $answer") {
    companion object {
        /** Returns the exception for a [transaction] that the state service rejected with [answer]. */
        fun of(transaction: Transaction, answer: String): StoreRequestRejectedException {
            val largest = transaction.writes.filterIsInstance<Write.Put>().maxByOrNull { jsonSize(it.value) }
            val largestBytes = largest?.let { jsonSize(it.value) } ?: 0
            return StoreRequestRejectedException(largest?.key.orEmpty(), largestBytes, transaction.writes.size, answer)
        }
    }
}
