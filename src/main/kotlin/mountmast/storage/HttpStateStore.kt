package mountmast.storage

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.JsonElement
import mountmast.protocol.ModRevision
import mountmast.protocol.Revision
import mountmast.protocol.StateLimits
import mountmast.protocol.StoreLeaseId
import mountmast.protocol.WireJson
import mountmast.protocol.decodeJson
import mountmast.transport.HttpCaller
import mountmast.transport.Metrics
import mountmast.transport.Reply
import org.slf4j.LoggerFactory
import java.net.InetSocketAddress
import java.util.concurrent.ConcurrentHashMap

private val log = LoggerFactory.getLogger("mountmast.store")

/**
 * Client of the state service over HTTP. It limits its requests and writes to this node's share of the service's request rate and write
 * rate. A call that would have to wait too long to stay within that share fails before anything is sent. Thread-safe.
 *
 * @property address address of the state service
 * @property nodeCount number of controller nodes that share the state service's rates
 */
class HttpStateStore(
    address: InetSocketAddress,
    private val limits: StateLimits,
    private val nodeCount: Int,
    caller: HttpCaller = HttpCaller(),
    metrics: Metrics = Metrics(),
) : StateStore {
    private val connection = StoreConnection(address, limits.requestsPerSecond / nodeCount, caller, metrics)
    private val writeBucket = TokenBucket(limits.writesPerSecond / nodeCount, System::nanoTime)
    private val rejectedKeys = ConcurrentHashMap.newKeySet<String>()

    override val isReachable: Boolean get() = connection.isReachable

    override fun setRole(leader: Boolean) {
        connection.setRequestRate(StoreRateQuota.requests(limits, nodeCount, leader))
        writeBucket.setRate(StoreRateQuota.writes(limits, nodeCount, leader))
    }

    override fun writeBudget(): WriteBudget = writeBucket.budget()

    override fun get(key: String): Entry? {
        val reply = connection.call("GET", "/store/$key", null)
        return when (reply.status) {
            200 -> decode<EntryBody>(reply).toEntry()
            404 -> null
            else -> throw unavailable(reply)
        }
    }

    override fun list(prefix: String, after: String?, limit: Int): EntryPage {
        val from = after?.let { "&from=$it" } ?: ""
        val reply = connection.call("GET", "/store?starts=$prefix$from&page=$limit", null)
        if (!reply.isOk) throw unavailable(reply)
        val page = decode<PageBody>(reply)
        return EntryPage(page.items.map { it.toEntry() }, page.more, page.revision)
    }

    override fun commit(transaction: Transaction): TransactionResult {
        awaitWriteQuota(transaction.writes.size)
        val requestBody = CommitBody(
            transaction.compares.map { CompareBody(it.key, it.modRevision) },
            transaction.writes.map { write ->
                when (write) {
                    is Write.Put -> WriteBody(put = write.key, value = write.value, storeLease = write.storeLease)
                    is Write.Delete -> WriteBody(delete = write.key)
                }
            },
        )
        val reply = connection.call("POST", "/commit", WireJson.encodeToString(requestBody))
        return when {
            reply.isOk -> TransactionResult.Committed(decode<RevisionBody>(reply).revision)
            reply.status == 409 -> TransactionResult.CompareFailed(decode<CompareFailedBody>(reply).failed)
            reply.status == 400 && "no such lease" in reply.text ->
                throw StoreLeaseExpiredException(transaction.writes.firstNotNullOf { (it as? Write.Put)?.storeLease })
            reply.status == 400 -> throw rejection(transaction, reply)
            else -> throw unavailable(reply)
        }
    }

    override fun grantLease(ttlMs: Long): StoreLeaseId {
        val reply = connection.call("POST", "/holds", WireJson.encodeToString(TtlBody(ttlMs)))
        if (!reply.isOk) throw unavailable(reply)
        return decode<LeaseBody>(reply).storeLease
    }

    override fun keepAlive(storeLease: StoreLeaseId): Boolean {
        val reply = connection.call("POST", "/holds/$storeLease/renew", "")
        return when (reply.status) {
            200 -> true
            404 -> false
            else -> throw unavailable(reply)
        }
    }

    override fun revokeLease(storeLease: StoreLeaseId) {
        connection.call("DELETE", "/holds/$storeLease", null)
    }

    override fun watch(prefix: String, from: Revision, waitMs: Long): WatchResult {
        val reply = connection.watch("/follow?starts=$prefix&from=$from&waitMs=$waitMs", waitMs.toInt())
        return when (reply.status) {
            200 -> decode<WatchBody>(reply).let { body ->
                WatchResult.Changes(body.news.map { it.toEvent() }, body.revision)
            }
            410 -> WatchResult.Compacted
            else -> throw unavailable(reply)
        }
    }

    /** Waits until [count] changes are within this node's share of the write rate. */
    private fun awaitWriteQuota(count: Int) {
        val waitMs = writeBucket.take(count, MAX_RATE_WAIT_MS) ?: throw StoreConnection.rateExceeded()
        if (waitMs > 0) Thread.sleep(waitMs)
    }

    /**
     * Returns the exception for a rejected [transaction]. Logs only one rejection for each largest key, since users may send the same
     * request any number of times.
     */
    private fun rejection(transaction: Transaction, reply: Reply): StoreRequestRejectedException {
        val rejected = StoreRequestRejectedException.of(transaction, reply.text.take(MAX_ANSWER_CHARS))
        if (rejectedKeys.size >= MAX_REJECTED_KEYS) rejectedKeys.clear()
        if (rejectedKeys.add(rejected.largestKey)) log.error("the state service rejected a transaction: {}", rejected.message)
        return rejected
    }

    private fun unavailable(reply: Reply) = StoreUnavailableException("status ${reply.status}")

    private inline fun <reified T> decode(reply: Reply): T = try {
        decodeJson<T>(reply.text)
    } catch (e: SerializationException) {
        throw StoreTimeoutException("malformed answer of the state service: ${e.message}")
    }

    private companion object {
        const val MAX_RATE_WAIT_MS = 300L
        const val MAX_ANSWER_CHARS = 200
        const val MAX_REJECTED_KEYS = 1000
    }
}

// Bodies of requests to the state service and of its answers. The serial names are the state service's own field names.

@Serializable
private class EntryBody(
    @SerialName("path") val key: String,
    @SerialName("data") val value: JsonElement,
    @SerialName("stamp") val modRevision: ModRevision,
) {
    fun toEntry() = Entry(key, value, modRevision)
}

@Serializable
private class PageBody(
    @SerialName("items") val items: List<EntryBody>,
    @SerialName("truncated") val more: Boolean = false,
    @SerialName("ledger") val revision: Revision,
)

@Serializable
private class CompareBody(@SerialName("path") val key: String, @SerialName("stamp") val modRevision: ModRevision)

@Serializable
private class WriteBody(
    @SerialName("write") val put: String? = null,
    @SerialName("data") val value: JsonElement? = null,
    @SerialName("hold") val storeLease: StoreLeaseId? = null,
    @SerialName("delete") val delete: String? = null,
)

@Serializable
private class CommitBody(@SerialName("if") val compares: List<CompareBody>, @SerialName("writes") val writes: List<WriteBody>)

@Serializable
private class RevisionBody(@SerialName("ledger") val revision: Revision)

@Serializable
private class CompareFailedBody(@SerialName("failed") val failed: List<String>)

@Serializable
private class TtlBody(@SerialName("ttlMs") val ttlMs: Long)

@Serializable
private class LeaseBody(@SerialName("hold") val storeLease: StoreLeaseId)

@Serializable
private class WatchBody(@SerialName("ledger") val revision: Revision, @SerialName("news") val news: List<WatchEventBody> = emptyList())

@Serializable
private class WatchEventBody(
    @SerialName("write") val put: String? = null,
    @SerialName("data") val value: JsonElement? = null,
    @SerialName("delete") val delete: String? = null,
    @SerialName("stamp") val modRevision: ModRevision,
) {
    fun toEvent() = WatchEvent(put ?: delete.orEmpty(), if (put != null) value else null, modRevision)
}
