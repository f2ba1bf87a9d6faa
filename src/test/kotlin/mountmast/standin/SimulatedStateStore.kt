package mountmast.standin

import kotlinx.serialization.json.JsonElement
import mountmast.protocol.ModRevision
import mountmast.protocol.Revision
import mountmast.protocol.StoreLeaseId
import mountmast.storage.Entry
import mountmast.storage.EntryPage
import mountmast.storage.Keys
import mountmast.storage.StateStore
import mountmast.storage.StoreException
import mountmast.storage.StoreLeaseExpiredException
import mountmast.storage.StoreRateQuota
import mountmast.storage.StoreRequestRejectedException
import mountmast.storage.StoreTimeoutException
import mountmast.storage.StoreUnavailableException
import mountmast.storage.TokenBucket
import mountmast.storage.Transaction
import mountmast.storage.TransactionResult
import mountmast.storage.WatchEvent
import mountmast.storage.WatchResult
import mountmast.storage.Write
import mountmast.storage.WriteBudget
import java.util.TreeMap
import kotlin.random.Random

/**
 * The simulated state service: a transactional key-value store with leases and watches, in virtual time.
 *
 * @param retainedChanges how many changes watches can still read; a watch from before them is answered as compacted
 */
class SimulatedStateStore(
    private val time: VirtualTime,
    private val retainedChanges: Int = 400,
    private val limits: FallingLimits = FallingLimits(),
    /** Entries in a page of a list; few, so that lists need several pages. */
    private val pageSize: Int = 7,
) {
    private class StoredValue(val data: JsonElement, val modRevision: Long, val storeLease: Long?)

    private val values = TreeMap<String, StoredValue>()

    /** For each lease its time to live and its expiry time, in milliseconds. */
    private val leases = HashMap<Long, LongArray>()
    private val changes = ArrayDeque<WatchEvent>()
    private var revision = 0L
    private var nextLeaseId = 1L
    private var outageUntil = 0L

    /** Length of the largest value written so far, in characters. */
    var largestValueLength = 0
        private set

    /** Number of requests, refused ones included. */
    var requests = 0
        private set

    /** Number of puts and deletes requested. */
    var writes = 0
        private set

    /** The largest number of puts and deletes in one transaction. */
    var maxTransactionOps = 0
        private set

    /** Number of puts and deletes carried out, by kind. */
    val writesByKind = TreeMap<WriteKind, Int>()

    /** Number of transactions rejected as too large. */
    var oversizedTransactions = 0
        private set

    /** Number of requests refused because they exceeded a rate. */
    var rateLimitedRequests = 0
        private set
    private val requestRate = ServiceRateLimiter(time)
    private val writeRate = ServiceRateLimiter(time)

    private fun checkRequestRate() {
        if (limits.enforcesRates && !requestRate.tryAcquire(1, limits.enforcedAt(time).requestsPerSecond)) refuseOverRate()
    }

    private fun checkWriteRate(count: Int) {
        if (limits.enforcesRates && !writeRate.tryAcquire(count, limits.enforcedAt(time).writesPerSecond)) refuseOverRate()
    }

    private fun refuseOverRate(): Nothing {
        rateLimitedRequests++
        throw StoreUnavailableException("status 429")
    }

    private fun checkSizes(transaction: Transaction) {
        val now = limits.enforcedAt(time)
        val sizes = transaction.writes.map { if (it is Write.Put) it.value.toString().encodeToByteArray().size else 0 }
        val fits = transaction.writes.size <= now.transactionOps &&
            transaction.compares.size <= now.transactionCompares &&
            sizes.all { it <= now.valueKb * BYTES_PER_KB } &&
            sizes.sum() <= MAX_TRANSACTION_BYTES
        if (fits) return
        oversizedTransactions++
        throw StoreRequestRejectedException.of(transaction, "too large")
    }

    /** Refuses all requests for [forMs]. */
    fun startOutage(forMs: Long) {
        outageUntil = maxOf(outageUntil, time.now + forMs)
        // After an outage all leases run for their full time to live again.
        for (storeLease in leases.values) storeLease[1] = maxOf(storeLease[1], outageUntil + storeLease[0])
    }

    /** Whether an outage goes on. */
    val hasOutage: Boolean get() = time.now < outageUntil

    private fun expireLeases() {
        if (hasOutage) return
        val expiredLeases = leases.filterValues { it[1] < time.now }.keys
        if (expiredLeases.isEmpty()) return
        leases.keys.removeAll(expiredLeases)
        val expiredKeys = values.filterValues { it.storeLease in expiredLeases }.keys.toList()
        if (expiredKeys.isNotEmpty()) revision++
        for (key in expiredKeys) delete(key)
    }

    private fun delete(key: String) {
        if (values.remove(key) != null) recordChange(WatchEvent(key, null, ModRevision(revision.toULong())))
    }

    private fun recordChange(change: WatchEvent) {
        changes += change
        while (changes.size > retainedChanges) changes.removeFirst()
    }

    private fun commit(transaction: Transaction): TransactionResult {
        time.record { "store commits ${traceText(transaction)}" }
        try {
            return execute(transaction).also { time.record { "store answers ${traceText(it)}" } }
        } catch (e: StoreException) {
            time.record { "store answers ${traceReason(e)}" }
            throw e
        }
    }

    private fun traceText(transaction: Transaction): String {
        val compares = transaction.compares.map { "${it.key}@${it.modRevision.number}" }
        val writes = transaction.writes.map {
            when (it) {
                is Write.Put -> "${it.key}=${it.value} ${it.storeLease?.number}"
                is Write.Delete -> "-${it.key}"
            }
        }
        return "$compares $writes"
    }

    private fun traceText(outcome: TransactionResult) = when (outcome) {
        is TransactionResult.Committed -> "committed ${outcome.revision.number}"
        is TransactionResult.CompareFailed -> "conflict ${outcome.failed}"
    }

    private fun traceReason(failure: StoreException) = when (failure) {
        is StoreUnavailableException -> "refused"
        is StoreRequestRejectedException -> "rejected"
        is StoreTimeoutException -> "silent"
        is StoreLeaseExpiredException -> "lease ended"
        else -> "failed"
    }

    private fun execute(transaction: Transaction): TransactionResult {
        expireLeases()
        checkSizes(transaction)
        checkWriteRate(transaction.writes.size)
        writes += transaction.writes.size
        maxTransactionOps = maxOf(maxTransactionOps, transaction.writes.size)
        for (write in transaction.writes) {
            if (write is Write.Put &&
                write.storeLease != null &&
                write.storeLease!!.number.toLong() !in leases
            ) {
                throw StoreLeaseExpiredException(write.storeLease!!)
            }
        }
        val failed = transaction.compares.filter { (values[it.key]?.modRevision ?: 0L).toULong() != it.modRevision.number }
        if (failed.isNotEmpty()) return TransactionResult.CompareFailed(failed.map { it.key })
        if (transaction.writes.isNotEmpty()) revision++
        for (write in transaction.writes) {
            writesByKind.merge(WriteKind.of(write), 1, Int::plus)
            when (write) {
                is Write.Put -> {
                    values[write.key] = StoredValue(write.value, revision, write.storeLease?.number?.toLong())
                    largestValueLength = maxOf(largestValueLength, write.value.toString().length)
                    recordChange(WatchEvent(write.key, write.value, ModRevision(revision.toULong())))
                }
                is Write.Delete -> delete(write.key)
            }
        }
        return TransactionResult.Committed(Revision(revision.toULong()))
    }

    /**
     * The connection of one controller process to the state service, with the injected [faults] of that process. Transactions of
     * the format negotiation draw from [formatRandom], so that they do not change the random draws of a given seed.
     */
    inner class Connection(private val random: Random, private val faults: ProcessFaults, private val formatRandom: Random = random) :
        StateStore {
        override var isReachable = true
            private set

        private val bucket = TokenBucket(StoreRateQuota.writes(limits.configured, NODES, isLeader = false)) { time.now * NANOS_PER_MS }

        override fun setRole(leader: Boolean) = bucket.setRate(StoreRateQuota.writes(limits.configured, NODES, leader))

        override fun writeBudget(): WriteBudget = if (limits.enforcesRates) bucket.budget() else WriteBudget.UNLIMITED

        /**
         * Executes [request] with injected faults, and records request and answer for the digest.
         *
         * @param requestText returns the recorded text of the request
         * @param responseText returns the recorded text of the answer
         * @param mayLoseMessage whether the message may be lost, so that the call times out
         */
        private fun <T> call(
            requestText: () -> String,
            responseText: (T) -> String,
            mayLoseMessage: Boolean = true,
            random: Random = this.random,
            request: () -> T,
        ): T {
            time.record { "store ${faults.number} ${requestText()}" }
            try {
                return callWithFaults(mayLoseMessage, random, request).also { answer ->
                    time.record { "store ${faults.number} answered ${responseText(answer)}" }
                }
            } catch (e: StoreException) {
                time.record { "store ${faults.number} ${traceReason(e)}" }
                throw e
            }
        }

        private fun <T> callWithFaults(mayLoseMessage: Boolean, random: Random, request: () -> T): T {
            faults.interruptIfDue(random)
            requests++
            checkRequestRate()
            if (hasOutage || faults.isRefusedByStore()) {
                isReachable = false
                throw StoreUnavailableException("refused")
            }
            if (faults.isCutFromStore()) {
                isReachable = false
                if (mayLoseMessage && random.nextBoolean()) time.schedule(random.nextLong(100, 60_000)) { runCatching(request) }
                throw StoreTimeoutException("no connection to the state service")
            }
            if (mayLoseMessage && random.nextDouble() < faults.lossRate) {
                when (random.nextInt(3)) {
                    0 -> request()
                    1 -> time.schedule(random.nextLong(100, 20_000)) { if (!hasOutage) runCatching(request) }
                    else -> {}
                }
                throw StoreTimeoutException("message lost")
            }
            isReachable = true
            if (mayLoseMessage) faults.repeatLaterIfDue(random) { if (!hasOutage) request() }
            return request().also { faults.interruptIfDue(random) }
        }

        override fun get(key: String): Entry? = call({ "get $key" }, { "${it?.modRevision?.number}" }, false) {
            expireLeases()
            values[key]?.let { Entry(key, it.data, ModRevision(it.modRevision.toULong())) }
        }

        override fun list(prefix: String, after: String?, limit: Int): EntryPage = call({
            "list $prefix $after $limit"
        }, ::traceText, false) {
            expireLeases()
            val matching = values.tailMap(prefix).entries.takeWhile { it.key.startsWith(prefix) }.filter { after == null || it.key > after }
            val page = matching.take(minOf(limit, pageSize))
            EntryPage(
                page.map {
                    Entry(it.key, it.value.data, ModRevision(it.value.modRevision.toULong()))
                },
                matching.size > page.size,
                Revision(revision.toULong()),
            )
        }

        override fun commit(transaction: Transaction): TransactionResult {
            if (limits.enforcesRates && bucket.take(transaction.writes.size, 0) == null) throw StoreUnavailableException("over write rate")
            val random = if (transaction.writes.any { it.key == Keys.FORMAT }) formatRandom else random
            return call({ "commit ${traceText(transaction)}" }, ::traceText, random = random) {
                if (faults.drawsLateWrite(random)) {
                    time.schedule(random.nextLong(2000, 12_000)) {
                        if (!hasOutage) runCatching { this@SimulatedStateStore.commit(transaction) }
                    }
                    throw StoreTimeoutException("carried out later")
                }
                this@SimulatedStateStore.commit(transaction)
            }
        }

        override fun grantLease(ttlMs: Long): StoreLeaseId = call({ "grant $ttlMs" }, { "${it.number}" }) {
            val id = nextLeaseId++
            leases[id] = longArrayOf(ttlMs, time.now + ttlMs)
            StoreLeaseId(id.toULong())
        }

        override fun keepAlive(storeLease: StoreLeaseId): Boolean = call({ "renew ${storeLease.number}" }, { "$it" }) {
            expireLeases()
            val lease = leases[storeLease.number.toLong()] ?: return@call false
            lease[1] = time.now + lease[0]
            true
        }

        override fun revokeLease(storeLease: StoreLeaseId) = call({ "drop ${storeLease.number}" }, { "" }) {
            leases[storeLease.number.toLong()]?.let { it[1] = time.now - 1 }
            expireLeases()
        }

        override fun watch(prefix: String, from: Revision, waitMs: Long): WatchResult = call({
            "follow $prefix ${from.number} $waitMs"
        }, ::traceText, false) {
            if (faults.areWatchesBlocked()) throw StoreTimeoutException("watch got no answer")
            expireLeases()
            val oldest = changes.firstOrNull()?.modRevision?.number ?: 0u
            if (changes.size >= retainedChanges && from.number < oldest) return@call WatchResult.Compacted
            WatchResult.Changes(
                changes.filter { it.modRevision.number > from.number && it.key.startsWith(prefix) },
                Revision(revision.toULong()),
            )
        }

        private fun traceText(page: EntryPage) = "${page.entries.map {
            "${it.key}@${it.modRevision.number}"
        }} ${page.more} ${page.revision.number}"

        private fun traceText(outcome: WatchResult) = when (outcome) {
            is WatchResult.Changes -> "${outcome.changes.map { "${it.key}@${it.modRevision.number}" }} ${outcome.upTo.number}"
            WatchResult.Compacted -> "too old"
        }

        private fun traceText(outcome: TransactionResult) = this@SimulatedStateStore.traceText(outcome)

        private fun traceText(transaction: Transaction) = this@SimulatedStateStore.traceText(transaction)
    }

    private companion object {
        const val NODES = 3
        const val BYTES_PER_KB = 1024
        const val MAX_TRANSACTION_BYTES = 64 * 1024
        const val NANOS_PER_MS = 1_000_000L
    }
}
