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

/** The users of a [World]: they submit jobs to its controllers, ask about them and cancel some. */
class Users(private val world: World) {
    private val time get() = world.time
    private val random get() = world.random
    private val rules get() = world.rules
    val jobs = LinkedHashMap<JobId, JobSpec>()
    private val accepted = LinkedHashSet<JobId>()
    private val cancelled = LinkedHashSet<JobId>()

    /** Jobs whose users wait for an answer: none asks twice at a time. */
    private val asking = HashSet<JobId>()
    private var cancelsAtEndUntil = 0L
    private var oddNumber = 900_000

    /** What users do at random moments of a busy day. */
    fun step(busy: Boolean) {
        if (busy && random.nextInt(25) == 0) submitSomething()
        if (busy && random.nextInt(120) == 0) accepted.randomOrNull(random)?.let { cancel(it) }
        if (random.nextInt(10) == 0) (jobs.keys + JobId("j-999999")).randomOrNull(random)?.let { poll(it) }
    }

    /** What a user is told who waits up to [waitsMs]; a node that stands still answers nobody in time. */
    private fun ask(what: String, id: JobId, waitsMs: Long, at: ControllerHost? = null, act: (Controller) -> UserAnswer): UserAnswer? {
        val host = at ?: world.hosts.filter { it.controller != null && !it.faults.isStalled() }.randomOrNull(random) ?: return null
        if (!asking.add(id)) return null
        val askedAt = time.now
        time.record { "user ${host.number} $what ${id.text}" }
        var result: UserAnswer? = null
        host.guarded { result = act(checkNotNull(host.controller)) }
        asking -= id
        time.record { "user ${host.number} $what ${id.text} answered ${result?.run { "$status $retryAfterS $body" }}" }
        return result.takeIf { time.now - askedAt <= waitsMs }
    }

    /** The status that the submission of [spec] gets, or null where no answer comes in time. */
    fun submit(spec: JobSpec, at: ControllerHost? = null): Int? {
        jobs[spec.id] = spec
        rules.submitting(spec, time.now)
        val answer =
            ask("submit", spec.id, SUBMIT_WAITS_MS, at) {
                it.users.submit(WireJson.encodeToString(spec), isForwarded = false)
            } ?: return null
        rules.submissionAnswered(spec.id, answer.status)
        if (answer.status in 200..201) accepted += spec.id
        answer.state()?.let { rules.statusAnswered(spec.id, answer.status, it, time.now) }
        return answer.status
    }

    /** Submits [spec] until it is accepted. */
    fun accept(spec: JobSpec): JobId {
        repeat(50) {
            if (submit(spec) in 200..201) return spec.id
            world.run(1000, busy = false)
        }
        throw AssertionError("${spec.id} was never accepted")
    }

    /** The status that a cancellation gets, or null where no answer comes in time. */
    fun cancel(id: JobId, at: ControllerHost? = null): Int? {
        rules.cancelling(id)
        val answer = ask("cancel", id, SUBMIT_WAITS_MS, at) { it.users.cancel(id.text, isForwarded = false) } ?: return null
        rules.statusAnswered(id, answer.status, answer.state(), time.now)
        if (answer.status == 200) cancelled += id
        return answer.status
    }

    /** The state that a user is told, or null where no answer comes in time. */
    fun poll(id: JobId, at: ControllerHost? = null): JobStatus? {
        val askedAt = time.now
        val answer = ask("status", id, POLL_WAITS_MS, at) { it.users.status(id.text, isForwarded = false) }
        rules.asked(id, answer?.status == 200, time.now)
        if (answer == null) return null
        rules.statusAnswered(id, answer.status, answer.state(), time.now, askedAt)
        return answer.state()
    }

    private fun UserAnswer.state(): JobStatus? = if (status in 200..201) WireJson.decodeFromString<JobAnswer>(body).status else null

    private fun submitSomething() {
        if (jobs.isNotEmpty() && random.nextInt(4) == 0) {
            submit(jobs.values.random(random))
            return
        }
        submit(world.job(jobs.size) { it.copy(prerequisites = drawPrerequisites()) })
    }

    /** At times some accepted jobs, in whatever state: chains, diamonds and fans come about by themselves. */
    private fun drawPrerequisites(): List<JobId> {
        if (random.nextInt(3) != 0 || !world.usesPipelines) return emptyList()
        val arrays = accepted.filter { jobs.getValue(it).shape == Shape.ARRAY }
        val named = if (random.nextInt(4) == 0) arrays else arrays.takeLast(RECENT_JOBS)
        return named.shuffled(random).take(random.nextInt(1, 4))
    }

    /** Requests that nobody should send: jobs that fit nowhere, lack a field or exceed their team's limit. */
    fun submitOdd() {
        val good = world.job(oddNumber--) { it.copy(shape = Shape.ARRAY) }
        val body = WireJson.encodeToJsonElement(good).jsonObject
        val odd = when (random.nextInt(if (world.usesPipelines) 7 else 4)) {
            4 -> WireJson.encodeToJsonElement(good.copy(prerequisites = listOf(JobId("j-888888")))).jsonObject
            5 -> WireJson.encodeToJsonElement(good.copy(prerequisites = listOf(good.id))).jsonObject
            6 -> JsonObject(body + ("waitsOn" to JsonPrimitive("j-000001")))
            0 -> JsonObject(body - body.keys.filter { it !in OPTIONAL }.random(random))
            1 -> WireJson.encodeToJsonElement(good.copy(cpus = 17.0)).jsonObject
            2 -> WireJson.encodeToJsonElement(good.copy(team = TeamId("nobody"))).jsonObject
            else -> WireJson.encodeToJsonElement(good.copy(types = listOf(TypeId("s")), memoryGb = 17.0)).jsonObject
        }
        val answer = ask("odd", good.id, SUBMIT_WAITS_MS) { it.users.submit(odd.toString(), isForwarded = false) } ?: return
        rules.oddAnswered(odd.toString(), answer.status)
    }

    /** Users call a job off at the very moment at which one of its tasks ends, and ask about it and submit it once more. */
    fun taskDone(id: JobId) {
        if (time.now >= cancelsAtEndUntil || random.nextInt(4) != 0 || id !in accepted) return
        time.later(random.nextLong(0, 300)) { cancel(id) }
        time.later(random.nextLong(0, 300)) { poll(id) }
        time.later(random.nextLong(0, 300)) { submit(jobs.getValue(id)) }
    }

    /** For [ms] users call jobs off, ask about them and submit them again just as a task ends. */
    fun cancelsAtEnd(ms: Long) {
        cancelsAtEndUntil = time.now + ms
    }

    /** Users call off some jobs at moments within [withinMs]. */
    fun cancelSomeWithin(withinMs: Long) =
        accepted.shuffled(random).take(3).forEach { id -> time.later(random.nextLong(0, withinMs)) { cancel(id) } }

    /** Users call off all services that were accepted. */
    fun cancelServices() {
        for (id in accepted.filter { jobs.getValue(it).shape == Shape.SERVICE }) {
            while (cancel(id) != 200) world.run(2000, busy = false)
        }
    }

    /** Arrays that were accepted and not cancelled but are not done yet. */
    fun unfinished(): List<JobId> = accepted.filter { id ->
        val before = rules.ancestors(id)
        jobs.getValue(id).shape == Shape.ARRAY &&
            id !in cancelled &&
            id !in world.poisoned &&
            rules.tellable(id) == null &&
            before.none { it in cancelled || it in world.poisoned }
    }

    private companion object {
        const val SUBMIT_WAITS_MS = 5000L
        const val POLL_WAITS_MS = 2000L
        const val RECENT_JOBS = 8
        val OPTIONAL = setOf("hulls", "yard", "dueS")
    }
}
