package mountmast.storage

import kotlinx.serialization.json.JsonElement
import mountmast.protocol.ModRevision
import mountmast.protocol.Revision
import mountmast.protocol.StoreLeaseId

/** Requires that [key] was last modified at [modRevision]; [ModRevision.ABSENT] requires that it does not exist. */
data class Compare(val key: String, val modRevision: ModRevision)

/** A change of one key. */
sealed interface Write {
    val key: String

    /** Sets [key] to [value]; with a [storeLease] the key is deleted when that lease expires. */
    data class Put(override val key: String, val value: JsonElement, val storeLease: StoreLeaseId? = null) : Write

    /** Deletes [key]. */
    data class Delete(override val key: String) : Write
}

/** Writes that are executed all together if every one of [compares] holds, and not at all otherwise. */
data class Transaction(val compares: List<Compare>, val writes: List<Write>)

/** The outcome of a transaction that the state service answered. */
sealed interface TransactionResult {
    /** It was executed; every key that it wrote now has [revision] as its modification revision. */
    data class Committed(val revision: Revision) : TransactionResult

    /** Nothing was executed: the compares of the keys [failed] did not hold. */
    data class CompareFailed(val failed: List<String>) : TransactionResult
}
