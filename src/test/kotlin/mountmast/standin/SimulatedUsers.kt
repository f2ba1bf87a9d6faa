package mountmast.standin

import kotlinx.serialization.decodeFromString
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.encodeToJsonElement
import kotlinx.serialization.json.jsonObject
import mountmast.coordination.controller.Controller
import mountmast.protocol.JobAnswer
import mountmast.protocol.JobId
import mountmast.protocol.JobSpec
import mountmast.protocol.JobStatus
import mountmast.protocol.Shape
import mountmast.protocol.TeamId
import mountmast.protocol.TypeId
import mountmast.protocol.WireJson
import mountmast.transport.UserAnswer

/** The simulated users of a [SimulatedCluster]: they submit jobs, request their status, and cancel some. Each answer is checked. */
class SimulatedUsers(private val cluster: SimulatedCluster) {
    private val time get() = cluster.time
    private val random get() = cluster.random
    private val invariants get() = cluster.invariants
    val jobs = LinkedHashMap<JobId, JobSpec>()
    private val accepted = LinkedHashSet<JobId>()
    private val cancelled = LinkedHashSet<JobId>()

    /** Jobs with a request under way: there is one request at a time for each job. */
    private val requestsUnderWay = HashSet<JobId>()
    private var cancelsOnCompletionUntil = 0L
    private var nextInvalidNumber = 900_000

    /** Sends random user requests; if [busy], also submissions and cancellations. */
    fun step(busy: Boolean) {
        if (busy && random.nextInt(25) == 0) submitRandomJob()
        if (busy && random.nextInt(120) == 0) accepted.randomOrNull(random)?.let { cancel(it) }
        if (random.nextInt(10) == 0) (jobs.keys + JobId("j-999999")).randomOrNull(random)?.let { poll(it) }
    }

    /** Sends a request to [at] or a random node. Returns null without an answer within [timeoutMs], as of a node paused by a fault. */
    private fun send(
        requestName: String,
        id: JobId,
        timeoutMs: Long,
        at: ControllerHost? = null,
        request: (Controller) -> UserAnswer,
    ): UserAnswer? {
        val host = at ?: cluster.hosts.filter { it.controller != null && !it.faults.isStalled() }.randomOrNull(random) ?: return null
        if (!requestsUnderWay.add(id)) return null
        val askedAt = time.now
        time.record { "user ${host.number} $requestName ${id.text}" }
        var result: UserAnswer? = null
        host.runInProcess { result = request(checkNotNull(host.controller)) }
        requestsUnderWay -= id
        time.record { "user ${host.number} $requestName ${id.text} answered ${result?.run { "$status $retryAfterS $body" }}" }
        return result.takeIf { time.now - askedAt <= timeoutMs }
    }

    /** Submits [spec]. Returns the HTTP status, or null without an answer in time. */
    fun submit(spec: JobSpec, at: ControllerHost? = null): Int? {
        jobs[spec.id] = spec
        invariants.recordSubmission(spec, time.now)
        val answer =
            send("submit", spec.id, SUBMIT_TIMEOUT_MS, at) {
                it.users.submit(WireJson.encodeToString(spec), isForwarded = false)
            } ?: return null
        invariants.checkSubmissionAnswer(spec.id, answer.status)
        if (answer.status in 200..201) accepted += spec.id
        answer.state()?.let { invariants.checkStatusAnswer(spec.id, answer.status, it, time.now) }
        return answer.status
    }

    /** Submits [spec] about once a second until it is accepted. Throws [AssertionError] after 50 attempts. */
    fun accept(spec: JobSpec): JobId {
        repeat(50) {
            if (submit(spec) in 200..201) return spec.id
            cluster.run(1000, busy = false)
        }
        throw AssertionError("${spec.id} was not accepted in 50 attempts")
    }

    /** Cancels the job [id]. Returns the HTTP status, or null without an answer in time. */
    fun cancel(id: JobId, at: ControllerHost? = null): Int? {
        invariants.recordCancellation(id)
        val answer = send("cancel", id, SUBMIT_TIMEOUT_MS, at) { it.users.cancel(id.text, isForwarded = false) } ?: return null
        invariants.checkStatusAnswer(id, answer.status, answer.state(), time.now)
        if (answer.status == 200) cancelled += id
        return answer.status
    }

    /** Requests the status of the job [id]. Returns it, or null without an answer in time or with an error as answer. */
    fun poll(id: JobId, at: ControllerHost? = null): JobStatus? {
        val askedAt = time.now
        val answer = send("status", id, POLL_TIMEOUT_MS, at) { it.users.status(id.text, isForwarded = false) }
        invariants.recordStatusRequest(id, answer?.status == 200, time.now)
        if (answer == null) return null
        invariants.checkStatusAnswer(id, answer.status, answer.state(), time.now, askedAt)
        return answer.state()
    }

    private fun UserAnswer.state(): JobStatus? = if (status in 200..201) WireJson.decodeFromString<JobAnswer>(body).status else null

    private fun submitRandomJob() {
        if (jobs.isNotEmpty() && random.nextInt(4) == 0) {
            submit(jobs.values.random(random))
            return
        }
        submit(cluster.job(jobs.size) { it.copy(prerequisites = drawPrerequisites()) })
    }

    /** Draws prerequisites for one in three jobs, from accepted jobs in any state, so that chains, diamonds and fans arise. */
    private fun drawPrerequisites(): List<JobId> {
        if (random.nextInt(3) != 0 || !cluster.usesPrerequisites) return emptyList()
        val arrays = accepted.filter { jobs.getValue(it).shape == Shape.ARRAY }
        val candidates = if (random.nextInt(4) == 0) arrays else arrays.takeLast(RECENT_JOB_COUNT)
        return candidates.shuffled(random).take(random.nextInt(1, 4))
    }

    /** Submits an invalid job: one that fits no machine, lacks a field, or has an unknown team or wrong prerequisites. */
    fun submitInvalidJob() {
        val validJob = cluster.job(nextInvalidNumber--) { it.copy(shape = Shape.ARRAY) }
        val body = WireJson.encodeToJsonElement(validJob).jsonObject
        val invalidJob = when (random.nextInt(if (cluster.usesPrerequisites) 7 else 4)) {
            4 -> WireJson.encodeToJsonElement(validJob.copy(prerequisites = listOf(JobId("j-888888")))).jsonObject
            5 -> WireJson.encodeToJsonElement(validJob.copy(prerequisites = listOf(validJob.id))).jsonObject
            6 -> JsonObject(body + ("waitsOn" to JsonPrimitive("j-000001")))
            0 -> JsonObject(body - body.keys.filter { it !in OPTIONAL_FIELDS }.random(random))
            1 -> WireJson.encodeToJsonElement(validJob.copy(cpus = 17.0)).jsonObject
            2 -> WireJson.encodeToJsonElement(validJob.copy(team = TeamId("nobody"))).jsonObject
            else -> WireJson.encodeToJsonElement(validJob.copy(types = listOf(TypeId("s")), memoryGb = 17.0)).jsonObject
        }
        val answer = send("odd", validJob.id, SUBMIT_TIMEOUT_MS) { it.users.submit(invalidJob.toString(), isForwarded = false) } ?: return
        invariants.checkInvalidSubmissionAnswer(invalidJob.toString(), answer.status)
    }

    /** Called when a task of [id] completes. While [cancelOnTaskCompletion] lasts, users cancel the job, poll it and submit it again. */
    fun onTaskCompleted(id: JobId) {
        if (time.now >= cancelsOnCompletionUntil || random.nextInt(4) != 0 || id !in accepted) return
        time.schedule(random.nextLong(0, 300)) { cancel(id) }
        time.schedule(random.nextLong(0, 300)) { poll(id) }
        time.schedule(random.nextLong(0, 300)) { submit(jobs.getValue(id)) }
    }

    /** For [ms] users cancel some jobs, request their status and submit them again within 300 ms of the completion of a task. */
    fun cancelOnTaskCompletion(ms: Long) {
        cancelsOnCompletionUntil = time.now + ms
    }

    /** Users cancel up to three accepted jobs at random times within [withinMs]. */
    fun cancelSomeWithin(withinMs: Long) =
        accepted.shuffled(random).take(3).forEach { id -> time.schedule(random.nextLong(0, withinMs)) { cancel(id) } }

    /** Users cancel all accepted jobs of shape [Shape.SERVICE], which would never end. */
    fun cancelServices() {
        for (id in accepted.filter { jobs.getValue(it).shape == Shape.SERVICE }) {
            while (cancel(id) != 200) cluster.run(2000, busy = false)
        }
    }

    /** Returns the accepted array jobs without a final status, except cancelled jobs, jobs that always fail, and their dependents. */
    fun unfinishedJobs(): List<JobId> = accepted.filter { id ->
        val allPrerequisites = invariants.transitivePrerequisites(id)
        jobs.getValue(id).shape == Shape.ARRAY &&
            id !in cancelled &&
            id !in cluster.failingJobs &&
            invariants.finalStatusOf(id) == null &&
            allPrerequisites.none { it in cancelled || it in cluster.failingJobs }
    }

    private companion object {
        const val SUBMIT_TIMEOUT_MS = 5000L
        const val POLL_TIMEOUT_MS = 2000L
        const val RECENT_JOB_COUNT = 8
        val OPTIONAL_FIELDS = setOf("hulls", "yard", "dueS")
    }
}
