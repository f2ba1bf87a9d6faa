package mountmast.storage

import kotlinx.serialization.json.JsonElement
import mountmast.protocol.ModRevision
import mountmast.protocol.Revision
import mountmast.protocol.StoreLeaseId

/** A key with its value and the revision at which it was last modified. */
data class Entry(val key: String, val value: JsonElement, val modRevision: ModRevision)

/**
 * Some of the keys with a prefix, in the order of the keys.
 *
 * @property more whether further keys follow
 * @property revision of the store when the page was read
 */
data class EntryPage(val entries: List<Entry>, val more: Boolean, val revision: Revision)

/** A change of a key that a watch returned; [value] is null if the key was deleted. */
data class WatchEvent(val key: String, val value: JsonElement?, val modRevision: ModRevision)

/** What a watch of a prefix returned. */
sealed interface WatchResult {
    /** All changes up to the revision [upTo], from which the next watch goes on. */
    data class Changes(val changes: List<WatchEvent>, val upTo: Revision) : WatchResult

    /** The store no longer holds the changes since the requested revision: the keys must be listed again. */
    data object Compacted : WatchResult
}

/**
 * The state service: a small consistent key-value store in which all lasting state is kept. Thread-safe. Each call throws a
 * [StoreException] if it does not succeed, and waits no longer than some seconds.
 */
interface StateStore {
    /** Whether this node has lately had an answer from the state service. */
    val isReachable: Boolean

    /** Sets this node's share of the store's rates to that of the leader or of another node. */
    fun setRole(leader: Boolean)

    /** How many changes may be written now by work that no user waits for. */
    fun writeBudget(): WriteBudget = WriteBudget.AMPLE

    /** Returns the entry of [key], or null if it does not exist. */
    fun get(key: String): Entry?

    /** Returns up to [limit] entries whose keys begin with [prefix] and come after the key [after], if that is given. */
    fun list(prefix: String, after: String? = null, limit: Int = MAX_PER_PAGE): EntryPage

    /**
     * Executes [transaction] if its compares hold. Throws [StoreTimeoutException] if it may have been executed all the same,
     * [StoreRequestRejectedException] if it is too large, and [StoreLeaseExpiredException] if a put names an expired lease.
     */
    fun commit(transaction: Transaction): TransactionResult

    /** Grants a lease that expires [ttlMs] milliseconds after it was last kept alive. */
    fun grantLease(ttlMs: Long): StoreLeaseId

    /** Renews [storeLease] for its whole time to live; returns false if it has expired. */
    fun keepAlive(storeLease: StoreLeaseId): Boolean

    /** Ends [storeLease], which deletes the keys attached to it. */
    fun revokeLease(storeLease: StoreLeaseId)

    /** Returns the changes of keys with [prefix] since [from], as soon as there are any, but after [waitMs] milliseconds at the latest. */
    fun watch(prefix: String, from: Revision, waitMs: Long): WatchResult

    /** Returns every entry with [prefix], and the revision from which a watch sees all later changes. */
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
        /** The most entries that the state service returns in one page. */
        const val MAX_PER_PAGE = 500
    }
}
