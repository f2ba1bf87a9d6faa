package mountmast.storage

import kotlinx.serialization.json.JsonElement
import mountmast.protocol.ModRevision
import mountmast.protocol.Revision
import mountmast.protocol.StoreLeaseId

/** Holds if [key] was last modified at [modRevision], or, with [ModRevision.ABSENT], if [key] does not exist. */
data class Compare(val key: String, val modRevision: ModRevision)

/** A change of one key. */
sealed interface Write {
    val key: String

    /** Sets [key] to [value]. If [storeLease] is given, the key is deleted when that lease expires. */
    data class Put(override val key: String, val value: JsonElement, val storeLease: StoreLeaseId? = null) : Write

    /** Deletes [key]. */
    data class Delete(override val key: String) : Write
}

/** Executes all [writes] atomically if all [compares] hold, and none of them otherwise. */
data class Transaction(val compares: List<Compare>, val writes: List<Write>)

/** The result of a transaction, as the state service answered it. */
sealed interface TransactionResult {
    /** The transaction was executed. [revision] is now the modification revision of every key that it put. */
    data class Committed(val revision: Revision) : TransactionResult

    /** No write was executed, since the compares of the keys [failed] did not hold. */
    data class CompareFailed(val failed: List<String>) : TransactionResult
}
