package mountmast.storage

import mountmast.protocol.StoreLeaseId

/** A call to the state service that did not succeed. The subclasses say what the caller must assume. */
open class StoreException(message: String) : Exception(message)

/** The state service refused the call or could not be reached: nothing was executed, nor will be. */
class StoreUnavailableException(message: String) : StoreException(message)

/** No answer arrived: the request may have been executed, or may still be executed later. */
class StoreTimeoutException(message: String) : StoreException(message)

/** The lease that a call named has expired, with all keys attached to it. */
class StoreLeaseExpiredException(storeLease: StoreLeaseId) : StoreException("hold $storeLease has ended")

/**
 * The state service rejected a transaction as malformed or too large. The same transaction would be rejected again.
 *
 * @property largestKey the key whose value is the largest of the transaction, or an empty text if it puts nothing
 * @property largestBytes size of that value as JSON
 * @property changes number of puts and deletes
 * @property answer what the state service said
 */
class StoreRequestRejectedException(val largestKey: String, val largestBytes: Int, val changes: Int, val answer: String) :
    StoreException("rejected: $changes changes, the largest value $largestBytes bytes at $largestKey: $answer") {
    companion object {
        /** Describes the rejection of [transaction] with [answer]. */
        fun of(transaction: Transaction, answer: String): StoreRequestRejectedException {
            val largest = transaction.writes.filterIsInstance<Write.Put>().maxByOrNull { jsonSize(it.value) }
            val largestBytes = largest?.let { jsonSize(it.value) } ?: 0
            return StoreRequestRejectedException(largest?.key.orEmpty(), largestBytes, transaction.writes.size, answer)
        }
    }
}
