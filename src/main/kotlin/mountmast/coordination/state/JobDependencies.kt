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
 * The dependency graph of the live jobs, on the leader: releases a job once the `done` of every prerequisite is committed, and
 * cancels it with any of them. Guarded as its [ClusterState] is; does no I/O.
 *
 * A prerequisite that is not among the live jobs counts as open until its final state has been read from the state
 * service ([PrerequisiteLookups]): not known means wait. All steps go along edges of jobs that change, without recursion, so a
 * long chain or a wide fan costs what it has edges. Nothing is kept of finished jobs that no live job names, save the
 * final states in a [FinishedJobCache].
 */
class JobDependencies(private val cluster: ClusterState) {
    /** The jobs that wait for a prerequisite which is not known to be finished. */
    private val dependents = HashMap<JobId, LinkedHashSet<Job>>()
    private val lookups = PrerequisiteLookups()
    private val finishedJobs = FinishedJobCache()
    private val inheritedPriorities = InheritedPriorities(dependents)

    /** The records of the jobs whose list of prerequisites has to be read. */
    internal val unreadLists: List<JobRecord> get() = lookups.lists

    /** Whether [id] is among the jobs that were seen to finish last. */
    internal fun isRecentlyFinished(id: JobId) = id in finishedJobs

    /** Adds a live job that this leader has not known before, with the prerequisites that its [record] names. */
    internal fun addJob(job: Job, record: JobRecord, now: MonotonicTime) {
        lookups.removePrerequisite(job.id)
        inheritedPriorities.addPrerequisite(job)
        when {
            record.prerequisiteList != null -> {
                job.unmetDependencies.awaitList()
                lookups.addList(record)
            }
            record.spec.prerequisites.isNotEmpty() -> addPrerequisites(job, record.spec.prerequisites, now)
        }
    }

    /** Adds the [prerequisites] of the job [id], whose list of them was read. */
    internal fun addReadList(id: JobId, prerequisites: List<JobId>, now: MonotonicTime) {
        if (!lookups.removeList(id)) return
        cluster.jobs[id]?.let { addPrerequisites(it, prerequisites, now) }
    }

    private fun addPrerequisites(job: Job, prerequisites: List<JobId>, now: MonotonicTime) {
        job.unmetDependencies.markListKnown()
        for (id in prerequisites) {
            val finished = finishedJobs[id]
            if (finished?.status == JobStatus.DONE) {
                job.unmetDependencies.recordDone(id, finished.endedAt)
                continue
            }
            job.unmetDependencies.addOpen(id)
            dependents.getOrPut(id) { LinkedHashSet() } += job
            if (finished == null && id !in cluster.jobs) lookups.addPrerequisite(id, now)
        }
        if (prerequisites.any(::isCancelled)) cancelAll(listOf(job))
        inheritedPriorities.addDependent(job, cluster.jobs)
    }

    private fun isCancelled(id: JobId) = finishedJobs[id]?.status == JobStatus.CANCELLED || cluster.jobs[id]?.isCancellationRecorded == true

    /** Cancels all jobs that depend on [job], whose cancellation is recorded in the state service. */
    internal fun cancelDependents(job: Job) {
        val count = cancelAll(dependents[job.id].orEmpty())
        if (count > 0) log.info("job={} is cancelled, and {} dependent jobs with it", job.id, count)
    }

    /** Cancels [roots] and all jobs that depend on them, directly or through others; returns how many were not cancelled before. */
    private fun cancelAll(roots: Collection<Job>): Int {
        var count = 0
        val pending = ArrayDeque(roots)
        while (pending.isNotEmpty()) {
            val job = pending.removeFirst()
            if (job.isCancellationRecorded) continue
            count++
            // Nothing of it ever ran, so its cancellation holds back no watermark.
            job.cancel(WallTime(0), recorded = true)
            cluster.finishing += job
            pending += dependents[job.id].orEmpty()
        }
        return count
    }

    /** Records the final state of [id], which is in the state service, for its dependents. Returns the jobs that are released by it. */
    internal fun recordFinished(id: JobId, record: FinishedJobRecord, now: MonotonicTime): List<Job> {
        finishedJobs.add(id, record)
        lookups.removePrerequisite(id)
        val waiting = dependents.remove(id) ?: return emptyList()
        if (record.status == JobStatus.CANCELLED) {
            val count = cancelAll(waiting)
            if (count > 0) log.info("job={} was cancelled, and {} dependent jobs with it", id, count)
            return emptyList()
        }
        for (job in waiting) job.unmetDependencies.recordDone(id, record.endedAt)
        val released = waiting.filter { it.isReleased }
        for (job in released) {
            // It waits for free capacity from now on.
            job.recordProgress(now)
            log.debug("job={} is released: all of its prerequisites are done", job.id)
        }
        return released
    }

    /** Removes [job], which is finished, as one that waits for others. */
    internal fun removeJob(job: Job) {
        lookups.removeList(job.id)
        for (id in job.unmetDependencies.open) {
            val others = dependents[id] ?: continue
            others -= job
            cluster.jobs[id]?.let(inheritedPriorities::markWeakened)
            if (others.isNotEmpty()) continue
            dependents.remove(id)
            lookups.removePrerequisite(id)
        }
    }

    /** Brings urgencies and due times up to date for jobs that lost a dependent. */
    fun refreshInheritedPriorities() = inheritedPriorities.refresh(cluster.jobs)

    /** At most [most] prerequisites whose final state has to be looked up at [now]; the same are due again after a pause. */
    internal fun nextUnresolved(most: Int, now: MonotonicTime): List<JobId> = lookups.nextPrerequisites(most, now)
}
