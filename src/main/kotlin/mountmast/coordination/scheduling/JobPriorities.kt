package mountmast.coordination.scheduling

import mountmast.protocol.Resources
import mountmast.protocol.TeamQuota

/** The orders in which jobs are placed, and the jobs to which the exceptions to the design apply. Immutable. */
internal class JobPriorities(private val snapshot: ClusterSnapshot, private val policy: SchedulingPolicy, assurance: Assurance) {
    /** The design's order: rising degree of assurance, then shorter remaining run. */
    val byAssurance: Comparator<JobView> =
        compareBy({ assurance.degree(it.spec.team) }, { it.timing.remainingS }, { it.timing.submitted }, { it.spec.id })

    /** Exception: teams without a guarantee all have degree 1, so among equals the more urgent goes first. */
    val byUrgency: Comparator<JobView> =
        compareBy<JobView>({ assurance.degree(it.spec.team) }, { it.spec.urgency }, { isDeadlineUnlikely(it) }, { slackS(it) })
            .then(byAssurance)

    /**
     * Whether the job has no guarantee and will hardly meet its deadline any more: it lets those go first that can meet
     * theirs.
     */
    fun isDeadlineUnlikely(job: JobView): Boolean = slackS(job) < -UNLIKELY_OVERRUN_SHARE * job.timing.remainingS

    /**
     * Exception: where no team has a guarantee the degree orders nothing, and shorter runs alone would keep long
     * jobs waiting for good; so among them the one with the least slack goes first.
     */
    private fun slackS(job: JobView): Double = if (hasGuarantee(job)) 0.0 else job.timing.slackS

    /** Whether the job has waited for so long that bounds of the design are lifted for it. */
    fun hasWaitedTooLong(job: JobView): Boolean = job.timing.waitedS > LONGEST_WAIT_S && job.mayStart

    /** Whether the job has waited too long and has no task on any machine. */
    fun isStarved(job: JobView): Boolean = hasWaitedTooLong(job) && job.tasks.assignedCount == 0 && !job.isPoisoned

    /** Whether restrictions that a long wait lifts may keep the job's tasks off free capacity. */
    fun hasLiftableRestrictions(job: JobView): Boolean = hasGuarantee(job) || job.excludedMachines.isNotEmpty()

    /**
     * Whether a team may borrow up to [usage]. Exception: a team without a guarantee has no bound on borrowing, as any
     * multiple of nothing would starve it for good.
     */
    fun mayBorrow(quota: TeamQuota, usage: Resources): Boolean = !quota.hasGuarantee || quota.guaranteeCovers(usage, policy.borrowingFactor)

    private fun hasGuarantee(job: JobView) = snapshot.quotas[job.spec.team]?.hasGuarantee == true

    private companion object {
        /** A deadline that is missed by more than this share of a run is unlikely to be met. */
        const val UNLIKELY_OVERRUN_SHARE = 0.5

        /** After so long without any start a job is given one, whatever goes before it: users count 90 s. */
        const val LONGEST_WAIT_S = 70.0
    }
}
