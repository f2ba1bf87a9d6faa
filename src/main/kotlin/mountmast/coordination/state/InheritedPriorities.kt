package mountmast.coordination.state

import mountmast.protocol.JobId
import mountmast.protocol.WallTime

/**
 * Priority inheritance along the dependency graph: a job inherits the highest urgency of the jobs that depend on it, and a due time
 * that leaves them their estimated run times (the critical path). Users set urgency and deadline on a pipeline's last job only.
 *
 * Updated incrementally: a job that is added propagates its requirement to each direct or indirect prerequisite that inherited a less
 * strict one. The priority of a job that lost dependents is recomputed before the next scheduling cycle, only once for all dependents
 * that were removed. Guarded by the lock of the leader's term.
 */
internal class InheritedPriorities(private val dependents: Map<JobId, Set<Job>>) {
    /** Jobs that lost a dependent and whose inherited priority is not recomputed yet. */
    private val staleJobs = LinkedHashSet<Job>()

    /** Propagates the requirement of [job] to its direct and indirect prerequisites among the [live] jobs. */
    fun addDependent(job: Job, live: Map<JobId, Job>) {
        val pending = ArrayDeque(listOf(job))
        while (pending.isNotEmpty()) {
            val dependent = pending.removeFirst()
            val requirement = requirementOf(dependent)
            for (id in dependent.unmetDependencies.open) {
                val prerequisite = live[id] ?: continue
                val inheritedPriority = prerequisite.inheritedPriority.tightenedBy(requirement)
                if (inheritedPriority == prerequisite.inheritedPriority) continue
                prerequisite.inheritedPriority = inheritedPriority
                pending += prerequisite
            }
        }
    }

    /** Sets the inherited priority of the added [job] from those of its dependents that became known before the job itself. */
    fun addPrerequisite(job: Job) {
        job.inheritedPriority = priorityFromDependents(job)
    }

    /** Makes the next [refresh] recompute the inherited priority of [job], which lost a dependent. */
    fun markStale(job: Job) {
        staleJobs += job
    }

    /** Recomputes the inherited priorities of the jobs that lost a dependent, and of their prerequisites among the [live] jobs. */
    fun refresh(live: Map<JobId, Job>) {
        if (staleJobs.isEmpty()) return
        val pending = ArrayDeque(staleJobs)
        staleJobs.clear()
        while (pending.isNotEmpty()) {
            val job = pending.removeFirst()
            val inheritedPriority = priorityFromDependents(job)
            if (inheritedPriority == job.inheritedPriority) continue
            job.inheritedPriority = inheritedPriority
            job.unmetDependencies.open.mapNotNullTo(pending) { live[it] }
        }
    }

    private fun priorityFromDependents(job: Job): InheritedPriority = dependents[job.id].orEmpty()
        .filter { !it.isCancelled }
        .fold(InheritedPriority.NONE) { priority, dependent -> priority.tightenedBy(requirementOf(dependent)) }

    /** What [job] requires of its prerequisites: its urgency, and to be done one estimated run of [job] before [job] is due. */
    private fun requirementOf(job: Job): InheritedPriority {
        val startBy = job.effectiveDue?.let { WallTime(it.ms - (job.spec.estimateS * MS_PER_S).toLong()) }
        return InheritedPriority(job.effectiveUrgency, startBy)
    }

    private companion object {
        const val MS_PER_S = 1000
    }
}
