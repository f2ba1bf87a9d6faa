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

    /** Adds [count] tasks of [job] that the team's limit and, unless [isGuaranteed], the bound on borrowing allow. */
    fun add(job: JobView, count: Int, isGuaranteed: Boolean) {
        unplaced += UnplacedTasks(job.spec.id, count, isGuaranteed)
        jobs += job.spec.id
        demandByTeam.merge(job.spec.team, job.spec.perTask * count) { a, b -> a + b }
    }

    /**
     * Adds one task of [job], which only the bound on borrowing keeps from a machine, unless machines are requested for the job anyway. Adds
     * none that the team's limit would not allow beside the tasks of the team that run and those added so far: nothing is rented for
     * tasks that may not run.
     */
    fun addOneBeyondBound(job: JobView) {
        val team = job.spec.team
        val quota = snapshot.quotas[team] ?: return
        val demanded = demandByTeam[team] ?: Resources.NONE
        if (job.spec.id in jobs || !quota.limitAllows(placement.usageOf(team) + demanded + job.spec.perTask)) return
        add(job, 1, isGuaranteed = false)
    }
}
