package mountmast.coordination

import com.google.common.cache.Cache
import com.google.common.cache.CacheBuilder
import kotlinx.serialization.json.decodeFromJsonElement
import mountmast.protocol.JobId
import mountmast.protocol.Stamp
import mountmast.protocol.WireJson
import mountmast.storage.CommitOutcome
import mountmast.storage.Condition
import mountmast.storage.JobRecord
import mountmast.storage.Keys
import mountmast.storage.OverRecord
import mountmast.storage.StateStore
import mountmast.storage.StoreSilent
import mountmast.storage.StoreTrouble
import mountmast.storage.Transaction
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ExecutionException
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException

/** What the store says of a job. */
sealed interface JobState {
    /** Not over; [record] may say that it is cancelled. */
    class Live(val record: JobRecord) : JobState
    class Over(val record: OverRecord) : JobState
    data object Unknown : JobState
}

/**
 * Reads jobs for users, many with one request. No node may give a user an older answer than another did, so each answer
 * needs the store after the question came; but a single transaction that only compares tells of all jobs read before
 * whether they are as they were. While one is under way, questions gather for the next.
 */
class JobReader(private val store: StateStore, private val mostConditions: Int) {
    private class Seen(val record: JobRecord, val stamp: Stamp)

    private class Question(val id: JobId) {
        /** The state, or null: the thread that asked is to read for all that wait. */
        @Volatile
        var answer = CompletableFuture<JobState?>()
    }

    private val lock = Any()
    private val waiting = ArrayDeque<Question>()
    private var reading = false

    /** Jobs that were not over when they were last read. */
    private val seen: Cache<JobId, Seen> = CacheBuilder.newBuilder().maximumSize(MOST_SEEN).build()

    /** The state of [id] at some moment after this was called. */
    fun read(id: JobId): JobState {
        val own = Question(id)
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

    private fun await(question: Question): JobState? = try {
        question.answer.get(MOST_WAIT_MS, TimeUnit.MILLISECONDS)
    } catch (e: ExecutionException) {
        throw e.cause ?: e
    } catch (e: TimeoutException) {
        synchronized(lock) {
            waiting.remove(question)
            // Its turn to read may have come just now; then somebody else has to.
            val answer = question.answer
            if (answer.isDone && !answer.isCompletedExceptionally && answer.getNow(null) == null) handOn()
        }
        throw StoreSilent("reading ${question.id} takes too long")
    }

    private fun readForAll() {
        val batch = synchronized(lock) { List(minOf(waiting.size, mostConditions)) { waiting.removeFirst() } }
        try {
            answer(batch)
        } finally {
            batch.forEach { it.answer.completeExceptionally(StoreSilent("not read")) }
            synchronized(lock) { handOn() }
        }
    }

    /** Has the next who waits read; the caller holds the lock. */
    private fun handOn() {
        val next = waiting.firstOrNull()
        if (next == null) reading = false else next.answer.complete(null)
    }

    private fun answer(batch: List<Question>) {
        val known = HashMap<JobId, Seen>()
        for (question in batch) seen.getIfPresent(question.id)?.let { known[question.id] = it }
        val states = HashMap<JobId, JobState>()
        if (known.size > 1) for (id in unchanged(known)) states[id] = JobState.Live(known.getValue(id).record)
        for (question in batch) {
            try {
                question.answer.complete(states.getOrPut(question.id) { readOne(question.id) })
            } catch (e: StoreTrouble) {
                question.answer.completeExceptionally(e)
            } catch (e: IllegalArgumentException) {
                question.answer.completeExceptionally(e)
            }
        }
    }

    /** Which of these jobs are still as they were read. */
    private fun unchanged(jobs: Map<JobId, Seen>): Set<JobId> = try {
        when (val outcome = store.commit(Transaction(jobs.map { (id, it) -> Condition(Keys.job(id), it.stamp) }, emptyList()))) {
            is CommitOutcome.Committed -> jobs.keys
            is CommitOutcome.Conflict -> jobs.keys - outcome.failed.mapNotNull(Keys::jobOfKey).toSet()
        }
    } catch (e: StoreTrouble) {
        emptySet()
    }

    private fun readOne(id: JobId): JobState {
        store.get(Keys.job(id))?.let { entry ->
            val record = WireJson.decodeFromJsonElement<JobRecord>(entry.value)
            seen.put(id, Seen(record, entry.stamp))
            return JobState.Live(record)
        }
        seen.invalidate(id)
        // A job moves from one key to the other but never back, so this order cannot miss it.
        val entry = store.get(Keys.over(id)) ?: return JobState.Unknown
        return JobState.Over(WireJson.decodeFromJsonElement<OverRecord>(entry.value))
    }

    private companion object {
        /** Users wait two seconds for an answer. */
        const val MOST_WAIT_MS = 1800L

        /** Records of some 400 bytes. */
        const val MOST_SEEN = 4000L
    }
}
