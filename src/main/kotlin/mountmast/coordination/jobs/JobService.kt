package mountmast.coordination.jobs

import com.google.common.cache.Cache
import com.google.common.cache.CacheBuilder
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.decodeFromJsonElement
import kotlinx.serialization.json.encodeToJsonElement
import mountmast.protocol.Clock
import mountmast.protocol.ForwardedRequest
import mountmast.protocol.JobAnswer
import mountmast.protocol.JobId
import mountmast.protocol.JobSpec
import mountmast.protocol.JobStatus
import mountmast.protocol.JobValidation
import mountmast.protocol.MachineType
import mountmast.protocol.Malformed
import mountmast.protocol.ModRevision
import mountmast.protocol.StateLimits
import mountmast.protocol.TeamId
import mountmast.protocol.TeamQuota
import mountmast.protocol.WireJson
import mountmast.storage.Compare
import mountmast.storage.Entry
import mountmast.storage.FinishedJobRecord
import mountmast.storage.JobRecord
import mountmast.storage.Keys
import mountmast.storage.PrerequisiteLists
import mountmast.storage.StateStore
import mountmast.storage.StoreException
import mountmast.storage.StoreRequestRejectedException
import mountmast.storage.Transaction
import mountmast.storage.TransactionResult
import mountmast.storage.TypesForm
import mountmast.storage.Write
import mountmast.transport.UserAnswer
import mountmast.transport.UserService
import mountmast.transport.errorBody
import org.slf4j.LoggerFactory

private val log = LoggerFactory.getLogger("mountmast.jobs")

/**
 * Serves users on any node. The store is the truth: a job is called accepted, done or cancelled only after it says
 * so, and what is not final is read from it each time.
 */
class JobService(
    private val store: StateStore,
    private val teams: Map<TeamId, TeamQuota>,
    private val clock: Clock,
    /** Passes a request to a node that reaches the store, if this one does not. */
    private val forward: (ForwardedRequest) -> UserAnswer?,
    private val isReady: () -> Boolean,
    /** A cancellation is in the store; its user is told after this. */
    private val onCancelled: (JobId) -> Unit,
    /** What the state service takes at once. */
    limits: StateLimits,
    /** Whether every node reads records that name prerequisites: an older one would start such a job too early. */
    private val acceptsPrerequisites: () -> Boolean,
) : UserService {
    @Volatile
    private var types: List<MachineType> = emptyList()
    val knowsTypes: Boolean get() = types.isNotEmpty()

    /** Final states never change, so they may be answered from memory. */
    private val finished: Cache<JobId, FinishedJobRecord> = CacheBuilder.newBuilder().maximumSize(MAX_REMEMBERED).build()

    private val progress = ProgressCache(store, clock)
    private val reader = JobReader(store, limits.transactionCompares)
    private val lists = PrerequisiteLists(store, limits)
    private val prerequisites = PrerequisiteEvaluator(store, reader, lists, finished, limits.transactionCompares)

    /** Reads the machine types that the leader has stored. */
    fun refreshTypes() {
        types = TypesForm.read(store)?.types ?: return
    }

    /** Takes note of the record of a live job that was read elsewhere. */
    fun noteRecord(record: JobRecord, modRevision: ModRevision) = reader.note(record, modRevision)

    override fun ready() = isReady()

    override fun submit(body: String, isForwarded: Boolean): UserAnswer {
        val json: JsonObject
        val id: JobId
        try {
            json = JobValidation.parseObject(body)
            id = JobValidation.idOf(json)
        } catch (e: Malformed) {
            return UserAnswer(400, errorBody(e.message ?: "malformed"))
        }
        finished.getIfPresent(id)?.let { return known(id, it) }
        return served(isForwarded, ForwardedRequest("POST", "/v1/jobs", body)) { submitKnownForm(id, json) }
    }

    private fun submitKnownForm(id: JobId, json: JsonObject): UserAnswer {
        val spec = try {
            JobValidation.parse(json)
        } catch (e: Malformed) {
            return lookUp(id) ?: UserAnswer(400, errorBody(e.message ?: "malformed"))
        }
        val types = types
        if (types.isEmpty()) return lookUp(id) ?: later("machine types are not known yet")
        JobValidation.neverRuns(spec, teams, types)?.let { why -> return lookUp(id) ?: UserAnswer(422, errorBody(why)) }
        if (spec.prerequisites.isNotEmpty()) refusePrerequisites(spec)?.let { refused -> return lookUp(id) ?: refused }
        return accept(JobRecord(spec, clock.wall()))
    }

    /** Why a job with these prerequisites can't be taken now or at all, or null where it can. */
    private fun refusePrerequisites(spec: JobSpec): UserAnswer? {
        if (!acceptsPrerequisites()) return later("a node of an earlier version may still be running")
        return when (val fault = prerequisites.faultIn(spec.prerequisites)) {
            is PrerequisiteFault.NeverAccepted -> UserAnswer(422, errorBody("waitsOn: ${fault.id} was never accepted"))
            is PrerequisiteFault.IsService -> UserAnswer(422, errorBody("waitsOn: ${fault.id} is a service"))
            null -> null
        }
    }

    private fun accept(record: JobRecord): UserAnswer {
        val id = record.spec.id
        if (!lists.fitsWithoutPrerequisites(record)) return lookUp(id) ?: UserAnswer(400, errorBody("names are too long"))
        val stored = lists.store(record)
        val transaction = Transaction(
            listOf(Compare(Keys.job(id), ModRevision.ABSENT), Compare(Keys.finished(id), ModRevision.ABSENT)),
            listOf(Write.Put(Keys.job(id), WireJson.encodeToJsonElement(stored))),
        )
        return when (val outcome = store.commit(transaction)) {
            is TransactionResult.Committed -> {
                // Its user may name it in the next submission at once.
                noteRecord(stored, ModRevision(outcome.revision.number))
                UserAnswer(201, encode(JobAnswer(id, JobStatus.PENDING)))
            }
            is TransactionResult.CompareFailed -> lookUp(id) ?: later("try again")
        }
    }

    override fun status(id: String, isForwarded: Boolean): UserAnswer {
        val job = JobId.parse(id) ?: return unknown()
        finished.getIfPresent(job)?.let { return known(job, it) }
        return served(isForwarded, ForwardedRequest("GET", "/v1/jobs/$id", "")) { describe(job, reader.read(job)) ?: unknown() }
    }

    override fun cancel(id: String, isForwarded: Boolean): UserAnswer {
        val job = JobId.parse(id) ?: return unknown()
        finished.getIfPresent(job)?.let { return known(job, it) }
        return served(isForwarded, ForwardedRequest("POST", "/v1/jobs/$id/cancel", "")) { cancelKnownForm(job) }
    }

    private fun cancelKnownForm(id: JobId): UserAnswer {
        repeat(TRIES) {
            val entry = store.get(Keys.job(id)) ?: return lookUp(id) ?: unknown()
            val record = record(entry)
            if (record.cancelled) return confirm(id, record)
            // Done and cancelled race on this key: only one of them finds the version it expects.
            val cancelled = record.copy(cancelled = true)
            val transaction = Transaction(
                listOf(Compare(entry.key, entry.modRevision)),
                listOf(Write.Put(entry.key, WireJson.encodeToJsonElement(cancelled))),
            )
            if (store.commit(transaction) is TransactionResult.Committed) return confirm(id, cancelled)
        }
        return later("try again")
    }

    private fun confirm(id: JobId, record: JobRecord): UserAnswer {
        onCancelled(id)
        return known(id, remember(id, record))
    }

    /** The state of a known job, or null where no such job was accepted. */
    private fun lookUp(id: JobId): UserAnswer? = describe(id, reader.read(id))

    private fun describe(id: JobId, state: JobState): UserAnswer? = when (state) {
        is JobState.Live -> describe(state.record)
        is JobState.Finished -> {
            finished.put(id, state.record)
            known(id, state.record)
        }
        JobState.Unknown -> null
    }

    private fun describe(record: JobRecord): UserAnswer {
        val id = record.spec.id
        if (record.cancelled) return known(id, remember(id, record))
        return when (val state = prerequisites.evaluate(record)) {
            PrerequisiteState.Satisfied -> describeReleased(id)
            PrerequisiteState.Cancelled -> known(id, remember(id, record))
            is PrerequisiteState.Waiting -> describeWaiting(id, state.jobs)
        }
    }

    private fun describeWaiting(id: JobId, waitsOn: List<JobId>): UserAnswer {
        val answer = JobAnswer(id, JobStatus.PENDING, done = 0, running = 0, waitsOn = waitsOn.take(MAX_NAMED))
        return UserAnswer(200, encode(answer))
    }

    private fun describeReleased(id: JobId): UserAnswer {
        val progress = progress.of(id)
        val status = if (progress.running > 0) JobStatus.RUNNING else JobStatus.PENDING
        return UserAnswer(200, encode(JobAnswer(id, status, progress.done, progress.running)))
    }

    private fun remember(id: JobId, record: JobRecord): FinishedJobRecord =
        FinishedJobRecord(JobStatus.CANCELLED, record.spec.tasks).also { finished.put(id, it) }

    private fun known(id: JobId, record: FinishedJobRecord): UserAnswer {
        val done = if (record.status == JobStatus.DONE) record.tasks else null
        return UserAnswer(200, encode(JobAnswer(id, record.status, done, running = done?.let { 0 })))
    }

    /** Serves from the store, or through another node; where neither can, the user is told at once to come back. */
    private fun served(isForwarded: Boolean, request: ForwardedRequest, serve: () -> UserAnswer): UserAnswer = try {
        serve()
    } catch (e: StoreRequestRejectedException) {
        // Every other node would send the same, so it is not passed on.
        log.debug("{}: {}", request.path, e.message)
        later("the state service does not take the record")
    } catch (e: StoreException) {
        (if (isForwarded) null else forward(request)) ?: later("the state service does not answer")
    } catch (e: IllegalArgumentException) {
        // Not the user's fault, so it must not look like a malformed request.
        log.error("unreadable record for {}: {}", request.path, e.message)
        later("the job's record cannot be read")
    }

    private fun record(entry: Entry) = WireJson.decodeFromJsonElement<JobRecord>(entry.value)
    private fun encode(answer: JobAnswer) = WireJson.encodeToString(answer)
    private fun unknown() = UserAnswer(404, errorBody("no such job"))
    private fun later(why: String) = UserAnswer(503, errorBody(why), RETRY_AFTER_S)

    private companion object {
        const val TRIES = 3
        const val RETRY_AFTER_S = 1
        const val MAX_REMEMBERED = 20_000L

        /** Of the jobs that a job waits for at most so many are named to its user. */
        const val MAX_NAMED = 20
    }
}
