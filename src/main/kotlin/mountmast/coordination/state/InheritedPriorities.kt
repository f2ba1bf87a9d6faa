package mountmast.coordination.state

import mountmast.protocol.JobId
import mountmast.protocol.WallTime

/**
 * Priority inheritance along the dependency graph: a job takes over the highest urgency of the jobs that depend on it, and a due
 * time early enough for what is predicted to run after it (the critical path). Users set both on a pipeline's last job only.
 *
 * Kept as jobs come and go: a job that is added propagates its requirement to its prerequisites, as far as that tightens
 * anything. If a dependent is removed, what it alone required is computed anew before the next scheduling cycle, once
 * for each job however many of its dependents were removed. Guarded as the [ClusterState] is.
 */
internal class InheritedPriorities(private val dependents: Map<JobId, Set<Job>>) {
    private val weakened = LinkedHashSet<Job>()

    /** Propagates the requirement of [job] to its prerequisites among the [live] jobs. */
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

    /** Sets the priority of [job] from its dependents, which may have been known before it. */
    fun addPrerequisite(job: Job) {
        job.inheritedPriority = priorityFromDependents(job)
    }

    /** Has the priority of [job] computed anew by the next [refresh], as it lost a dependent. */
    fun markWeakened(job: Job) {
        weakened += job
    }

    /** Computes anew the priorities of the jobs that lost a dependent, and of their prerequisites among the [live] jobs. */
    fun refresh(live: Map<JobId, Job>) {
        if (weakened.isEmpty()) return
        val pending = ArrayDeque(weakened)
        weakened.clear()
        while (pending.isNotEmpty()) {
            val job = pending.removeFirst()
            val inheritedPriority = priorityFromDependents(job)
            if (inheritedPriority == job.inheritedPriority) continue
            job.inheritedPriority = inheritedPriority
            job.unmetDependencies.open.mapNotNullTo(pending) { live[it] }
        }
    }

    private fun priorityFromDependents(job: Job): InheritedPriority = dependents[job.id].orEmpty()
        .filter { !it.cancelled }
        .fold(InheritedPriority.NONE) { priority, dependent -> priority.tightenedBy(requirementOf(dependent)) }

    /** What the prerequisites of [job] have to meet for it: they must be done one run of it before it is due. */
    private fun requirementOf(job: Job): InheritedPriority {
        val startBy = job.effectiveDue?.let { WallTime(it.ms - (job.spec.estimateS * MS_PER_S).toLong()) }
        return InheritedPriority(job.effectiveUrgency, startBy)
    }

    private companion object {
        const val MS_PER_S = 1000
    }
}
