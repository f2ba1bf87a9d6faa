package mountmast.storage

import kotlinx.serialization.json.JsonElement
import mountmast.protocol.ModRevision
import mountmast.protocol.Revision
import mountmast.protocol.StoreLeaseId

/** A key of the state service with its value and the revision at which it was last modified. */
data class Entry(val key: String, val value: JsonElement, val modRevision: ModRevision)

/**
 * One page of the entries whose keys have a prefix, in the order of their keys.
 *
 * @property more whether further entries with the prefix follow
 * @property revision revision of the state service when the page was read
 */
data class EntryPage(val entries: List<Entry>, val more: Boolean, val revision: Revision)

/** A change of [key] that a watch returned. [value] is the new value, or null if the key was deleted. */
data class WatchEvent(val key: String, val value: JsonElement?, val modRevision: ModRevision)

/** Result of a watch on the keys with a prefix. */
sealed interface WatchResult {
    /** All changes from the requested revision up to [upTo], from which the next watch continues. */
    data class Changes(val changes: List<WatchEvent>, val upTo: Revision) : WatchResult

    /** The state service has discarded changes since the requested revision, so the caller must list the keys again. */
    data object Compacted : WatchResult
}

/**
 * Client of the state service, a consistent key-value store that holds all persistent state. Thread-safe. Each call throws a
 * [StoreException] if it does not succeed, and returns or throws within a few seconds; a [watch] takes up to its own waiting time more.
 */
interface StateStore {
    /** Whether the state service has recently answered this node. */
    val isReachable: Boolean

    /** Sets this node's share of the state service's rates to that of the leader, or to that of any other node. */
    fun setRole(leader: Boolean)

    /** Returns how many changes (puts and deletes) background work, for which no user waits, may write now. */
    fun writeBudget(): WriteBudget = WriteBudget.UNLIMITED

    /** Returns the entry of [key], or null if it does not exist. */
    fun get(key: String): Entry?

    /** Returns up to [limit] entries whose keys begin with [prefix], and come after the key [after] unless that is null. */
    fun list(prefix: String, after: String? = null, limit: Int = MAX_PER_PAGE): EntryPage

    /**
     * Executes [transaction] if all its compares hold. Throws [StoreTimeoutException] if no answer arrives, so that the transaction may
     * have been executed or may still be; [StoreRequestRejectedException] if the transaction is malformed or too large; and
     * [StoreLeaseExpiredException] if a put names an expired lease.
     */
    fun commit(transaction: Transaction): TransactionResult

    /** Returns a new lease, which expires [ttlMs] milliseconds after it was granted or last kept alive. */
    fun grantLease(ttlMs: Long): StoreLeaseId

    /** Renews [storeLease] for its whole time to live; returns false if it has expired. */
    fun keepAlive(storeLease: StoreLeaseId): Boolean

    /** Revokes [storeLease]; the state service deletes the keys attached to it. */
    fun revokeLease(storeLease: StoreLeaseId)

    /**
     * Returns the changes of keys with [prefix] since the revision [from]. Waits up to [waitMs] milliseconds for the first change; if
     * there is none, the result contains no changes.
     */
    fun watch(prefix: String, from: Revision, waitMs: Long): WatchResult

    /** Returns every entry whose key begins with [prefix], and the revision from which a watch returns all later changes. */
    fun listAll(prefix: String): Pair<List<Entry>, Revision> {
        val entries = ArrayList<Entry>()
        // The revision at the read of the first page. A watch from this revision returns changes that were made while further pages were
        // read, even if those pages show them already, rather than missing some.
        var from: Revision? = null
        while (true) {
            val page = list(prefix, entries.lastOrNull()?.key)
            from = from ?: page.revision
            entries += page.entries
            if (!page.more || page.entries.isEmpty()) return entries to from
        }
    }

    companion object {
        /** The largest number of entries that the state service returns in one page. */
        const val MAX_PER_PAGE = 500
    }
}
