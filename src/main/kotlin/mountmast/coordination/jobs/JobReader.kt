package mountmast.coordination.jobs

import com.google.common.cache.Cache
import com.google.common.cache.CacheBuilder
import kotlinx.serialization.json.decodeFromJsonElement
import mountmast.protocol.JobId
import mountmast.protocol.ModRevision
import mountmast.protocol.WireJson
import mountmast.storage.Compare
import mountmast.storage.FinishedJobRecord
import mountmast.storage.JobRecord
import mountmast.storage.Keys
import mountmast.storage.StateStore
import mountmast.storage.StoreException
import mountmast.storage.StoreTimeoutException
import mountmast.storage.Transaction
import mountmast.storage.TransactionResult
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ExecutionException
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException

/** What the store says of a job. */
sealed interface JobState {
    /** Not over; [record] may say that it is cancelled. */
    class Live(val record: JobRecord) : JobState
    class Finished(val record: FinishedJobRecord) : JobState
    data object Unknown : JobState
}

/**
 * Reads jobs for users, many with one request. No node may give a user an older answer than another did, so each answer
 * needs the store after the question came; but a single transaction that only compares tells of all jobs read before
 * whether they are as they were. While one is under way, questions gather for the next.
 */
class JobReader(
    private val store: StateStore,
    private val maxCompares: Int,
    /** For how long a question waits for its answer at most. */
    private val maxWaitMs: Long = USERS_WAIT_MS,
) {
    private class Seen(val record: JobRecord, val modRevision: ModRevision)

    private class Question(val ids: Set<JobId>) {
        /** The states, or null: the thread that asked is to read for all that wait. */
        @Volatile
        var answer = CompletableFuture<Map<JobId, JobState>?>()
    }

    private val lock = Any()
    private val waiting = ArrayDeque<Question>()
    private var reading = false

    /** Jobs that were not over when they were last read. */
    private val seen: Cache<JobId, Seen> = CacheBuilder.newBuilder().maximumSize(MAX_SEEN).build()

    /** The state of [id] at some moment after this was called. */
    fun read(id: JobId): JobState = readAll(setOf(id)).getValue(id)

    /** The states of [ids], each at some moment after this was called. */
    fun readAll(ids: Set<JobId>): Map<JobId, JobState> {
        if (ids.isEmpty()) return emptyMap()
        val own = Question(ids)
        var reads = synchronized(lock) {
            waiting += own
            !reading.also { reading = true }
        }
        while (true) {
            if (reads) readForAll()
            val answer = await(own)
            if (answer != null) return answer
            own.answer = CompletableFuture()
            reads = true
        }
    }

    /** The record of [id] as it was last read, if it was not over then: what never changes in it may be used. */
    fun lastSeen(id: JobId): JobRecord? = seen.getIfPresent(id)?.record

    /** Takes note of a record that was read elsewhere, unless a newer one is known. */
    fun note(record: JobRecord, modRevision: ModRevision) {
        seen.asMap().merge(record.spec.id, Seen(record, modRevision)) { old, new -> if (new.modRevision.number > old.modRevision.number) new else old }
    }

    private fun await(question: Question): Map<JobId, JobState>? = try {
        question.answer.get(maxWaitMs, TimeUnit.MILLISECONDS)
    } catch (e: ExecutionException) {
        throw e.cause ?: e
    } catch (e: TimeoutException) {
        synchronized(lock) {
            waiting.remove(question)
            // Its turn to read may have come just now; then somebody else has to.
            val answer = question.answer
            if (answer.isDone && !answer.isCompletedExceptionally && answer.getNow(null) == null) handOn()
        }
        throw StoreTimeoutException("reading ${question.ids.first()} takes too long")
    }

    private fun readForAll() {
        val batch = synchronized(lock) { takeBatch() }
        try {
            answer(batch)
        } finally {
            batch.forEach { it.answer.completeExceptionally(StoreTimeoutException("not read")) }
            synchronized(lock) { handOn() }
        }
    }

    /** As many questions as one comparison answers, at least one; the caller holds the lock. */
    private fun takeBatch(): List<Question> {
        val batch = ArrayList<Question>()
        var size = 0
        while (waiting.isNotEmpty() && (batch.isEmpty() || size + waiting.first().ids.size <= maxCompares)) {
            val question = waiting.removeFirst()
            size += question.ids.size
            batch += question
        }
        return batch
    }

    /** Has the next who waits read; the caller holds the lock. */
    private fun handOn() {
        val next = waiting.firstOrNull()
        if (next == null) reading = false else next.answer.complete(null)
    }

    private fun answer(batch: List<Question>) {
        val ids = batch.flatMapTo(LinkedHashSet()) { it.ids }
        val states = HashMap<JobId, JobState>()
        val known = ids.mapNotNull { id -> seen.getIfPresent(id)?.let { id to it } }
        for (part in known.chunked(maxCompares)) addUnchanged(part.toMap(), states)
        for (question in batch) answer(question, states)
    }

    private fun answer(question: Question, states: MutableMap<JobId, JobState>) {
        try {
            question.answer.complete(question.ids.associateWith { id -> states.getOrPut(id) { readOne(id) } })
        } catch (e: StoreException) {
            question.answer.completeExceptionally(e)
        } catch (e: IllegalArgumentException) {
            question.answer.completeExceptionally(e)
        }
    }

    /** Adds those of [jobs] that are still as they were read; a single one is read as cheaply as compared. */
    private fun addUnchanged(jobs: Map<JobId, Seen>, states: MutableMap<JobId, JobState>) {
        if (jobs.size < 2) return
        for (id in unchanged(jobs)) states[id] = JobState.Live(jobs.getValue(id).record)
    }

    /** Which of these jobs are still as they were read. */
    private fun unchanged(jobs: Map<JobId, Seen>): Set<JobId> = try {
        val compares = jobs.map { (id, it) -> Compare(Keys.job(id), it.modRevision) }
        when (val outcome = store.commit(Transaction(compares, emptyList()))) {
            is TransactionResult.Committed -> jobs.keys
            is TransactionResult.CompareFailed -> jobs.keys - outcome.failed.mapNotNull(Keys::jobOfKey).toSet()
        }
    } catch (e: StoreException) {
        emptySet()
    }

    private fun readOne(id: JobId): JobState {
        store.get(Keys.job(id))?.let { entry ->
            val record = WireJson.decodeFromJsonElement<JobRecord>(entry.value)
            seen.put(id, Seen(record, entry.modRevision))
            return JobState.Live(record)
        }
        seen.invalidate(id)
        // A job moves from one key to the other but never back, so this order cannot miss it.
        val entry = store.get(Keys.finished(id)) ?: return JobState.Unknown
        return JobState.Finished(WireJson.decodeFromJsonElement<FinishedJobRecord>(entry.value))
    }

    private companion object {
        /** Users wait two seconds for an answer. */
        const val USERS_WAIT_MS = 1800L

        /** Records of some 400 bytes. */
        const val MAX_SEEN = 4000L
    }
}
