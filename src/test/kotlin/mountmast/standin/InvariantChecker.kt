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

/** Thrown when a rule of PROTOCOL is violated. */
class InvariantViolation(message: String) : AssertionError(message)

/** The machine that a task runs on, with the properties that placement rules refer to. */
data class TaskPlacement(val machine: MachineId, val type: TypeId, val zone: Zone, val spot: Boolean)

/**
 * The running tasks of each job, and the resources that each team uses. The sums are maintained incrementally, as simulations
 * check them at each of tens of thousands of task starts.
 */
private class RunningTasks {
    private val placesByJob = HashMap<JobId, HashMap<TaskId, TaskPlacement>>()
    private val usedByTeam = HashMap<TeamId, Resources>()

    fun of(job: JobId): Map<TaskId, TaskPlacement> = placesByJob[job].orEmpty()

    fun placeOf(task: TaskId): TaskPlacement? = placesByJob[task.job]?.get(task)

    fun resourcesUsedBy(team: TeamId): Resources = usedByTeam[team] ?: Resources.NONE

    fun add(task: TaskId, place: TaskPlacement, spec: JobSpec) {
        val isNew = placesByJob.getOrPut(task.job) { HashMap() }.put(task, place) == null
        if (isNew) usedByTeam.merge(spec.team, spec.perTask) { sum, used -> (sum + used).rounded() }
    }

    fun remove(task: TaskId, spec: JobSpec) {
        if (placesByJob[task.job]?.remove(task) != null) usedByTeam.merge(spec.team, spec.perTask) { sum, used -> (sum - used).rounded() }
    }
}

/**
 * Checks the rules of PROTOCOL at each event of a simulation; throws [InvariantViolation] at a violation. Times are in milliseconds.
 *
 * @param cancelMs how long after a confirmed cancellation tasks of the job may still run
 */
class InvariantChecker(private val teams: Map<TeamId, TeamQuota>, private val cancelMs: Long) {
    private val submitted = HashMap<JobId, JobSpec>()
    private val accepted = HashSet<JobId>()
    private val cancelRequested = HashSet<JobId>()
    private val reportedFinal = HashMap<JobId, JobStatus>()
    private val cancelConfirmedAt = HashMap<JobId, Long>()
    private val running = RunningTasks()
    private val completed = HashMap<JobId, HashSet<Int>>()
    private val firstStartAt = HashMap<JobId, Long>()
    private val submittedAt = HashMap<JobId, Long>()

    /** For each job since when no status request for it was answered. */
    private val unansweredSince = HashMap<JobId, Long>()

    /** Number of task starts. */
    var startCount = 0
        private set

    /** Virtual time at which the last injected fault ends; null while faults may still be injected. */
    var faultFreeSince: Long? = null

    fun recordSubmission(spec: JobSpec, now: Long = 0) {
        submitted[spec.id] = spec
        submittedAt.putIfAbsent(spec.id, now)
    }

    /** Returns how long after the submission of [id] its first task started, in milliseconds, or null if none has started. */
    fun firstStartDelayMs(id: JobId): Long? = firstStartAt[id]?.let { it - submittedAt.getValue(id) }

    /** Records a status request for [id]; [answered] tells whether the answer contained the status of the job. */
    fun recordStatusRequest(id: JobId, answered: Boolean, now: Long) {
        if (answered) unansweredSince -= id else unansweredSince.putIfAbsent(id, now)
        val faultFreeFrom = faultFreeSince ?: return
        val since = unansweredSince[id] ?: return
        // Checked per job: answers about other jobs do not count.
        if (id in accepted && now - maxOf(since, faultFreeFrom) > MAX_UNANSWERED_MS) violated("forgotten", "$id unanswered since $since ms")
    }

    fun recordCancellation(id: JobId) {
        cancelRequested += id
    }

    /** Checks the HTTP [status] of the answer to a submission of [id]. */
    fun checkSubmissionAnswer(id: JobId, status: Int) {
        if (status == 200 || status == 201) accepted += id
        if (id in accepted && (status == 400 || status == 422)) violated("forgotten", "accepted job $id: submission got status $status")
    }

    /** Checks an answer to a request for the status of [id], or to a submission or cancellation that contains its [state]. */
    fun checkStatusAnswer(id: JobId, status: Int, state: JobStatus?, now: Long, askedAt: Long = now) {
        if (status == 404 && id in accepted) violated("forgotten", "accepted job $id got HTTP status 404")
        if (status != 200 || state == null) return
        if (id !in submitted) violated("invented", "$id was never submitted")
        accepted += id
        if (state == JobStatus.DONE && completed[id].orEmpty().size < submitted.getValue(id).tasks) {
            violated("not_done", "$id is reported done, but only ${completed[id].orEmpty().size} of its tasks are")
        }
        if (state == JobStatus.CANCELLED && !isCancelRequested(id)) violated("went_back", "$id is cancelled without a user's request")
        if (!state.isFinal) checkPrerequisiteCancelled(id, state, askedAt)
        val before = reportedFinal[id]
        if (before != null && before != state) violated("went_back", "$id was reported as $before, now as $state")
        if (state.isFinal) reportedFinal[id] = state
        if (state == JobStatus.CANCELLED) cancelConfirmedAt.putIfAbsent(id, now)
    }

    /** Returns all direct and transitive prerequisites of [id]. */
    fun transitivePrerequisites(id: JobId): Set<JobId> {
        val found = LinkedHashSet<JobId>()
        val pending = ArrayDeque(submitted[id]?.prerequisites.orEmpty())
        while (pending.isNotEmpty()) {
            val next = pending.removeFirst()
            if (found.add(next)) pending += submitted[next]?.prerequisites.orEmpty()
        }
        return found
    }

    private fun isCancelRequested(id: JobId) = id in cancelRequested || transitivePrerequisites(id).any { it in cancelRequested }

    /** Whether an answer to a user said that [id] or one of its direct or transitive prerequisites is cancelled. */
    fun isCancelled(id: JobId) = id in cancelConfirmedAt || transitivePrerequisites(id).any { it in cancelConfirmedAt }

    /** Checks that [id] is not reported as [state] more than [cancelMs] after one of its prerequisites was reported as cancelled. */
    private fun checkPrerequisiteCancelled(id: JobId, state: JobStatus, askedAt: Long) {
        val cancelled = transitivePrerequisites(id).filter { it in cancelConfirmedAt }.minByOrNull {
            cancelConfirmedAt.getValue(it)
        } ?: return
        val sinceMs = askedAt - cancelConfirmedAt.getValue(cancelled)
        if (sinceMs > cancelMs) violated("orphaned", "$id is $state $sinceMs ms after cancellation of prerequisite $cancelled")
    }

    /** Whether every prerequisite of [id] has completed all its tasks. */
    fun arePrerequisitesDone(id: JobId) =
        submitted.getValue(id).prerequisites.all { completed[it].orEmpty().size == submitted.getValue(it).tasks }

    /** Records that [task] starts on [place], and checks the rules for placement, quota, order and cancellation. */
    fun checkTaskStart(task: TaskId, place: TaskPlacement, now: Long) {
        startCount++
        firstStartAt.putIfAbsent(task.job, now)
        lastStartAt[task.job] = now
        startCounts.merge(task.job, 1, Int::plus)
        val spec = submitted.getValue(task.job)
        if (!arePrerequisitesDone(task.job)) violated("too_early", "$task started before its prerequisites ${spec.prerequisites} were done")
        running.placeOf(task)?.let { if (it.machine != place.machine) violated("ran_twice", "$task on ${it.machine} and ${place.machine}") }
        if (spec.types != null && place.type !in spec.types!!) violated("wrong_place", "$task runs on machine type ${place.type}")
        if (spec.zone != null && spec.zone != place.zone) violated("wrong_place", "$task runs in zone ${place.zone}")
        if (place.spot && !spec.spotAllowed) violated("wrong_place", "$task runs on a spot machine")
        val others = running.of(task.job).filterKeys { it != task }.values
        if (spec.singleZone && others.any { it.zone != place.zone }) violated("wrong_place", "$task runs in another zone than its job")
        if (spec.spreadAcrossZones &&
            others.count { it.zone == place.zone } + 1 > spec.maxTasksPerZone
        ) {
            violated("wrong_place", "$task: too many tasks of its job in zone ${place.zone}")
        }
        running.add(task, place, spec)
        val use = running.resourcesUsedBy(spec.team)
        if (!teams.getValue(spec.team).limitAllows(use)) violated("quota", "team ${spec.team} uses $use")
        checkCancelled(task, now)
    }

    /**
     * Checks that a start of a task of [id] is not commanded long after the job's cancellation was confirmed; all controllers
     * learn of a cancellation within [MAX_START_AFTER_CANCEL_MS].
     */
    fun checkStartCommand(id: JobId, now: Long) {
        val at = cancelConfirmedAt[id] ?: return
        if (now - at > MAX_START_AFTER_CANCEL_MS) violated("started_cancelled", "start of $id ${now - at} ms after its cancellation")
    }

    /** Checks that a submission of an invalid job, described by [what], was not accepted; [status] is the HTTP status of its answer. */
    fun checkInvalidSubmissionAnswer(what: String, status: Int) {
        if (status in 200..299) violated("accepted_odd", "invalid submission $what got HTTP status $status")
    }

    /** Whether all prerequisites of [id] are done and some of its tasks neither run nor are done. */
    fun hasWaitingTasks(id: JobId): Boolean =
        arePrerequisitesDone(id) && runningTaskCountOf(id) + completed[id].orEmpty().size < submitted.getValue(id).tasks

    /** Returns how many tasks of [id] run in each zone. */
    fun runningTasksByZone(id: JobId): Map<Zone, Int> = running.of(id).values.groupingBy { it.zone }.eachCount()

    /** Returns the resources that the running tasks of [team] use. */
    fun resourcesUsedBy(team: TeamId): Resources = running.resourcesUsedBy(team)

    private val starvedSince = HashMap<JobId, Long>()

    /**
     * Records whether tasks of [id] wait although a suitable machine has free capacity and the quota of the team allows them
     * ([isStarved]); throws [InvariantViolation] if that lasts for too long once all faults have ended.
     */
    fun checkStarvation(id: JobId, isStarved: Boolean, now: Long) {
        val faultFreeFrom = faultFreeSince
        if (!isStarved || faultFreeFrom == null || now < faultFreeFrom) {
            starvedSince -= id
            return
        }
        val since = maxOf(starvedSince.getOrPut(id) { now }, lastStartAt[id] ?: 0)
        if (now - since > MAX_STARVED_MS) violated("left_waiting", "$id waits for ${now - since} ms despite free capacity")
    }

    private val lastStartAt = HashMap<JobId, Long>()

    /** Records that [task] no longer runs on the machine [place]; [done] tells whether it completed. */
    fun recordTaskEnd(task: TaskId, place: MachineId, done: Boolean) {
        if (running.placeOf(task)?.machine == place) running.remove(task, submitted.getValue(task.job))
        if (done) completed.getOrPut(task.job) { HashSet() } += task.index
    }

    /** Checks that no task of a cancelled job runs any longer than allowed. Called after each simulation step. */
    fun checkCancelledJobs(now: Long) {
        for (job in cancelConfirmedAt.keys) for (task in running.of(job).keys) checkCancelled(task, now)
    }

    /** Returns how many task starts of [id] there were, restarts included. */
    fun startCountOf(id: JobId) = startCounts[id] ?: 0

    private val startCounts = HashMap<JobId, Int>()

    /** Returns how many tasks of [id] run. */
    fun runningTaskCountOf(id: JobId) = running.of(id).size

    /** Returns the final status that users were told of [id], or null if there was none so far. */
    fun finalStatusOf(id: JobId) = reportedFinal[id]

    private fun checkCancelled(task: TaskId, now: Long) {
        val at = cancelConfirmedAt[task.job] ?: return
        if (now - at > cancelMs) violated("ran_cancelled", "$task runs ${now - at} ms after its cancellation was confirmed")
    }

    private fun violated(rule: String, what: String): Nothing = throw InvariantViolation("$rule: $what")

    private companion object {
        /** How long an accepted job may go without an answer to a status request, in the absence of faults. */
        const val MAX_UNANSWERED_MS = 75_000L
        const val MAX_STARVED_MS = 90_000L
        const val MAX_START_AFTER_CANCEL_MS = 3000L
    }
}
