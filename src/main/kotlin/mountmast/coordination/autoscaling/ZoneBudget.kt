package mountmast.coordination.autoscaling

import mountmast.coordination.state.Job
import mountmast.protocol.JobSpec
import mountmast.protocol.Zone

/**
 * How many more of a job's tasks each zone may hold. Scale out has to respect this: otherwise, for a job whose tasks must run in the
 * zone of its first tasks, it requests machines in a cheaper zone, where the job cannot use them. Not thread-safe.
 */
internal class ZoneBudget(private val spec: JobSpec) {
    private val tasksPerZone = HashMap<Zone, Int>()

    /** Returns how many more tasks [zone] may hold. */
    fun remaining(zone: Zone): Int = when {
        spec.singleZone && tasksPerZone.keys.any { it != zone } -> 0
        spec.spreadAcrossZones -> spec.maxTasksPerZone - (tasksPerZone[zone] ?: 0)
        else -> Int.MAX_VALUE
    }

    /** Counts [tasks] further tasks in [zone]. */
    fun consume(zone: Zone, tasks: Int) {
        if (tasks > 0) tasksPerZone.merge(zone, tasks, Int::plus)
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
