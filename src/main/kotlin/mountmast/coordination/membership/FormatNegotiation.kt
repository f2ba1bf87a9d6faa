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
 * Whether every node of the deployment reads the forms of [FORMAT_VERSION], so that those may be written. During an
 * upgrade processes of two versions work on the same data, and one that ends before its turn comes back old and may lead.
 *
 * Each node tells its version in its greetings. Whoever has heard it from all others writes that down in the state service,
 * from where all learn it, also after a restart. An exchanged process never comes back old, so what is known once stays so.
 *
 * [step] belongs to one thread; [heard] and [isCurrent] to any.
 */
class FormatNegotiation(private val store: StateStore, private val members: List<NodeId>) {
    private val currentMembers = ConcurrentHashMap.newKeySet<NodeId>()

    /** Version of the stored record as it was last read, or null where it has to be read before anything is written. */
    private var storedModRevision: ModRevision? = null
    private var stepsSinceRead = 0

    /** Whether every node of the deployment is known to read the current forms; never false again once it was true. */
    @Volatile
    var isCurrent = members.isEmpty()
        private set

    /** A greeting of [member] told that it reads the forms of [formatVersion]. */
    fun heard(member: NodeId, formatVersion: Int) {
        if (formatVersion >= FORMAT_VERSION && member in members) currentMembers += member
    }

    /** Makes at most one call to the state service, until all nodes are known to be current; called about once a second. */
    fun step() {
        // A call that is not answered would hold up renewals.
        if (isCurrent || !store.isReachable) return
        try {
            val modRevision = storedModRevision
            when {
                modRevision == null -> read()
                currentMembers.containsAll(members) -> write(modRevision)
                ++stepsSinceRead >= READ_EVERY_STEPS -> read()
            }
        } catch (e: StoreException) {
            // A write without an answer may have been carried out, or still be.
            storedModRevision = null
            log.debug("agreement on forms: {}", e.message)
        }
    }

    private fun read() {
        val entry = store.get(Keys.FORMAT)
        stepsSinceRead = 0
        val version = if (entry == null) 0 else decode(entry.value)
        when {
            version == null -> log.warn("the record of the agreed forms is unreadable")
            version >= FORMAT_VERSION -> becomeCurrent()
            else -> storedModRevision = entry?.modRevision ?: ModRevision.ABSENT
        }
    }

    /** Depends on the version that was read, so that a late write cannot undo what a later version of the code wrote. */
    private fun write(modRevision: ModRevision) {
        val record = WireJson.encodeToJsonElement(FormatRecord(FORMAT_VERSION))
        val transaction = Transaction(listOf(Compare(Keys.FORMAT, modRevision)), listOf(Write.Put(Keys.FORMAT, record)))
        when (store.commit(transaction)) {
            is TransactionResult.Committed -> becomeCurrent()
            is TransactionResult.CompareFailed -> storedModRevision = null
        }
    }

    private fun becomeCurrent() {
        isCurrent = true
        log.info("all nodes read forms of version {}", FORMAT_VERSION)
    }

    private fun decode(value: JsonElement): Int? = try {
        WireJson.decodeFromJsonElement<FormatRecord>(value).version
    } catch (e: IllegalArgumentException) {
        null
    }

    private companion object {
        const val READ_EVERY_STEPS = 10
    }
}
