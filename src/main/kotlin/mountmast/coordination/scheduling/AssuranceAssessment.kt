package mountmast.coordination.scheduling

import mountmast.protocol.JobId
import mountmast.protocol.Resources
import mountmast.protocol.TeamId
import mountmast.protocol.TeamQuota

/** To what degree the teams' guarantees are met, and which tasks they cover. */
internal class Assurance(
    /** The smoothed degree of assurance of each team, between 0 and 1. */
    val degrees: Map<TeamId, Double>,
    /** How many tasks of each job its team's guarantee covers; those on machines are counted first. */
    val guaranteedTasks: Map<JobId, Int>,
) {
    /** Returns the smoothed degree of assurance of [team]; 1 if the team is unknown. */
    fun degree(team: TeamId): Double = degrees[team] ?: 1.0
}

/** Splits each team's work into guaranteed and borrowed, and computes degrees of assurance (the paper's Eq. 1 and 2). */
internal class AssuranceAssessment(private val policy: SchedulingPolicy) {
    /** Returns the assurance of all teams in [snapshot], smoothed with that of the cycle before. */
    fun assess(snapshot: ClusterSnapshot): Assurance {
        val guaranteedTasks = HashMap<JobId, Int>()
        val degrees = HashMap<TeamId, Double>()
        for ((team, jobs) in snapshot.jobs.groupBy { it.spec.team }) {
            val quota = snapshot.quotas[team] ?: continue
            val coverage = GuaranteeCoverage(quota)
            for (job in jobs.sortedWith(compareBy({ it.timing.submitted }, { it.spec.id }))) {
                if (isGuaranteed(job, quota)) guaranteedTasks[job.spec.id] = coverage.cover(job)
            }
            degrees[team] = coverage.degree()
        }
        val smoothed = snapshot.quotas.keys.associateWith { smooth(degrees[it] ?: 1.0, snapshot.assurance[it]) }
        return Assurance(smoothed, guaranteedTasks)
    }

    /** A job that fails everywhere makes no claim: it would preempt others for doomed tasks. */
    private fun isGuaranteed(job: JobView, quota: TeamQuota) =
        quota.hasGuarantee && job.spec.urgency <= policy.threshold(job.spec.team) && !job.isPoisoned

    private fun smooth(degree: Double, previous: Double?) =
        if (previous == null) degree else policy.smoothing * degree + (1 - policy.smoothing) * previous
}

/** Covers one team's jobs by its guarantee, one after the other. */
private class GuaranteeCoverage(private val quota: TeamQuota) {
    private var claimed = Resources.NONE
    private var allocated = Resources.NONE
    private var demanded = Resources.NONE

    /** Claims what is left of the guarantee for [job]; returns how many of its tasks that covers. */
    fun cover(job: JobView): Int {
        val left = Resources(quota.cpus - claimed.cpus, quota.gpus - claimed.gpus, Double.MAX_VALUE)
        val covered = job.spec.perTask.copy(memoryGb = 0.0).instancesWithin(left, job.tasks.unfinishedCount)
        claimed += job.spec.perTask * covered
        demanded += job.spec.perTask * job.tasks.unfinishedCount
        allocated += job.spec.perTask * minOf(covered, job.tasks.assignedCount)
        return covered
    }

    /** Returns the degree of assurance of the jobs covered so far, between 0 and 1. */
    fun degree(): Double {
        val ofCpus = ratio(allocated.cpus, minOf(quota.cpus, demanded.cpus))
        val ofGpus = ratio(allocated.gpus, minOf(quota.gpus, demanded.gpus))
        return minOf(ofCpus, ofGpus)
    }

    private fun ratio(allocated: Double, owed: Double) = if (owed <= 0) 1.0 else minOf(1.0, allocated / owed)
}
