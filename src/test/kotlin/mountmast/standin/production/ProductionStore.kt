package mountmast.standin.production

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import mountmast.protocol.Revision
import mountmast.protocol.StoreLeaseId
import mountmast.storage.Entry
import mountmast.storage.EntryPage
import mountmast.storage.StateStore
import mountmast.storage.Transaction
import mountmast.storage.TransactionResult
import mountmast.storage.WatchEvent
import mountmast.storage.WatchResult
import mountmast.storage.Write
import mountmast.storage.WriteBudget

/**
 * The state service as a process of the version in production uses it: every value goes through that version's classes on
 * its way in and out, so that fields which it does not know are lost, and keys that it does not know do not exist for it.
 *
 * Throws [BrokenContract] where it meets what it would misread.
 */
class ProductionStore(private val inner: StateStore) : StateStore {
    override val isReachable: Boolean get() = inner.isReachable

    override fun setRole(leader: Boolean) = inner.setRole(leader)

    override fun writeBudget(): WriteBudget = inner.writeBudget()

    override fun get(key: String): Entry? {
        // It is asked all the same, as the code that stands for production's asks.
        val entry = inner.get(key) ?: return null
        return if (ProductionForms.knows(key)) entry.copy(value = read(key, entry.value)) else null
    }

    override fun list(prefix: String, after: String?, limit: Int): EntryPage {
        val page = inner.list(prefix, after, limit)
        return page.copy(entries = page.entries.map { it.copy(value = read(it.key, it.value)) })
    }

    override fun watch(prefix: String, from: Revision, waitMs: Long): WatchResult = when (val outcome = inner.watch(prefix, from, waitMs)) {
        is WatchResult.Changes -> outcome.copy(changes = outcome.changes.map(::read))
        WatchResult.Compacted -> outcome
    }

    private fun read(change: WatchEvent): WatchEvent = change.copy(value = change.value?.let { read(change.key, it) })

    private fun read(key: String, value: JsonElement): JsonElement {
        val read = ProductionForms.pass(key, value)
        val lost = lostFields(value, read) - if (key.startsWith(FINISHED)) FIELDS_FOR_LATER_VERSIONS else emptySet()
        if (lost.isNotEmpty()) throw BrokenContract("production reads past $lost of $key: $value")
        return read
    }

    /** Names of the fields, at any depth, that [whole] has and [read] does not. */
    private fun lostFields(whole: JsonElement, read: JsonElement): Set<String> = when {
        whole is JsonObject && read is JsonObject -> whole.keys - read.keys + read.flatMap { (name, value) ->
            whole[name]?.let { lostFields(it, value) }.orEmpty()
        }
        whole is JsonArray && read is JsonArray -> whole.zip(read).flatMapTo(HashSet()) { (before, after) -> lostFields(before, after) }
        else -> emptySet()
    }

    override fun commit(transaction: Transaction): TransactionResult = inner.commit(Transaction(transaction.compares, written(transaction)))

    private fun written(transaction: Transaction): List<Write> = transaction.writes.filter { ProductionForms.knows(it.key) }.map { write ->
        if (write is Write.Put) write.copy(value = ProductionForms.pass(write.key, write.value)) else write
    }

    override fun grantLease(ttlMs: Long): StoreLeaseId = inner.grantLease(ttlMs)

    override fun keepAlive(storeLease: StoreLeaseId): Boolean = inner.keepAlive(storeLease)

    override fun revokeLease(storeLease: StoreLeaseId) = inner.revokeLease(storeLease)

    private companion object {
        const val FINISHED = "f/"

        /** When a job ended and whether it was a service: production has no use for either and loses nothing by it. */
        val FIELDS_FOR_LATER_VERSIONS = setOf("at", "sv")
    }
}
