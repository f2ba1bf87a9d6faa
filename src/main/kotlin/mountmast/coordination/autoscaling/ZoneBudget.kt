package mountmast.coordination.autoscaling

import mountmast.coordination.state.Job
import mountmast.protocol.JobSpec
import mountmast.protocol.Zone

/**
 * How many more of a job's tasks each zone may hold. Scale out has to respect this budget. If all tasks of a job must run in one zone,
 * scale out would otherwise request machines in a cheaper zone, where the job cannot use them. Not thread-safe.
 */
internal class ZoneBudget(private val spec: JobSpec) {
    private val tasksPerZone = HashMap<Zone, Int>()

    /** Returns how many more tasks [zone] may hold. */
    fun remaining(zone: Zone): Int = when {
        spec.singleZone && tasksPerZone.keys.any { it != zone } -> 0
        spec.spreadAcrossZones -> spec.maxTasksPerZone - (tasksPerZone[zone] ?: 0)
        else -> Int.MAX_VALUE
    }

    /** Counts [taskCount] further tasks in [zone]. */
    fun consume(zone: Zone, taskCount: Int) {
        if (taskCount > 0) tasksPerZone.merge(zone, taskCount, Int::plus)
    }

    companion object {
        /** Returns the budget that remains to [job] besides its tasks that are already on machines. */
        fun of(job: Job) = ZoneBudget(job.spec).apply {
            if (job.spec.singleZone || job.spec.spreadAcrossZones) {
                for (assignment in job.unreleasedAssignments.values) consume(assignment.zone, 1)
            }
        }
    }
}
