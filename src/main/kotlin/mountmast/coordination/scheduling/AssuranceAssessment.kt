package mountmast.coordination.scheduling

import mountmast.protocol.JobId
import mountmast.protocol.Resources
import mountmast.protocol.TeamId
import mountmast.protocol.TeamQuota

/** How far teams' guarantees are kept, and which tasks they cover. */
class Assurance(
    /** The smoothed degree of assurance of each team, between 0 and 1. */
    val degrees: Map<TeamId, Double>,
    /** How many tasks of each job lie within its team's guarantee; those on machines come first. */
    val guaranteedTasks: Map<JobId, Int>,
) {
    fun degree(team: TeamId): Double = degrees[team] ?: 1.0
}

/** Splits each team's work into guaranteed and borrowed, and computes degrees of assurance (the paper's Eq. 1 and 2). */
class AssuranceAssessment(private val policy: SchedulingPolicy) {
    fun assess(snapshot: ClusterSnapshot): Assurance {
        val guaranteedTasks = HashMap<JobId, Int>()
        val degrees = HashMap<TeamId, Double>()
        for ((team, jobs) in snapshot.jobs.groupBy { it.spec.team }) {
            val quota = snapshot.teams[team] ?: continue
            degrees[team] = degree(quota, jobs, guaranteedTasks)
        }
        val smoothed = snapshot.teams.keys.associateWith { smooth(degrees[it] ?: 1.0, snapshot.assurance[it]) }
        return Assurance(smoothed, guaranteedTasks)
    }

    /** The degree of a team with these [jobs]; notes in [guaranteedTasks] how many tasks of each its guarantee covers. */
    private fun degree(quota: TeamQuota, jobs: List<JobView>, guaranteedTasks: MutableMap<JobId, Int>): Double {
        var claimed = Resources.NONE
        var allocated = Resources.NONE
        var demanded = Resources.NONE
        for (job in jobs.sortedWith(compareBy({ it.submitted }, { it.spec.id }))) {
            if (!isGuaranteed(job, quota)) continue
            val left = Resources(quota.cpus - claimed.cpus, quota.gpus - claimed.gpus, Double.MAX_VALUE)
            val covered = job.spec.perTask.copy(memoryGb = 0.0).instancesWithin(left, job.unfinished)
            guaranteedTasks[job.spec.id] = covered
            claimed += job.spec.perTask * covered
            demanded += job.spec.perTask * job.unfinished
            allocated += job.spec.perTask * minOf(covered, job.live)
        }
        val byCpus = share(allocated.cpus, minOf(quota.cpus, demanded.cpus))
        val byGpus = share(allocated.gpus, minOf(quota.gpus, demanded.gpus))
        return minOf(byCpus, byGpus)
    }

    /** A job that fails everywhere makes no claim: it would evict others for doomed tasks. */
    private fun isGuaranteed(job: JobView, quota: TeamQuota) =
        quota.hasGuarantee && job.spec.urgency <= policy.threshold(job.spec.team) && !job.poisoned

    private fun share(allocated: Double, owed: Double) = if (owed <= 0) 1.0 else minOf(1.0, allocated / owed)

    private fun smooth(degree: Double, before: Double?) =
        if (before == null) degree else policy.smoothing * degree + (1 - policy.smoothing) * before
}
