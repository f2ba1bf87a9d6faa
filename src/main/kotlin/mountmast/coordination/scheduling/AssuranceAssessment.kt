package mountmast.coordination.scheduling

import mountmast.protocol.JobId
import mountmast.protocol.Resources
import mountmast.protocol.TeamId
import mountmast.protocol.TeamQuota

/** The degrees to which the teams' guarantees are met, and how many tasks of each job the guarantees cover. */
internal class Assurance(
    /** The smoothed degree of assurance of each team, between 0 and 1. */
    val degrees: Map<TeamId, Double>,
    /**
     * How many tasks of each job its team's guarantee covers; the job's tasks on machines are covered first. Jobs that have no claim
     * on the guarantee are absent.
     */
    val guaranteedTasks: Map<JobId, Int>,
) {
    /** Returns the smoothed degree of assurance of [team]; 1 if the team is unknown. */
    fun degree(team: TeamId): Double = degrees[team] ?: 1.0
}

/**
 * Splits each team's tasks into guaranteed ones, which the guaranteed part of the team's quota covers, and borrowed ones; computes
 * each team's degree of assurance (Eq. 1 and 2 of the paper).
 */
internal class AssuranceAssessment(private val policy: SchedulingPolicy) {
    /** Returns the assurance of all teams in [snapshot], smoothed with the degrees of the previous scheduling cycle. */
    fun assess(snapshot: ClusterSnapshot): Assurance {
        val guaranteedTasks = HashMap<JobId, Int>()
        val degrees = HashMap<TeamId, Double>()
        for ((team, jobs) in snapshot.jobs.groupBy { it.spec.team }) {
            val quota = snapshot.quotas[team] ?: continue
            val coverage = GuaranteeCoverage(quota)
            for (job in jobs.sortedWith(compareBy({ it.timing.queuedAt }, { it.spec.id }))) {
                if (isGuaranteed(job, quota)) guaranteedTasks[job.spec.id] = coverage.cover(job)
            }
            degrees[team] = coverage.degree()
        }
        val smoothed = snapshot.quotas.keys.associateWith { smooth(degrees[it] ?: 1.0, snapshot.previousAssurance[it]) }
        return Assurance(smoothed, guaranteedTasks)
    }

    /** A job that fails on every machine has no claim on the guarantee: other tasks would be preempted for tasks that fail anyway. */
    private fun isGuaranteed(job: JobView, quota: TeamQuota) =
        quota.hasGuarantee && job.spec.urgency <= policy.guaranteeThreshold(job.spec.team) && !job.isPoisoned

    private fun smooth(degree: Double, previous: Double?) =
        if (previous == null) degree else policy.smoothing * degree + (1 - policy.smoothing) * previous
}

/** Divides one team's guarantee among its jobs, in the order of the calls of [cover]. */
private class GuaranteeCoverage(private val quota: TeamQuota) {
    private var claimedResources = Resources.NONE
    private var allocatedResources = Resources.NONE
    private var demandedResources = Resources.NONE

    /** Claims for [job] what earlier jobs left of the guarantee; returns how many unfinished tasks of [job] that covers. */
    fun cover(job: JobView): Int {
        val unclaimed = Resources(quota.cpus - claimedResources.cpus, quota.gpus - claimedResources.gpus, Double.MAX_VALUE)
        val covered = job.spec.perTask.copy(memoryGb = 0.0).instancesWithin(unclaimed, job.tasks.unfinishedCount)
        claimedResources += job.spec.perTask * covered
        demandedResources += job.spec.perTask * job.tasks.unfinishedCount
        allocatedResources += job.spec.perTask * minOf(covered, job.tasks.assignedCount)
        return covered
    }

    /**
     * Returns the degree of assurance of the jobs covered so far, between 0 and 1: the resources of their covered tasks that are on
     * machines, divided by the guarantee or by the jobs' demand, whichever is less. The lower of the ratios for CPUs and GPUs counts.
     */
    fun degree(): Double {
        val cpuDegree = ratio(allocatedResources.cpus, minOf(quota.cpus, demandedResources.cpus))
        val gpuDegree = ratio(allocatedResources.gpus, minOf(quota.gpus, demandedResources.gpus))
        return minOf(cpuDegree, gpuDegree)
    }

    private fun ratio(allocated: Double, entitled: Double) = if (entitled <= 0) 1.0 else minOf(1.0, allocated / entitled)
}
