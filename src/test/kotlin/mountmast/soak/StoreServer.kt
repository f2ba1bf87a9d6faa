package mountmast.soak

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import mountmast.protocol.ModRevision
import mountmast.protocol.Revision
import mountmast.protocol.StoreLeaseId
import mountmast.protocol.WireJson
import mountmast.storage.Compare
import mountmast.storage.Entry
import mountmast.storage.StateStore
import mountmast.storage.StoreException
import mountmast.storage.StoreLeaseExpiredException
import mountmast.storage.StoreRequestRejectedException
import mountmast.storage.StoreTimeoutException
import mountmast.storage.Transaction
import mountmast.storage.TransactionResult
import mountmast.storage.WatchEvent
import mountmast.storage.WatchResult
import mountmast.storage.Write
import java.util.concurrent.ExecutorService

/** Serves the state service's API over HTTP to one node, from that node's view of the simulated store. */
class StoreServer(
    private val clock: SoakClock,
    private val store: StateStore,
    executor: ExecutorService,
    /** Whether the writes of some new jobs are confirmed, but not applied. */
    private val losesNewJobs: Boolean = false,
) : AutoCloseable {
    private var newJobCount = 0

    private val server = LoopbackHttpServer(executor, ::respond)

    /** The loopback port that this server listens on. */
    val port: Int get() = server.port

    private fun respond(request: LoopbackHttpRequest): LoopbackHttpResponse? = try {
        route(request)
    } catch (e: StoreException) {
        errorResponse(e)
    }

    private fun errorResponse(reason: StoreException): LoopbackHttpResponse? = when (reason) {
        is StoreTimeoutException -> {
            // The request may have been applied, may be applied later or never; the caller gets no response.
            Thread.sleep(TIMEOUT_DELAY_MS)
            null
        }
        is StoreLeaseExpiredException -> LoopbackHttpResponse(400, """{"error":"no such lease"}""")
        is StoreRequestRejectedException -> LoopbackHttpResponse(400, """{"error":"too large"}""")
        else -> LoopbackHttpResponse(503, """{"error":"trouble"}""")
    }

    private fun route(request: LoopbackHttpRequest): LoopbackHttpResponse {
        val path = request.path
        return when {
            path == "/commit" -> commit(WireJson.parseToJsonElement(request.body).jsonObject)
            path == "/follow" -> watch(request)
            path == "/holds" -> grantLease(request.body)
            path.endsWith("/renew") -> renew(parseLeaseId(path.removeSuffix("/renew")))
            path.startsWith("/holds/") -> revoke(parseLeaseId(path))
            path == "/store" -> list(request)
            else -> get(path.removePrefix("/store/"))
        }
    }

    private fun parseLeaseId(path: String) = StoreLeaseId(path.removePrefix("/holds/").toULong())

    private fun okResponse(body: JsonElement) = LoopbackHttpResponse(200, body.toString())

    private fun grantLease(body: String): LoopbackHttpResponse {
        val ttlMs = WireJson.parseToJsonElement(body).jsonObject.getValue("ttlMs").jsonPrimitive.long
        val storeLease = clock.runLocked { store.grantLease(ttlMs) }
        return okResponse(buildJsonObject { put("hold", number(storeLease.number)) })
    }

    private fun renew(storeLease: StoreLeaseId) = if (clock.runLocked {
            store.keepAlive(storeLease)
        }
    ) {
        LoopbackHttpResponse(200, "{}")
    } else {
        LoopbackHttpResponse(404, "{}")
    }

    private fun revoke(storeLease: StoreLeaseId): LoopbackHttpResponse {
        clock.runLocked { store.revokeLease(storeLease) }
        return LoopbackHttpResponse(200, "{}")
    }

    private fun get(key: String): LoopbackHttpResponse {
        val entry = clock.runLocked { store.get(key) } ?: return LoopbackHttpResponse(404, "{}")
        return okResponse(body(entry))
    }

    private fun list(request: LoopbackHttpRequest): LoopbackHttpResponse {
        val prefix = request.parameter("starts").orEmpty()
        val page = clock.runLocked { store.list(prefix, request.parameter("from"), request.parameter("page")?.toInt() ?: 1) }
        return okResponse(
            buildJsonObject {
                put("items", JsonArray(page.entries.map(::body)))
                put("truncated", JsonPrimitive(page.more))
                put("ledger", number(page.revision.number))
            },
        )
    }

    private fun commit(body: JsonObject): LoopbackHttpResponse {
        val compares = body["if"]?.jsonArray.orEmpty().map { Compare(textField(it, "path"), ModRevision(unsignedField(it, "stamp"))) }
        val writes = body["writes"]?.jsonArray.orEmpty().map { it.jsonObject }.map { write ->
            if ("delete" in write) {
                Write.Delete(textField(write, "delete"))
            } else {
                val storeLease = write["hold"]?.let { StoreLeaseId(unsignedField(write, "hold")) }
                Write.Put(textField(write, "write"), write.getValue("data"), storeLease)
            }
        }
        val isNewJob =
            writes.size == 1 && compares.any { it.modRevision == ModRevision.ABSENT && it.key == writes[0].key && it.key.startsWith("j/") }
        val isDiscarded = losesNewJobs && isNewJob && newJobCount++ % NEW_JOBS_PER_LOST_JOB == 0
        val transaction = if (isDiscarded) Transaction(compares, emptyList()) else Transaction(compares, writes)
        return when (val result = clock.runLocked { store.commit(transaction) }) {
            is TransactionResult.Committed -> okResponse(buildJsonObject { put("ledger", number(result.revision.number)) })
            is TransactionResult.CompareFailed -> {
                val failed = JsonArray(result.failed.map(::JsonPrimitive))
                LoopbackHttpResponse(409, buildJsonObject { put("failed", failed) }.toString())
            }
        }
    }

    private fun watch(request: LoopbackHttpRequest): LoopbackHttpResponse {
        val prefix = request.parameter("starts").orEmpty()
        val from = Revision(checkNotNull(request.parameter("from")).toULong())
        val until = System.nanoTime() + (request.parameter("waitMs")?.toLong() ?: 0) * NANOS_PER_MS
        while (true) {
            val result = clock.runLocked { store.watch(prefix, from, 0) }
            if (result !is WatchResult.Changes) return LoopbackHttpResponse(410, "{}")
            if (result.changes.isNotEmpty() || System.nanoTime() >= until) return okResponse(body(result))
            Thread.sleep(WATCH_POLL_MS)
        }
    }

    private fun body(result: WatchResult.Changes) = buildJsonObject {
        put("ledger", number(result.upTo.number))
        put("news", JsonArray(result.changes.map(::body)))
    }

    private fun body(change: WatchEvent) = buildJsonObject {
        val value = change.value
        if (value == null) {
            put("delete", JsonPrimitive(change.key))
        } else {
            put("write", JsonPrimitive(change.key))
            put("data", value)
        }
        put("stamp", number(change.modRevision.number))
    }

    private fun body(entry: Entry) = buildJsonObject {
        put("path", JsonPrimitive(entry.key))
        put("data", entry.value)
        put("stamp", number(entry.modRevision.number))
    }

    private fun number(value: ULong) = JsonPrimitive(value.toLong())

    private fun textField(json: JsonElement, field: String) = json.jsonObject.getValue(field).jsonPrimitive.content

    private fun unsignedField(json: JsonElement, field: String) = textField(json, field).toULong()

    override fun close() = server.close()

    private companion object {
        const val TIMEOUT_DELAY_MS = 2000L
        const val NEW_JOBS_PER_LOST_JOB = 3
        const val WATCH_POLL_MS = 25L
        const val NANOS_PER_MS = 1_000_000L
    }
}
