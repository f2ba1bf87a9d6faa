package mountmast.coordination.scheduling

import mountmast.protocol.Resources
import mountmast.protocol.TeamQuota

/** In which order jobs are placed, and which of them an exception of the design applies to. */
class JobPriorities(private val snapshot: ClusterSnapshot, private val policy: SchedulingPolicy, assurance: Assurance) {
    /** The design's order: rising degree of assurance, then shorter remaining run. */
    val byAssurance: Comparator<JobView> =
        compareBy({ assurance.degree(it.spec.team) }, { it.remainingS }, { it.submitted }, { it.spec.id })

    /** Exception: teams without a guarantee all have degree 1, so among equals the more urgent goes first. */
    val byUrgency: Comparator<JobView> =
        compareBy<JobView>({ assurance.degree(it.spec.team) }, { it.spec.urgency }, { isHopeless(it) }, { slackS(it) })
            .then(byAssurance)

    /** Jobs of teams without a guarantee that can hardly be in time any more let those go first that can. */
    fun isHopeless(job: JobView): Boolean = slackS(job) < -HOPELESS_SHARE * job.remainingS

    /**
     * Exception: where no team has a guarantee the degree orders nothing, and shorter runs alone would keep long
     * jobs waiting for good; so among them the one that can wait least goes first.
     */
    private fun slackS(job: JobView): Double = if (hasGuarantee(job)) 0.0 else job.slackS

    /** Whether the job has waited for so long that bounds of the design give way to it. */
    fun isOverdue(job: JobView): Boolean = job.waitedS > OVERDUE_S && job.mayStart

    /** Whether the job is overdue and has nothing on any machine. */
    fun isStarved(job: JobView): Boolean = isOverdue(job) && job.live == 0 && !job.poisoned

    /** Whether a bound or a failure may hold tasks back beside room that they fit in. */
    fun isHeldBack(job: JobView): Boolean = hasGuarantee(job) || job.avoid.isNotEmpty()

    /** Exception: no guarantee means no bound on borrowing, as some times nothing would starve the team for good. */
    fun mayBorrow(quota: TeamQuota, use: Resources): Boolean = !quota.hasGuarantee || quota.guaranteeCovers(use, policy.borrowing)

    private fun hasGuarantee(job: JobView) = snapshot.teams[job.spec.team]?.hasGuarantee == true

    private companion object {
        const val HOPELESS_SHARE = 0.5

        /** After so long without any start a job is given one, whatever goes before it: users count 90 s. */
        const val OVERDUE_S = 70.0
    }
}
