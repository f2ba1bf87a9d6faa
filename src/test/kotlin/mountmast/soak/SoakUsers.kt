package mountmast.soak

import kotlinx.serialization.decodeFromString
import kotlinx.serialization.encodeToString
import mountmast.protocol.ImageId
import mountmast.protocol.JobAnswer
import mountmast.protocol.JobId
import mountmast.protocol.JobSpec
import mountmast.protocol.JobStatus
import mountmast.protocol.Shape
import mountmast.protocol.Urgency
import mountmast.protocol.WireJson
import mountmast.transport.HttpCaller
import mountmast.transport.NoAnswerException
import mountmast.transport.Reply
import java.net.InetAddress
import java.net.InetSocketAddress
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random

/** Users that submit jobs to random controllers, poll their status, repeat submissions and cancel some jobs. */
class SoakUsers(private val run: SoakRun, private val random: Random) {
    private val caller = HttpCaller(connectMs = 500)

    /** All jobs that were submitted, whether accepted or not. */
    val jobs = ConcurrentHashMap<JobId, JobSpec>()

    /** The jobs that were accepted; a job whose submission was repeated may occur more than once. */
    val accepted = ConcurrentLinkedQueue<JobId>()
    private val cancelled = ConcurrentHashMap.newKeySet<JobId>()
    private val inFlight = ConcurrentHashMap.newKeySet<JobId>()
    private val nextNumber = AtomicInteger()

    /** Returns the accepted jobs that must get done: no user cancelled them or any of their direct or indirect prerequisites. */
    fun expectedJobs(): List<JobId> = accepted.distinct().filter { id ->
        id !in cancelled && run.rules.transitivePrerequisites(id).none { it in cancelled }
    }

    /** Performs one random action of a user. */
    fun performRandomAction() {
        when (random.nextInt(10)) {
            in 0..2 -> submit(drawJob())
            3 -> accepted.randomOrNull()?.let { submit(jobs.getValue(it)) }
            4 -> if (random.nextInt(3) == 0) accepted.randomOrNull()?.let(::cancel)
            else -> accepted.randomOrNull()?.let(::poll)
        }
    }

    private fun ConcurrentLinkedQueue<JobId>.randomOrNull(): JobId? = toList().randomOrNull(random)

    private fun drawJob(): JobSpec {
        val cpus = run.size.cpus.random(random)
        val prerequisites = if (random.nextInt(4) == 0) accepted.toList().takeLast(5).shuffled(random).take(2) else emptyList()
        return JobSpec(
            JobId("j-" + nextNumber.getAndIncrement().toString().padStart(6, '0')), "c",
            SoakDeployment.teams.keys.random(random), Shape.ARRAY,
            Urgency.entries.random(
                random,
            ),
            random.nextInt(1, 2 * run.size.tasksPerJob), cpus, 0.0, cpus * 2, ImageId("i${random.nextInt(3)}"),
            random.nextDouble(0.0, 0.5), null, null, false, false, true, random.nextDouble(0.5, 6.0),
            if (random.nextBoolean()) 2.0 else 0.0, 0.5, null, prerequisites,
        )
    }

    private fun send(method: String, path: String, body: String?, timeoutMs: Int): Reply? = try {
        val address = InetSocketAddress(InetAddress.getLoopbackAddress(), run.publicPorts.random(random))
        caller.call(address, method, path, body?.encodeToByteArray(), timeoutMs)
    } catch (e: NoAnswerException) {
        null
    }

    /**
     * Runs [action] and returns its result, or returns null if a request about [id] is in flight: the order of the responses to
     * concurrent requests is undefined, so they cannot be checked against each other.
     */
    private fun <T> runExclusively(id: JobId, action: () -> T): T? {
        if (!inFlight.add(id)) return null
        try {
            return action()
        } finally {
            inFlight -= id
        }
    }

    private fun Reply.jobStatus(): JobStatus? = if (status in 200..201) WireJson.decodeFromString<JobAnswer>(text).status else null

    private fun submit(spec: JobSpec) = runExclusively(spec.id) { sendSubmission(spec) }

    private fun sendSubmission(spec: JobSpec) {
        jobs[spec.id] = spec
        run.clock.runLocked { run.rules.recordSubmission(spec, run.clock.time.now) }
        val reply = send("POST", "/v1/jobs", WireJson.encodeToString(spec), SUBMIT_TIMEOUT_MS) ?: return
        run.clock.runLocked {
            run.rules.checkSubmissionAnswer(spec.id, reply.status)
            reply.jobStatus()?.let { run.rules.checkStatusAnswer(spec.id, reply.status, it, run.clock.time.now) }
        }
        if (reply.status in 200..201) accepted += spec.id
    }

    private fun cancel(id: JobId) = runExclusively(id) { sendCancellation(id) }

    private fun sendCancellation(id: JobId) {
        cancelled += id
        run.clock.runLocked { run.rules.recordCancellation(id) }
        val reply = send("POST", "/v1/jobs/$id/cancel", "", SUBMIT_TIMEOUT_MS) ?: return
        run.clock.runLocked { run.rules.checkStatusAnswer(id, reply.status, reply.jobStatus(), run.clock.time.now) }
    }

    /** Returns the status in the response to a user, or null if there is none. */
    fun poll(id: JobId): JobStatus? = runExclusively(id) { sendPoll(id) }

    private fun sendPoll(id: JobId): JobStatus? {
        val askedAt = run.clock.runLocked { run.clock.time.now }
        val reply = send("GET", "/v1/jobs/$id", null, POLL_TIMEOUT_MS)
        return run.clock.runLocked {
            run.rules.recordStatusRequest(id, reply?.status == 200, run.clock.time.now)
            if (reply != null) run.rules.checkStatusAnswer(id, reply.status, reply.jobStatus(), run.clock.time.now, askedAt)
            reply?.jobStatus()
        }
    }

    private companion object {
        const val SUBMIT_TIMEOUT_MS = 5000
        const val POLL_TIMEOUT_MS = 2000
    }
}
