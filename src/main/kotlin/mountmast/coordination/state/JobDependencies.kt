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
 * The leader's dependency graph of the live jobs. Releases a job once the final state `done` of every prerequisite is committed,
 * and cancels a job if one of its prerequisites is cancelled. Guarded by the lock of the leader's term; does no I/O.
 *
 * A prerequisite that is not among the live jobs counts as open until its final state has been read from the state service
 * ([PrerequisiteLookups]), so its dependents wait meanwhile. Updates follow only the edges of jobs that change, without recursion:
 * the cost of a long chain or a wide fan-out is linear in its edges. Finished jobs that no live job names take no memory, apart from
 * the final states in a [FinishedJobCache].
 */
class JobDependencies(private val cluster: ClusterState) {
    /** The jobs that wait for a prerequisite which is not known to be finished, by the prerequisite. */
    private val dependents = HashMap<JobId, LinkedHashSet<Job>>()
    private val lookups = PrerequisiteLookups()
    private val finishedJobs = FinishedJobCache()
    private val inheritedPriorities = InheritedPriorities(dependents)

    /** The records of the jobs whose list of prerequisites is still to be read from the state service. */
    internal val recordsWithUnreadList: List<JobRecord> get() = lookups.recordsWithUnreadList

    /** Whether the job [id] is among those that finished most recently. */
    internal fun isRecentlyFinished(id: JobId) = id in finishedJobs

    /** Adds a live job that is new to this leader, with the prerequisites that its [record] names. */
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

    /** Adds the [prerequisites] of the job [id], read from its separately stored list. Does nothing if that list is not awaited. */
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
        val cancelledCount = cancelAll(dependents[job.id].orEmpty())
        if (cancelledCount > 0) log.info("job={} is cancelled, and {} dependent jobs with it", job.id, cancelledCount)
    }

    /** Cancels [roots] and their direct and indirect dependents; returns how many had no recorded cancellation before. */
    private fun cancelAll(roots: Collection<Job>): Int {
        var cancelledCount = 0
        val pending = ArrayDeque(roots)
        while (pending.isNotEmpty()) {
            val job = pending.removeFirst()
            if (job.isCancellationRecorded) continue
            cancelledCount++
            // No task of a job with open prerequisites ever ran, so its cancellation need not hold back the watermark.
            job.cancel(WallTime(0), isRecorded = true)
            cluster.finishingJobs += job
            pending += dependents[job.id].orEmpty()
        }
        return cancelledCount
    }

    /**
     * Applies the final state [record] of the job [id], which is committed in the state service, to the job's dependents. Returns the
     * dependents that it releases.
     */
    internal fun recordFinished(id: JobId, record: FinishedJobRecord, now: MonotonicTime): List<Job> {
        finishedJobs.add(id, record)
        lookups.removePrerequisite(id)
        val waitingJobs = dependents.remove(id) ?: return emptyList()
        if (record.status == JobStatus.CANCELLED) {
            val cancelledCount = cancelAll(waitingJobs)
            if (cancelledCount > 0) log.info("job={} was cancelled, and {} dependent jobs with it", id, cancelledCount)
            return emptyList()
        }
        for (job in waitingJobs) job.unmetDependencies.recordDone(id, record.endedAt)
        val released = waitingJobs.filter { it.isReleased }
        for (job in released) {
            // The released job waits for free capacity from now on, so stalls are measured from here.
            job.recordReady(now)
            log.debug("job={} is released: all of its prerequisites are done", job.id)
        }
        return released
    }

    /** Removes the finished [job] from the dependents of its open prerequisites. */
    internal fun removeJob(job: Job) {
        lookups.removeList(job.id)
        for (id in job.unmetDependencies.open) {
            val remainingDependents = dependents[id] ?: continue
            remainingDependents -= job
            cluster.jobs[id]?.let(inheritedPriorities::markStale)
            if (remainingDependents.isNotEmpty()) continue
            dependents.remove(id)
            lookups.removePrerequisite(id)
        }
    }

    /** Recomputes the inherited urgencies and due times of the jobs that lost a dependent. */
    fun refreshInheritedPriorities() = inheritedPriorities.refresh(cluster.jobs)

    /** Returns at most [limit] prerequisites whose final state is to be looked up at [now]; they are due again after a pause. */
    internal fun nextUnresolvedPrerequisites(limit: Int, now: MonotonicTime): List<JobId> = lookups.nextPrerequisites(limit, now)
}
