package mountmast.coordination.scheduling

import mountmast.protocol.Resources
import mountmast.protocol.TeamQuota

/**
 * The orders in which the tasks of jobs are placed, and the conditions under which [Scheduler] makes exceptions to its regular order and
 * to the bound on borrowing. Immutable.
 */
internal class JobPriorities(private val snapshot: ClusterSnapshot, private val policy: SchedulingPolicy, assurance: Assurance) {
    /**
     * The regular order: the team with the lowest degree of assurance first, then the shortest estimated run time, then the job
     * queued earliest.
     */
    val byAssurance: Comparator<JobView> =
        compareBy({ assurance.degree(it.spec.team) }, { it.timing.estimatedRunS }, { it.timing.queuedAt }, { it.spec.id })

    /**
     * The order for borrowed tasks. Exception to the regular order: teams without a guarantee all have degree 1, so among jobs whose
     * teams have the same degree the more urgent job goes first, then the one that can still meet its deadline, then the one
     * with the least slack.
     */
    val byUrgency: Comparator<JobView> =
        compareBy<JobView>({ assurance.degree(it.spec.team) }, { it.spec.urgency }, { isDeadlineUnlikely(it) }, { slackS(it) })
            .then(byAssurance)

    /**
     * Whether the job would miss its deadline by more than [UNLIKELY_OVERRUN_SHARE] of its run time even if it started now. Jobs that can
     * still meet their deadlines go before such a job. False if the job's team has a guarantee.
     */
    fun isDeadlineUnlikely(job: JobView): Boolean = slackS(job) < -UNLIKELY_OVERRUN_SHARE * job.timing.estimatedRunS

    /**
     * The slack of a job whose team has no guarantee, in seconds; 0 for any other job. Exception to the regular order: among teams
     * without a guarantee the degree of assurance orders nothing, and an order by run time alone would starve long jobs, so the job
     * with the least slack goes first.
     */
    private fun slackS(job: JobView): Double = if (hasGuarantee(job)) 0.0 else job.timing.slackS

    /**
     * Whether no task of the job was placed for more than [LONGEST_WAIT_S] although tasks of the job may start. The bound on borrowing
     * and the exclusion of machines after failures are lifted for a job that has waited too long.
     */
    fun hasWaitedTooLong(job: JobView): Boolean = job.timing.waitedS > LONGEST_WAIT_S && job.mayStart

    /** Whether the job has waited too long, has no task on any machine and does not fail on every machine. */
    fun isStarved(job: JobView): Boolean = hasWaitedTooLong(job) && job.tasks.assignedCount == 0 && !job.isPoisoned

    /**
     * Whether a restriction that a long wait lifts may keep the job's tasks off free capacity: the bound on borrowing, or
     * machines that are excluded because tasks of the job failed there.
     */
    fun hasLiftableRestrictions(job: JobView): Boolean = hasGuarantee(job) || job.excludedMachines.isNotEmpty()

    /**
     * Whether the bound on borrowing lets the team of [quota] use [usage] in all if that includes one more task that takes [task]. Only the
     * resources that the task takes matter. Exceptions: a resource of which the team is guaranteed nothing has no bound, as any multiple
     * of zero is zero and would starve the team; and the bound on any other resource is at least one task, however large.
     */
    fun mayBorrow(quota: TeamQuota, task: Resources, usage: Resources): Boolean =
        isWithinBound(quota.cpus, task.cpus, usage.cpus) && isWithinBound(quota.gpus, task.gpus, usage.gpus)

    private fun isWithinBound(guaranteed: Double, task: Double, usage: Double): Boolean =
        guaranteed <= 0 || task <= 0 || usage <= maxOf(policy.borrowingFactor * guaranteed, task) + Resources.EPSILON

    private fun hasGuarantee(job: JobView) = snapshot.quotas[job.spec.team]?.hasGuarantee == true

    private companion object {
        /** A job that is late by more than this share of its estimated run time is unlikely to meet its deadline. */
        const val UNLIKELY_OVERRUN_SHARE = 0.5

        /**
         * If no task of a job has been placed for longer than this, in seconds, restrictions on placing the job's tasks are lifted. A job
         * that waits 90 s while a machine with enough free capacity exists counts as a failure of the service.
         */
        const val LONGEST_WAIT_S = 70.0
    }
}
