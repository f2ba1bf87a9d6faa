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
 * Negotiates whether every node of the deployment reads [FORMAT_VERSION], so that records of that version may be written. During an
 * upgrade processes of two versions work on the same data, and one that ends before its upgrade restarts as the old version and
 * may lead.
 *
 * Each node sends its version in its peer heartbeats. A node that has received the current version from all [members] stores
 * that, and every node reads it there, also after a restart. An upgraded process never restarts as the old version, so the
 * result holds for good.
 *
 * [step] is confined to one thread; [recordVersion] and [isCurrent] are thread-safe, without a lock.
 */
class FormatNegotiation(private val store: StateStore, private val members: List<NodeId>) {
    private val currentMembers = ConcurrentHashMap.newKeySet<NodeId>()

    /** Revision of the stored record when it was last read, or null if it must be read before it may be written. */
    private var storedModRevision: ModRevision? = null
    private var stepsSinceRead = 0

    /** Whether every node of the deployment is known to read [FORMAT_VERSION]; stays true once it is. */
    @Volatile
    var isCurrent = members.isEmpty()
        private set

    /** Records that a heartbeat of [member] named [formatVersion] as the version that it reads; 0 if it named none. */
    fun recordVersion(member: NodeId, formatVersion: Int) {
        if (formatVersion >= FORMAT_VERSION && member in members) currentMembers += member
    }

    /**
     * Continues the negotiation until all nodes are known to be current, by at most one call to the store. Called about once a
     * second; a store that does not serve is asked again by a later step.
     */
    fun step() {
        // A call that is not answered would delay what else its thread has to do.
        if (isCurrent || !store.isReachable) return
        try {
            val modRevision = storedModRevision
            when {
                modRevision == null -> readStoredVersion()
                currentMembers.containsAll(members) -> writeStoredVersion(modRevision)
                ++stepsSinceRead >= READ_EVERY_STEPS -> readStoredVersion()
            }
        } catch (e: StoreException) {
            // A write without an answer may have been committed, or may still be.
            storedModRevision = null
            log.debug("format negotiation: {}", e.message)
        }
    }

    private fun readStoredVersion() {
        val entry = store.get(Keys.FORMAT)
        stepsSinceRead = 0
        val version = if (entry == null) 0 else decodeVersion(entry.value)
        when {
            version == null -> log.warn("the record of the negotiated format is unreadable")
            version >= FORMAT_VERSION -> becomeCurrent()
            else -> storedModRevision = entry?.modRevision ?: ModRevision.ABSENT
        }
    }

    /** Compares the revision that was read, so that a late write cannot overwrite what a later version of the code wrote. */
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
        log.info("all nodes read format version={}", FORMAT_VERSION)
    }

    /** Returns null if [value] is of no known form. */
    private fun decodeVersion(value: JsonElement): Int? = try {
        WireJson.decodeFromJsonElement<FormatRecord>(value).version
    } catch (e: IllegalArgumentException) {
        null
    }

    private companion object {
        const val READ_EVERY_STEPS = 10
    }
}
