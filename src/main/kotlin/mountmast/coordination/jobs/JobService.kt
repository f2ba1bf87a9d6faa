package mountmast.coordination.jobs

import kotlinx.serialization.json.JsonObject
import mountmast.protocol.Clock
import mountmast.protocol.ForwardedRequest
import mountmast.protocol.JobId
import mountmast.protocol.JobValidation
import mountmast.protocol.MalformedRequestException
import mountmast.protocol.ModRevision
import mountmast.protocol.StateLimits
import mountmast.protocol.TeamId
import mountmast.protocol.TeamQuota
import mountmast.storage.JobRecord
import mountmast.storage.PrerequisiteLists
import mountmast.storage.StateStore
import mountmast.storage.StoreException
import mountmast.transport.UserAnswer
import mountmast.transport.UserService

/**
 * Serves users' requests on any node. The state service is the source of truth: a job is reported as accepted, done or cancelled only
 * after the state service has committed or returned that state. Final states are answered from memory; the state of any other
 * job is read from the state service for each request. Only a job's progress, which is for display, comes from a cache. Thread-safe.
 */
class JobService(
    store: StateStore,
    teams: Map<TeamId, TeamQuota>,
    clock: Clock,
    /** The largest values and transactions that the state service accepts. */
    limits: StateLimits,
    private val node: HostNode,
) : UserService {
    private val machineTypeCache = MachineTypeCache(store)
    private val finalStateCache = FinalStateCache()
    private val recordCache = UnconfirmedRecordCache()
    private val jobReader = JobReader(JobStateLoader(store, recordCache, limits.transactionCompares), limits.transactionCompares)
    private val prerequisiteLists = PrerequisiteLists(store, limits)
    private val prerequisiteEvaluator = PrerequisiteEvaluator(jobReader, recordCache, prerequisiteLists, finalStateCache)
    private val statusReader = JobStatusReader(jobReader, finalStateCache, prerequisiteEvaluator, ProgressCache(store, clock))
    private val prerequisiteValidator = PrerequisiteValidator(store, jobReader, recordCache, finalStateCache, limits.transactionCompares)
    private val submissionValidator = SubmissionValidator(teams, machineTypeCache, prerequisiteValidator, node)
    private val submission = JobSubmission(store, submissionValidator, prerequisiteLists, recordCache, statusReader, clock)
    private val cancellation = JobCancellation(store, statusReader, node)
    private val forwarder = RequestForwarder(node, store)

    /** Whether machine types have been read; without them, no job can be accepted. */
    val knowsMachineTypes: Boolean get() = machineTypeCache.types.isNotEmpty()

    /**
     * Reads the machine types that the leader has stored. Throws [StoreException] if a request to the state service fails, and
     * [IllegalArgumentException] if the machine types cannot be decoded.
     */
    fun refreshMachineTypes() = machineTypeCache.refresh()

    /** Caches the record of a live job that another component watched or listed, unless one of the same or a later revision is cached. */
    fun cacheRecord(record: JobRecord, modRevision: ModRevision) = recordCache.putIfNewer(record, modRevision)

    override fun isReady() = node.isReady()

    override fun submit(body: String, isForwarded: Boolean): UserAnswer {
        val json: JsonObject
        val id: JobId
        try {
            json = JobValidation.parseObject(body)
            id = JobValidation.parseId(json)
        } catch (e: MalformedRequestException) {
            return RequestRejection.MalformedBody(e.message).toUserAnswer()
        }
        return serve(id, ForwardedRequest("POST", "/v1/jobs", body), isForwarded) { submission.submit(id, json) }
    }

    override fun status(id: String, isForwarded: Boolean): UserAnswer {
        val job = JobId.parse(id) ?: return RequestRejection.JobNotFound.toUserAnswer()
        val request = ForwardedRequest("GET", "/v1/jobs/$id", "")
        return serve(job, request, isForwarded) { statusReader.find(job).orReject(RequestRejection.JobNotFound) }
    }

    override fun cancel(id: String, isForwarded: Boolean): UserAnswer {
        val job = JobId.parse(id) ?: return RequestRejection.JobNotFound.toUserAnswer()
        return serve(job, ForwardedRequest("POST", "/v1/jobs/$id/cancel", ""), isForwarded) { cancellation.cancel(job) }
    }

    /** Answers any request for a job whose final state is cached with that state; serves or forwards all other requests. */
    private fun serve(id: JobId, request: ForwardedRequest, isForwarded: Boolean, serveFromStore: () -> RequestOutcome): UserAnswer =
        statusReader.cachedFinalStatus(id)?.let { RequestOutcome.Existing(it).toUserAnswer() }
            ?: forwarder.serveOrForward(request, isForwarded, serveFromStore)
}
