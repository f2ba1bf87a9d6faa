package mountmast.standin

import mountmast.protocol.JobId
import mountmast.protocol.JobSpec
import mountmast.protocol.JobStatus
import mountmast.protocol.MachineId
import mountmast.protocol.Resources
import mountmast.protocol.TaskId
import mountmast.protocol.TeamId
import mountmast.protocol.TeamQuota
import mountmast.protocol.TypeId
import mountmast.protocol.Zone

/** A broken rule. */
class RuleBroken(message: String) : AssertionError(message)

/** Where a task runs, as the rules see it. */
data class Place(val machine: MachineId, val type: TypeId, val zone: Zone, val spot: Boolean)

/** Which tasks are on machines, by job, and what each team's take: looked at for every start of tens of thousands. */
private class RunningTasks {
    private val byJob = HashMap<JobId, HashMap<TaskId, Place>>()
    private val uses = HashMap<TeamId, Resources>()

    fun of(job: JobId): Map<TaskId, Place> = byJob[job].orEmpty()

    fun placeOf(task: TaskId): Place? = byJob[task.job]?.get(task)

    fun useOf(team: TeamId): Resources = uses[team] ?: Resources.NONE

    fun add(task: TaskId, place: Place, spec: JobSpec) {
        val isNew = byJob.getOrPut(task.job) { HashMap() }.put(task, place) == null
        if (isNew) uses.merge(spec.team, spec.perTask) { sum, taken -> (sum + taken).rounded() }
    }

    fun remove(task: TaskId, spec: JobSpec) {
        if (byJob[task.job]?.remove(task) != null) uses.merge(spec.team, spec.perTask) { sum, taken -> (sum - taken).rounded() }
    }
}

/** PROTOCOL's rules, checked as things happen. */
class Rules(private val teams: Map<TeamId, TeamQuota>, private val cancelMs: Long) {
    private val submitted = HashMap<JobId, JobSpec>()
    private val accepted = HashSet<JobId>()
    private val cancelAsked = HashSet<JobId>()
    private val told = HashMap<JobId, JobStatus>()
    private val cancelToldAt = HashMap<JobId, Long>()
    private val running = RunningTasks()
    private val completed = HashMap<JobId, HashSet<Int>>()
    private val firstStart = HashMap<JobId, Long>()
    private val submittedAt = HashMap<JobId, Long>()

    /** Since when all questions about a job went without an answer. */
    private val unansweredSince = HashMap<JobId, Long>()
    var started = 0
        private set

    /** When the last trouble ended; null while there may be some. */
    var quietSince: Long? = null

    fun submitting(spec: JobSpec, now: Long = 0) {
        submitted[spec.id] = spec
        submittedAt.putIfAbsent(spec.id, now)
    }

    /** How long after its submission a job's first task started, or null where none did. */
    fun beganAfterMs(id: JobId): Long? = firstStart[id]?.let { it - submittedAt.getValue(id) }

    /** A question about [id] was asked; [answered] tells whether it got its state. */
    fun asked(id: JobId, answered: Boolean, now: Long) {
        if (answered) unansweredSince -= id else unansweredSince.putIfAbsent(id, now)
        val quiet = quietSince ?: return
        val since = unansweredSince[id] ?: return
        // However others fare: each job counts for itself.
        if (id in accepted && now - maxOf(since, quiet) > FORGOTTEN_MS) broken("forgotten", "$id got no answer since $since")
    }

    fun cancelling(id: JobId) {
        cancelAsked += id
    }

    /** An answer to a submission. */
    fun submissionAnswered(id: JobId, status: Int) {
        if (status == 200 || status == 201) accepted += id
        if (id in accepted && (status == 400 || status == 422)) broken("forgotten", "$id got $status")
    }

    /** An answer to a poll, or to a cancellation where it names a state. */
    fun statusAnswered(id: JobId, status: Int, state: JobStatus?, now: Long, askedAt: Long = now) {
        if (status == 404 && id in accepted) broken("forgotten", "$id got 404")
        if (status != 200 || state == null) return
        if (id !in submitted) broken("invented", "$id")
        accepted += id
        if (state == JobStatus.DONE && completed[id].orEmpty().size < submitted.getValue(id).tasks) {
            broken("not_done", "$id has ${completed[id].orEmpty().size} tasks done")
        }
        if (state == JobStatus.CANCELLED && !cancelAskedFor(id)) broken("went_back", "$id was never cancelled")
        if (!state.isFinal) checkOrphaned(id, state, askedAt)
        val before = told[id]
        if (before != null && before != state) broken("went_back", "$id was $before, now $state")
        if (state.isFinal) told[id] = state
        if (state == JobStatus.CANCELLED) cancelToldAt.putIfAbsent(id, now)
    }

    /** All jobs that have to be done before [id] starts, directly or through others. */
    fun ancestors(id: JobId): Set<JobId> {
        val found = LinkedHashSet<JobId>()
        val pending = ArrayDeque(submitted[id]?.prerequisites.orEmpty())
        while (pending.isNotEmpty()) {
            val next = pending.removeFirst()
            if (found.add(next)) pending += submitted[next]?.prerequisites.orEmpty()
        }
        return found
    }

    private fun cancelAskedFor(id: JobId) = id in cancelAsked || ancestors(id).any { it in cancelAsked }

    /** Whether a user was told that [id] or a job before it is cancelled. */
    fun isCancelled(id: JobId) = id in cancelToldAt || ancestors(id).any { it in cancelToldAt }

    /** A job that needs a cancelled one is to be called cancelled in time. */
    private fun checkOrphaned(id: JobId, state: JobStatus, askedAt: Long) {
        val cancelled = ancestors(id).filter { it in cancelToldAt }.minByOrNull { cancelToldAt.getValue(it) } ?: return
        val sinceMs = askedAt - cancelToldAt.getValue(cancelled)
        if (sinceMs > cancelMs) broken("orphaned", "$id is called $state $sinceMs ms after $cancelled was cancelled")
    }

    /** Whether every job that [id] needs has completed all its tasks. */
    fun prerequisitesDone(id: JobId) =
        submitted.getValue(id).prerequisites.all { completed[it].orEmpty().size == submitted.getValue(it).tasks }

    fun taskStarts(task: TaskId, place: Place, now: Long) {
        started++
        firstStart.putIfAbsent(task.job, now)
        lastStart[task.job] = now
        starts.merge(task.job, 1, Int::plus)
        val spec = submitted.getValue(task.job)
        if (!prerequisitesDone(task.job)) broken("too_early", "$task before ${spec.prerequisites}")
        running.placeOf(task)?.let { if (it.machine != place.machine) broken("ran_twice", "$task on ${it.machine} and ${place.machine}") }
        if (spec.types != null && place.type !in spec.types!!) broken("wrong_place", "$task on ${place.type}")
        if (spec.zone != null && spec.zone != place.zone) broken("wrong_place", "$task in ${place.zone}")
        if (place.spot && !spec.spotAllowed) broken("wrong_place", "$task on spot")
        val others = running.of(task.job).filterKeys { it != task }.values
        if (spec.singleZone && others.any { it.zone != place.zone }) broken("wrong_place", "$task apart from its job")
        if (spec.spreadAcrossZones &&
            others.count { it.zone == place.zone } + 1 > spec.maxTasksPerZone
        ) {
            broken("wrong_place", "$task: too many in ${place.zone}")
        }
        running.add(task, place, spec)
        val use = running.useOf(spec.team)
        if (!teams.getValue(spec.team).limitAllows(use)) broken("quota", "${spec.team} uses $use")
        checkCancelled(task, now)
    }

    /** The controllers command a start of [id]; what they cannot know of a cancellation is a moment old at most. */
    fun startCommanded(id: JobId, now: Long) {
        val at = cancelToldAt[id] ?: return
        if (now - at > START_AFTER_CANCEL_MS) broken("started_cancelled", "$id, ${now - at} ms after its cancellation")
    }

    /** A submission that can't run or lacks a field got [status]. */
    fun oddAnswered(what: String, status: Int) {
        if (status in 200..299) broken("accepted_odd", "$what got $status")
    }

    /** Whether [id] has tasks that neither run nor are done, and how many run in each zone. */
    fun waits(id: JobId): Boolean = prerequisitesDone(id) && runningOf(id) + completed[id].orEmpty().size < submitted.getValue(id).tasks

    fun zonesOf(id: JobId): Map<Zone, Int> = running.of(id).values.groupingBy { it.zone }.eachCount()

    fun useOf(team: TeamId): Resources = running.useOf(team)

    private val roomSince = HashMap<JobId, Long>()

    /** Notes whether [id] waits although a machine that fits has room and its team is under its limit. */
    fun waitsBesideRoom(id: JobId, besideRoom: Boolean, now: Long) {
        val quiet = quietSince
        if (!besideRoom || quiet == null || now < quiet) {
            roomSince -= id
            return
        }
        val since = maxOf(roomSince.getOrPut(id) { now }, lastStart[id] ?: 0)
        if (now - since > LEFT_WAITING_MS) broken("left_waiting", "$id for ${now - since} ms")
    }

    private val lastStart = HashMap<JobId, Long>()

    fun taskGone(task: TaskId, place: MachineId, done: Boolean) {
        if (running.placeOf(task)?.machine == place) running.remove(task, submitted.getValue(task.job))
        if (done) completed.getOrPut(task.job) { HashSet() } += task.index
    }

    /** Called after each step. */
    fun check(now: Long) {
        for (job in cancelToldAt.keys) for (task in running.of(job).keys) checkCancelled(task, now)
    }

    /** How many starts of tasks of [id] there were. */
    fun startsOf(id: JobId) = starts[id] ?: 0

    private val starts = HashMap<JobId, Int>()

    /** How many tasks of [id] are on machines. */
    fun runningOf(id: JobId) = running.of(id).size

    fun tellable(id: JobId) = told[id]

    private fun checkCancelled(task: TaskId, now: Long) {
        val at = cancelToldAt[task.job] ?: return
        if (now - at > cancelMs) broken("ran_cancelled", "$task, ${now - at} ms after its cancellation")
    }

    private fun broken(rule: String, what: String): Nothing = throw RuleBroken("$rule: $what")

    private companion object {
        const val FORGOTTEN_MS = 75_000L
        const val LEFT_WAITING_MS = 90_000L
        const val START_AFTER_CANCEL_MS = 3000L
    }
}
