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
 * Reads the states of jobs for users' requests, in batches. No node may answer with an older state than another node has answered
 * before, so each read needs a request to the state service that is sent after the read was called. A single transaction without writes
 * compares the revisions of many cached records and so confirms them all. Only one thread at a time reads a batch, for itself
 * and for others; reads that begin meanwhile wait for the next batch. Thread-safe.
 */
internal class JobReader(
    private val loader: JobStateLoader,
    /** Maximum number of jobs in a batch; a single read of more jobs is a batch of its own. */
    private val maxBatchJobs: Int,
    /** Maximum time, in milliseconds, that a read waits for the thread that reads the batch. */
    private val maxWaitMs: Long = DEFAULT_MAX_WAIT_MS,
) {
    private sealed interface Signal {
        /** The read succeeded; [states] has an entry for each of its jobs. */
        class Completed(val states: Map<JobId, JobState>) : Signal

        /** The thread that receives this signal has to read the next batch. */
        data object ReadNextBatch : Signal
    }

    /** A call of [readAll] whose states have not been returned yet. */
    private class PendingRead(val ids: Set<JobId>) {
        /** May be completed by any thread; replaced only by the thread that waits for it. */
        @Volatile
        var signal = CompletableFuture<Signal>()
            private set

        fun resetSignal() {
            signal = CompletableFuture()
        }

        fun mustReadNextBatch(): Boolean = signal.isDone && !signal.isCompletedExceptionally && signal.getNow(null) == Signal.ReadNextBatch
    }

    /** Guards [pendingReads] and [isBatchInProgress]; never held during a request to the state service. */
    private val lock = ReentrantLock()
    private val pendingReads = ArrayDeque<PendingRead>()
    private var isBatchInProgress = false

    /** Returns the state of [id] at some moment after the call began; throws as [readAll] does. */
    fun read(id: JobId): JobState = readAll(setOf(id)).getValue(id)

    /**
     * Returns the states of [ids], each at some moment after the call began. Throws [StoreException] if a request to the state service
     * fails or the batch is not read in time, and [IllegalArgumentException] if a record cannot be decoded.
     */
    fun readAll(ids: Set<JobId>): Map<JobId, JobState> {
        if (ids.isEmpty()) return emptyMap()
        val ownRead = PendingRead(ids)
        var shouldReadBatch = lock.withLock {
            pendingReads += ownRead
            !isBatchInProgress.also { isBatchInProgress = true }
        }
        while (true) {
            if (shouldReadBatch) readNextBatch()
            when (val signal = awaitSignal(ownRead)) {
                is Signal.Completed -> return signal.states
                Signal.ReadNextBatch -> {
                    ownRead.resetSignal()
                    shouldReadBatch = true
                }
            }
        }
    }

    private fun awaitSignal(read: PendingRead): Signal = try {
        read.signal.get(maxWaitMs, TimeUnit.MILLISECONDS)
    } catch (e: ExecutionException) {
        throw e.cause ?: e
    } catch (e: TimeoutException) {
        lock.withLock {
            pendingReads.remove(read)
            // This read may have received ReadNextBatch just as it timed out; then another pending read has to receive it.
            if (read.mustReadNextBatch()) signalNextReader()
        }
        throw StoreTimeoutException("timed out waiting for the batch that reads ${read.ids.first()}")
    }

    private fun readNextBatch() {
        val reads = lock.withLock { removeBatch() }
        try {
            complete(reads)
        } finally {
            reads.forEach { it.signal.completeExceptionally(StoreTimeoutException("the batch ended without a result for this read")) }
            lock.withLock { signalNextReader() }
        }
    }

    /** Removes the first pending reads, at least one, that have at most [maxBatchJobs] jobs together; the caller holds [lock]. */
    private fun removeBatch(): List<PendingRead> {
        val reads = ArrayList<PendingRead>()
        var size = 0
        while (pendingReads.isNotEmpty() && (reads.isEmpty() || size + pendingReads.first().ids.size <= maxBatchJobs)) {
            val read = pendingReads.removeFirst()
            size += read.ids.size
            reads += read
        }
        return reads
    }

    /** Signals the first pending read to read the next batch; without one, no batch is in progress. The caller holds [lock]. */
    private fun signalNextReader() {
        val next = pendingReads.firstOrNull()
        if (next == null) isBatchInProgress = false else next.signal.complete(Signal.ReadNextBatch)
    }

    private fun complete(reads: List<PendingRead>) {
        val states = HashMap(loader.confirmCached(reads.flatMapTo(LinkedHashSet()) { it.ids }))
        for (read in reads) complete(read, states)
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
        /** The default of [maxWaitMs]: less than the two seconds that users wait for an answer. */
        const val DEFAULT_MAX_WAIT_MS = 1800L
    }
}
