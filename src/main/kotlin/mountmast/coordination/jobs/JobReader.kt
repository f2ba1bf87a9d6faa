package mountmast.coordination.jobs

import mountmast.protocol.JobId
import mountmast.storage.StoreException
import mountmast.storage.StoreTimeoutException
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ExecutionException
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/**
 * Reads jobs for users, many with one request. No node may give a user an older answer than another did, so each read needs the
 * state service after it began; but a single transaction that only compares confirms all cached records at once. One thread
 * reads a batch at a time, for itself and others; reads that begin meanwhile wait for the next batch. Thread-safe.
 */
internal class JobReader(
    private val loader: JobStateLoader,
    /** How many jobs one batch reads, except that a read of more jobs is a batch of its own. */
    private val maxBatchJobs: Int,
    /** For how long a read waits for its batch at most, in milliseconds. */
    private val maxWaitMs: Long = USER_REQUEST_WAIT_MS,
) {
    private sealed interface Signal {
        class Completed(val states: Map<JobId, JobState>) : Signal

        /** The thread that waits is to read the next batch. */
        data object ReadNextBatch : Signal
    }

    private class PendingRead(val ids: Set<JobId>) {
        /** Completed by the thread that reads a batch; only the thread that waits for it sets a new one. */
        @Volatile
        var signal = CompletableFuture<Signal>()
            private set

        fun awaitAnotherSignal() {
            signal = CompletableFuture()
        }

        fun isTurnToRead(): Boolean = signal.isDone && !signal.isCompletedExceptionally && signal.getNow(null) == Signal.ReadNextBatch
    }

    /** Guards [pendingReads] and [isBatchInProgress]; never held during a request to the state service. */
    private val lock = ReentrantLock()
    private val pendingReads = ArrayDeque<PendingRead>()
    private var isBatchInProgress = false

    /** The state of [id] at some moment after the call began; throws as [readAll] does. */
    fun read(id: JobId): JobState = readAll(setOf(id)).getValue(id)

    /**
     * The states of [ids], each at some moment after the call began. Throws [StoreException] if the state service fails or does not
     * answer in time, and [IllegalArgumentException] if a record cannot be decoded.
     */
    fun readAll(ids: Set<JobId>): Map<JobId, JobState> {
        if (ids.isEmpty()) return emptyMap()
        val own = PendingRead(ids)
        var readsBatch = lock.withLock {
            pendingReads += own
            !isBatchInProgress.also { isBatchInProgress = true }
        }
        while (true) {
            if (readsBatch) readNextBatch()
            when (val signal = await(own)) {
                is Signal.Completed -> return signal.states
                Signal.ReadNextBatch -> {
                    own.awaitAnotherSignal()
                    readsBatch = true
                }
            }
        }
    }

    private fun await(read: PendingRead): Signal = try {
        read.signal.get(maxWaitMs, TimeUnit.MILLISECONDS)
    } catch (e: ExecutionException) {
        throw e.cause ?: e
    } catch (e: TimeoutException) {
        lock.withLock {
            pendingReads.remove(read)
            // Its turn to read may have come just now; then another thread has to.
            if (read.isTurnToRead()) passTurn()
        }
        throw StoreTimeoutException("reading ${read.ids.first()} takes too long")
    }

    private fun readNextBatch() {
        val batch = lock.withLock { removeBatch() }
        try {
            complete(batch)
        } finally {
            batch.forEach { it.signal.completeExceptionally(StoreTimeoutException("not read")) }
            lock.withLock { passTurn() }
        }
    }

    /** Removes as many reads as one comparison answers, at least one; the caller holds [lock]. */
    private fun removeBatch(): List<PendingRead> {
        val batch = ArrayList<PendingRead>()
        var size = 0
        while (pendingReads.isNotEmpty() && (batch.isEmpty() || size + pendingReads.first().ids.size <= maxBatchJobs)) {
            val read = pendingReads.removeFirst()
            size += read.ids.size
            batch += read
        }
        return batch
    }

    /** Has the thread of the first pending read read the next batch; the caller holds [lock]. */
    private fun passTurn() {
        val next = pendingReads.firstOrNull()
        if (next == null) isBatchInProgress = false else next.signal.complete(Signal.ReadNextBatch)
    }

    private fun complete(batch: List<PendingRead>) {
        val states = HashMap(loader.confirmCached(batch.flatMapTo(LinkedHashSet()) { it.ids }))
        for (read in batch) complete(read, states)
    }

    private fun complete(read: PendingRead, states: MutableMap<JobId, JobState>) {
        try {
            read.signal.complete(Signal.Completed(read.ids.associateWith { id -> states.getOrPut(id) { loader.load(id) } }))
        } catch (e: StoreException) {
            read.signal.completeExceptionally(e)
        } catch (e: IllegalArgumentException) {
            read.signal.completeExceptionally(e)
        }
    }

    private companion object {
        /** Users wait two seconds for an answer. */
        const val USER_REQUEST_WAIT_MS = 1800L
    }
}
