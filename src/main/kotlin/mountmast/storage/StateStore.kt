package mountmast.storage

import kotlinx.serialization.json.JsonElement
import mountmast.protocol.ModRevision
import mountmast.protocol.Revision
import mountmast.protocol.StoreLeaseId

/** The state service did not carry out what was asked. */
open class StoreException(message: String) : Exception(message)

/** It refused: nothing was executed, nor will be. */
class StoreUnavailableException(message: String) : StoreException(message)

/**
 * It refused a transaction as malformed or larger than it takes. The same again would be refused again.
 *
 * @property largestKey the key with the largest value
 */
class StoreRequestRejectedException(val largestKey: String, val largestBytes: Int, val changes: Int, val answer: String) :
    StoreException("rejected: $changes changes, the largest value $largestBytes bytes at $largestKey: $answer") {
    companion object {
        fun of(transaction: Transaction, answer: String): StoreRequestRejectedException {
            val largest = transaction.writes.filterIsInstance<Write.Put>().maxByOrNull { jsonSize(it.value) }
            return StoreRequestRejectedException(largest?.key.orEmpty(), largest?.let { jsonSize(it.value) } ?: 0, transaction.writes.size, answer)
        }
    }
}

/** It was silent: the request may have been executed, or still be executed later. */
class StoreTimeoutException(message: String) : StoreException(message)

/** The hold that was named has ended. */
class StoreLeaseExpiredException(storeLease: StoreLeaseId) : StoreException("hold $storeLease has ended")

/** A key with its value. */
data class Entry(val key: String, val value: JsonElement, val modRevision: ModRevision)

/** Some of the keys with a prefix, in key order. */
data class EntryPage(val entries: List<Entry>, val more: Boolean, val revision: Revision)

/** A key must have this version for a transaction to be carried out. */
data class Compare(val key: String, val modRevision: ModRevision)

/** A change of one key. */
sealed interface Write {
    val key: String

    data class Put(override val key: String, val value: JsonElement, val storeLease: StoreLeaseId? = null) : Write
    data class Delete(override val key: String) : Write
}

/** Changes that are made all together or not at all. */
data class Transaction(val compares: List<Compare>, val writes: List<Write>)

/** What became of a transaction. */
sealed interface TransactionResult {
    data class Committed(val revision: Revision) : TransactionResult
    data class CompareFailed(val failed: List<String>) : TransactionResult
}

/** A change seen by following a prefix; [value] is null where the key was deleted. */
data class WatchEvent(val key: String, val value: JsonElement?, val modRevision: ModRevision)

/** What following a prefix got. */
sealed interface WatchResult {
    data class Changes(val changes: List<WatchEvent>, val upTo: Revision) : WatchResult

    /** The revision is too old: the keys must be read again. */
    data object Compacted : WatchResult
}

/** The small consistent store in which all lasting state is kept. Every call throws [StoreException] where it fails. */
interface StateStore {
    /** Whether this node gets answers from the state service. */
    val isReachable: Boolean

    /** Tells how large this node's share of the rates is to be. */
    fun setRole(leader: Boolean)

    /** How much of this node's share of the changes is left for work that users do not wait for. */
    fun writeBudget(): WriteBudget = WriteBudget.AMPLE

    /** The entry, or null where the key does not exist. */
    fun get(key: String): Entry?
    fun list(prefix: String, after: String? = null, limit: Int = MAX_PER_PAGE): EntryPage
    fun commit(transaction: Transaction): TransactionResult
    fun grantLease(ttlMs: Long): StoreLeaseId

    /** False where the hold has ended. */
    fun keepAlive(storeLease: StoreLeaseId): Boolean
    fun revokeLease(storeLease: StoreLeaseId)
    fun watch(prefix: String, from: Revision, waitMs: Long): WatchResult

    /** Every entry with [prefix], and the revision from which following sees all later changes. */
    fun listAll(prefix: String): Pair<List<Entry>, Revision> {
        val entries = ArrayList<Entry>()
        // The oldest page's revision: changes between two pages are then seen again rather than missed.
        var from: Revision? = null
        while (true) {
            val page = list(prefix, entries.lastOrNull()?.key)
            from = from ?: page.revision
            entries += page.entries
            if (!page.more || page.entries.isEmpty()) return entries to from
        }
    }

    companion object {
        const val MAX_PER_PAGE = 500
    }
}
