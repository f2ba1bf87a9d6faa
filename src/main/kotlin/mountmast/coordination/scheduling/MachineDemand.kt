package mountmast.coordination.scheduling

import mountmast.protocol.JobId
import mountmast.protocol.Resources
import mountmast.protocol.TeamId

/** The tasks for which one cycle asks scale out to find machines. Not thread-safe: one for each cycle. */
internal class MachineDemand(private val snapshot: ClusterSnapshot, private val placement: Placement) {
    private val unplaced = ArrayList<UnplacedTasks>()
    private val jobs = HashSet<JobId>()
    private val demandByTeam = HashMap<TeamId, Resources>()

    /** The tasks added so far. */
    val unplacedTasks: List<UnplacedTasks> get() = unplaced

    /**
     * Adds up to [count] tasks of [job] that found no free capacity: as many as the team's limit allows beside the tasks of the team that
     * run and those added so far. Nothing is rented for tasks that may not run.
     */
    fun add(job: JobView, count: Int, isGuaranteed: Boolean) {
        val allowedCount = allowedCount(job, count)
        if (allowedCount == 0) return
        unplaced += UnplacedTasks(job.spec.id, allowedCount, isGuaranteed)
        jobs += job.spec.id
        demandByTeam.merge(job.spec.team, job.spec.perTask * allowedCount) { a, b -> a + b }
    }

    /** Adds one task of [job], which only the bound on borrowing keeps from a machine, unless machines are requested for the job anyway. */
    fun addOneBeyondBound(job: JobView) {
        if (job.spec.id !in jobs) add(job, 1, isGuaranteed = false)
    }

    private fun allowedCount(job: JobView, count: Int): Int {
        val team = job.spec.team
        val quota = snapshot.quotas[team] ?: return 0
        val claimed = placement.usageOf(team) + (demandByTeam[team] ?: Resources.NONE)
        return job.spec.perTask.copy(memoryGb = 0.0).instancesWithin(quota.limit - claimed, count)
    }
}
