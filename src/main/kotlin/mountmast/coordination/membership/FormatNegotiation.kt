package mountmast.coordination.membership

import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.decodeFromJsonElement
import kotlinx.serialization.json.encodeToJsonElement
import mountmast.protocol.ModRevision
import mountmast.protocol.NodeId
import mountmast.protocol.WireJson
import mountmast.storage.Compare
import mountmast.storage.FORMAT_VERSION
import mountmast.storage.FormatRecord
import mountmast.storage.Keys
import mountmast.storage.StateStore
import mountmast.storage.StoreException
import mountmast.storage.Transaction
import mountmast.storage.TransactionResult
import mountmast.storage.Write
import org.slf4j.LoggerFactory
import java.util.concurrent.ConcurrentHashMap

private val log = LoggerFactory.getLogger("mountmast.formats")

/**
 * Determines when every node of the deployment reads [FORMAT_VERSION], so that records of that version may be written. During an
 * upgrade, processes of two versions work on the same data, and a process that ends before its upgrade restarts as the old version
 * and may become leader.
 *
 * Each node sends the version that it reads in its peer heartbeats. A node that has received [FORMAT_VERSION] from all [members]
 * stores that version, and every node reads it from the store, also after a restart. An upgraded process never restarts as the old
 * version, so the result stays valid.
 *
 * [readOrWriteVersion] is confined to one thread; [recordVersion] and [isCurrent] are thread-safe, without a lock.
 */
class FormatNegotiation(private val store: StateStore, private val members: List<NodeId>) {
    /** The members that have sent [FORMAT_VERSION] or a later version. */
    private val currentMembers = ConcurrentHashMap.newKeySet<NodeId>()

    /** Revision of the stored format record when it was last read, or null if the record must be read before it may be written. */
    private var storedModRevision: ModRevision? = null
    private var callsSinceRead = 0

    /** Whether every node of the deployment is known to read [FORMAT_VERSION]; stays true once it is. */
    @Volatile
    var isCurrent = members.isEmpty()
        private set

    /** Records that a heartbeat of [member] named [formatVersion] as the version that the member reads; 0 if it named none. */
    fun recordVersion(member: NodeId, formatVersion: Int) {
        if (formatVersion >= FORMAT_VERSION && member in members) currentMembers += member
    }

    /**
     * Reads or writes the stored version, with at most one call to the store, until every node is known to read [FORMAT_VERSION].
     * Called about once a second. If the store fails, a later call of this function tries again; the exception is not passed on.
     */
    fun readOrWriteVersion() {
        // A call to an unreachable store would delay the other work of this thread until the call timed out.
        if (isCurrent || !store.isReachable) return
        try {
            val modRevision = storedModRevision
            when {
                modRevision == null -> readStoredVersion()
                currentMembers.containsAll(members) -> writeStoredVersion(modRevision)
                ++callsSinceRead >= READ_INTERVAL_CALLS -> readStoredVersion()
            }
        } catch (e: StoreException) {
            // A write that got no answer may have been committed or may be committed later, so the record must be read again.
            storedModRevision = null
            log.debug("reading or writing the stored format version failed: {}", e.message)
        }
    }

    private fun readStoredVersion() {
        val entry = store.get(Keys.FORMAT)
        callsSinceRead = 0
        val version = if (entry == null) 0 else decodeVersion(entry.value)
        when {
            version == null -> log.warn("the stored record of the format version cannot be decoded")
            version >= FORMAT_VERSION -> becomeCurrent()
            else -> storedModRevision = entry?.modRevision ?: ModRevision.ABSENT
        }
    }

    /**
     * Writes [FORMAT_VERSION] if the record still has [modRevision], at which it was read: a write that the store executes late
     * cannot overwrite what a later version of this program wrote.
     */
    private fun writeStoredVersion(modRevision: ModRevision) {
        val record = WireJson.encodeToJsonElement(FormatRecord(FORMAT_VERSION))
        val transaction = Transaction(listOf(Compare(Keys.FORMAT, modRevision)), listOf(Write.Put(Keys.FORMAT, record)))
        when (store.commit(transaction)) {
            is TransactionResult.Committed -> becomeCurrent()
            is TransactionResult.CompareFailed -> storedModRevision = null
        }
    }

    private fun becomeCurrent() {
        isCurrent = true
        log.info("all nodes of the deployment read format version={}", FORMAT_VERSION)
    }

    /** Returns the version in the stored format record [value], or null if it cannot be decoded. */
    private fun decodeVersion(value: JsonElement): Int? = try {
        WireJson.decodeFromJsonElement<FormatRecord>(value).version
    } catch (e: IllegalArgumentException) {
        null
    }

    private companion object {
        const val READ_INTERVAL_CALLS = 10
    }
}
