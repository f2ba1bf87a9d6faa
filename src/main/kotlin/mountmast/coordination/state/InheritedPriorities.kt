package mountmast.coordination.state

import mountmast.protocol.JobId
import mountmast.protocol.Urgency
import mountmast.protocol.WallTime

/**
 * Urgency and due time that a job takes over from the jobs that need it: the highest urgency among them, and a due time
 * early enough for what is predicted to run after it (the critical path). Users set both on a pipeline's last job only.
 *
 * Kept as jobs come and go: a job that is added passes its claim on to what it waits for, as far as that tightens
 * anything. Where a dependent is taken away, what it alone claimed is worked out anew before the next pass, once
 * for each job however many of its dependents went. Guarded as the [ClusterState] is.
 */
class InheritedPriorities(private val dependents: Map<JobId, Set<Job>>) {
    private val weakened = LinkedHashSet<Job>()

    /** [job] waits for the jobs that it names, among which those in [live] take over its claim. */
    fun dependentAdded(job: Job, live: Map<JobId, Job>) = passOn(job, live)

    /** Jobs that wait for [job] may have been known before it. */
    fun prerequisiteAdded(job: Job) {
        job.inheritedPriority = priorityFromDependents(job)
    }

    /** A dependent of [job] was taken away. */
    fun weaken(job: Job) {
        weakened += job
    }

    /** Works out what the jobs that lost a dependent have still to meet. */
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

    private fun passOn(origin: Job, live: Map<JobId, Job>) {
        val pending = ArrayDeque(listOf(origin))
        while (pending.isNotEmpty()) {
            val dependent = pending.removeFirst()
            val passed = passedOnBy(dependent)
            for (id in dependent.unmetDependencies.open) {
                val prerequisite = live[id] ?: continue
                val inheritedPriority = prerequisite.inheritedPriority.tightenedBy(passed)
                if (inheritedPriority == prerequisite.inheritedPriority) continue
                prerequisite.inheritedPriority = inheritedPriority
                pending += prerequisite
            }
        }
    }

    private fun priorityFromDependents(job: Job): InheritedPriority = dependents[job.id].orEmpty().filter {
        !it.cancelled
    }.fold(InheritedPriority.NONE) { inheritedPriority, dependent -> inheritedPriority.tightenedBy(passedOnBy(dependent)) }

    /** What the prerequisites of [job] have to meet for it: they must be done one run of it before it is due. */
    private fun passedOnBy(job: Job): InheritedPriority {
        val startBy = job.effectiveDue?.let { WallTime(it.ms - (job.spec.estimateS * MS_PER_S).toLong()) }
        return InheritedPriority(job.effectiveUrgency, startBy)
    }

    private companion object {
        const val MS_PER_S = 1000
    }
}

/** The strictest urgency and due time that others ask of a job. */
data class InheritedPriority(val urgency: Urgency, val due: WallTime?) {
    /** This claim and [other] together. */
    fun tightenedBy(other: InheritedPriority) = InheritedPriority(minOf(urgency, other.urgency), earlier(due, other.due))

    companion object {
        /** Asks for nothing. */
        val NONE = InheritedPriority(Urgency.BEST_EFFORT, null)

        /** The earlier of two times, of which either may be missing. */
        fun earlier(one: WallTime?, other: WallTime?): WallTime? = if (one == null || other == null) one ?: other else minOf(one, other)
    }
}
