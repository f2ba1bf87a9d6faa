package mountmast.coordination.state

import mountmast.protocol.JobId
import mountmast.protocol.JobStatus
import mountmast.protocol.MonotonicTime
import mountmast.protocol.WallTime
import mountmast.storage.FinishedJobRecord
import mountmast.storage.JobRecord
import org.slf4j.LoggerFactory

private val log = LoggerFactory.getLogger("mountmast.dependencies")

/**
 * Which live jobs wait for which, on the leader: releases a job once the `done` of every prerequisite is committed, and
 * cancels it with any of them. Guarded as its [ClusterState] is; does no I/O.
 *
 * A prerequisite that is not among the live jobs counts as open until its final state has been read from the state
 * service ([unresolved]): not known means wait. All steps go along edges of jobs that change, without recursion, so a
 * long chain or a wide fan costs what it has edges. Nothing is kept of finished jobs that no live job names, save the
 * final states of the last [MAX_REMEMBERED].
 */
class JobDependencies(private val cluster: ClusterState) {
    /** The jobs that wait for a prerequisite which is not known to be over. */
    private val dependents = HashMap<JobId, LinkedHashSet<Job>>()

    /** Prerequisites that are not among the live jobs, and when to look for them next. */
    private val unresolved = LinkedHashMap<JobId, MonotonicTime>()

    /** Jobs whose list of prerequisites is kept apart from their record and was not read yet. */
    private val unreadLists = LinkedHashMap<JobId, JobRecord>()
    private val finalStates = LinkedHashMap<JobId, FinishedJobRecord>()
    private val inheritedPriorities = InheritedPriorities(dependents)

    /** Whether this leader ended [id] a while ago. */
    fun isRememberedAsFinished(id: JobId) = id in finalStates

    /** Takes in a live job that this leader has not seen before. */
    fun added(job: Job, record: JobRecord, now: MonotonicTime) {
        unresolved.remove(job.id)
        inheritedPriorities.prerequisiteAdded(job)
        when {
            record.prerequisiteList != null -> {
                job.unmetDependencies.isListKnown = false
                unreadLists[job.id] = record
            }
            record.spec.prerequisites.isNotEmpty() -> addPrerequisites(job, record.spec.prerequisites, now)
        }
    }

    /** The list of prerequisites of [id] was read. */
    fun listRead(id: JobId, prerequisites: List<JobId>, now: MonotonicTime) {
        unreadLists.remove(id) ?: return
        val job = cluster.jobs[id] ?: return
        job.unmetDependencies.isListKnown = true
        addPrerequisites(job, prerequisites, now)
    }

    private fun addPrerequisites(job: Job, prerequisites: List<JobId>, now: MonotonicTime) {
        job.unmetDependencies.prerequisites = prerequisites
        for (id in prerequisites) {
            val known = finalStates[id]
            if (known?.status == JobStatus.DONE) {
                job.unmetDependencies.noteDone(known.endedAt)
                continue
            }
            job.unmetDependencies.open += id
            dependents.getOrPut(id) { LinkedHashSet() } += job
            if (known == null && id !in cluster.jobs) unresolved[id] = now
        }
        if (prerequisites.any(::isCancelled)) cancelAll(listOf(job))
        inheritedPriorities.dependentAdded(job, cluster.jobs)
    }

    private fun isCancelled(id: JobId) = finalStates[id]?.status == JobStatus.CANCELLED || cluster.jobs[id]?.cancelRecorded == true

    /** The cancellation of [job] stands in the state service: all jobs that need it are cancelled with it. */
    fun cancelled(job: Job) {
        val count = cancelAll(dependents[job.id].orEmpty())
        if (count > 0) log.info("job {} is cancelled, and {} jobs that need it with it", job.id, count)
    }

    /** Cancels [roots] and all jobs that need them, directly or through others; returns how many were not before. */
    private fun cancelAll(roots: Collection<Job>): Int {
        var count = 0
        val pending = ArrayDeque(roots)
        while (pending.isNotEmpty()) {
            val job = pending.removeFirst()
            if (job.cancelRecorded) continue
            count++
            // Nothing of it ever ran, so its cancellation holds back no watermark.
            job.cancel(WallTime(0), recorded = true)
            cluster.finishing += job
            pending += dependents[job.id].orEmpty()
        }
        return count
    }

    /** The final state of [id] is in the state service. Returns whether it released a job. */
    fun ended(id: JobId, record: FinishedJobRecord, now: MonotonicTime): Boolean {
        remember(id, record)
        unresolved.remove(id)
        val waiting = dependents.remove(id) ?: return false
        if (record.status == JobStatus.CANCELLED) {
            val count = cancelAll(waiting)
            if (count > 0) log.info("job {} was cancelled, and {} jobs that need it with it", id, count)
            return false
        }
        for (job in waiting) {
            job.unmetDependencies.open -= id
            job.unmetDependencies.noteDone(record.endedAt)
            if (!job.isReleased) continue
            // Its waiting for room begins now.
            job.recordProgress(now)
            log.debug("job {} waits for no other job any more", job.id)
        }
        return waiting.any { it.isReleased }
    }

    private fun remember(id: JobId, record: FinishedJobRecord) {
        finalStates.remove(id)
        finalStates[id] = record
        if (finalStates.size > MAX_REMEMBERED) finalStates.remove(finalStates.keys.first())
    }

    /** Forgets [job], which is over, as one that waits for others. */
    fun removed(job: Job) {
        unreadLists.remove(job.id)
        for (id in job.unmetDependencies.open) {
            val others = dependents[id] ?: continue
            others -= job
            cluster.jobs[id]?.let(inheritedPriorities::weaken)
            if (others.isNotEmpty()) continue
            dependents.remove(id)
            unresolved.remove(id)
        }
    }

    /** Brings urgencies and due times up to date for jobs that lost a dependent. */
    fun refreshInheritedPriorities() = inheritedPriorities.refresh(cluster.jobs)

    /** Prerequisites to be looked up in the state service now, at most [most]; the same are due again after a pause. */
    fun takeUnresolved(most: Int, now: MonotonicTime): List<JobId> {
        val due = unresolved.entries.filter { it.value <= now }.take(most).map { it.key }
        for (id in due) unresolved[id] = now + RETRY_MS
        return due
    }

    /** Jobs whose list of prerequisites has to be read. */
    fun unreadLists(): List<JobRecord> = unreadLists.values.toList()

    private companion object {
        const val MAX_REMEMBERED = 1000
        const val RETRY_MS = 1000L
    }
}

/** What a job still waits for before any of its tasks may start. Guarded as its [ClusterState] is. */
class UnmetDependencies {
    /** All jobs that it names. */
    var prerequisites: List<JobId> = emptyList()

    /** Those that are not known to be done. */
    val open = LinkedHashSet<JobId>()

    /** False until a list of prerequisites that is kept apart has been read. */
    var isListKnown = true

    /** When the last prerequisite so far was done, by its record; null where none says so. */
    var lastDoneAt: WallTime? = null
        private set

    /** A prerequisite was done at [at]; records of earlier versions do not tell when. */
    fun noteDone(at: WallTime?) {
        if (at != null) lastDoneAt = maxOf(at, lastDoneAt ?: at)
    }
}
