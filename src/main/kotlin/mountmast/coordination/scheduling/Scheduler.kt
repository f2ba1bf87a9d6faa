package mountmast.coordination.scheduling

import mountmast.protocol.JobId
import mountmast.protocol.Urgency

/**
 * Plans scheduling cycles. Places the tasks that the teams' guarantees cover first, in the order of rising smoothed degree of assurance,
 * then of shorter estimated run time; then borrowed tasks, up to η times the team's guarantee. A guaranteed task that finds no
 * free capacity preempts the tasks of the machine that is cheapest to preempt, and reserves that machine. Comments that begin with
 * "Exception" name the deviations from this order and these bounds. Stateless: equal snapshots give equal plans. A call is guarded
 * by the lock that guards its snapshot.
 */
class Scheduler(private val policy: SchedulingPolicy) {
    private val assessment = AssuranceAssessment(policy)

    /** Returns the plan for [snapshot]. Updates the free capacity and the reservations of the machines in [snapshot] by the plan. */
    fun plan(snapshot: ClusterSnapshot): SchedulingPlan = Cycle(snapshot).plan()

    private inner class Cycle(private val snapshot: ClusterSnapshot) {
        private val assurance = assessment.assess(snapshot)
        private val priorities = JobPriorities(snapshot, policy, assurance)
        private val constraints = PlacementConstraints(snapshot, priorities)
        private val placement = Placement(snapshot, policy, constraints)
        private val preemptionPlanner = PreemptionPlanner(snapshot, policy, assurance, placement, constraints)
        private val machineReservations = MachineReservations(snapshot, constraints)
        private val demand = MachineDemand(snapshot, placement)
        private val jobsWithUnplacedGuaranteedTasks = HashSet<JobId>()

        fun plan(): SchedulingPlan {
            val open = snapshot.jobs.filter { it.tasks.openCount > 0 }
            for (job in open.filter { priorities.isStarved(it) }.sortedBy { it.timing.queuedAt }) placeStarved(job)
            for (job in open.sortedWith(priorities.byAssurance)) placeGuaranteed(job)
            for (job in open.sortedWith(priorities.byUrgency)) placeBorrowed(job)
            // Jobs without a restriction to lift are left out: another search for free capacity would find nothing more for them.
            val longWaiting = open.filter { priorities.hasWaitedTooLong(it) && priorities.hasLiftableRestrictions(it) }
            for (job in longWaiting.sortedBy { it.timing.queuedAt }) placeLongWaiting(job)
            return SchedulingPlan(
                placement.starts(),
                preemptionPlanner.preemptions,
                machineReservations.reservations,
                demand.unplacedTasks,
                assurance.degrees,
            )
        }

        /**
         * Exception: jobs with shorter run times, higher urgency or smaller tasks could otherwise starve a job. A job that has waited too
         * long without a task on any machine gets one task before all other jobs. If no machine has free capacity for that
         * task, not even one reserved for another job, a machine is reserved for it. The team's limit and the bound on
         * borrowing apply.
         */
        private fun placeStarved(job: JobView) {
            val quota = snapshot.quotas[job.spec.team] ?: return
            val isBlocked = placement.place(job, 1) { priorities.mayBorrow(quota, job.spec.perTask, it) } > 0
            if (isBlocked && placement.placeOnAnyMachine(job) > 0) machineReservations.reserveFor(job, 1)
        }

        private fun placeGuaranteed(job: JobView) {
            val covered = assurance.guaranteedTasks[job.spec.id] ?: return
            val wanted = minOf(job.tasks.openCount, covered - job.tasks.assignedCount) - placement.startedCount(job)
            if (wanted <= 0 || !job.mayStart) return
            val blockedCount = placement.place(job, wanted) { true }
            if (blockedCount <= 0) return
            demand.add(job, blockedCount, isGuaranteed = true)
            jobsWithUnplacedGuaranteedTasks += job.spec.id
            preemptionPlanner.preemptFor(job, blockedCount, isGuaranteed = true)
        }

        private fun placeBorrowed(job: JobView) {
            val quota = snapshot.quotas[job.spec.team] ?: return
            val wanted = job.tasks.openCount - placement.startedCount(job)
            if (!job.mayStart || wanted <= 0 || job.spec.id in jobsWithUnplacedGuaranteedTasks) return
            val blockedCount = placement.place(job, wanted) { priorities.mayBorrow(quota, job.spec.perTask, it) }
            if (blockedCount <= 0) return
            demand.add(job, blockedCount, isGuaranteed = false)
            if (!quota.hasGuarantee && !job.isPoisoned) claimWithoutGuarantee(job, blockedCount)
        }

        /**
         * Exception: for teams without a guarantee, only urgency gives a claim to capacity, as the protocol allows. Tasks more urgent than
         * [Urgency.NORMAL] preempt others after [PREEMPTION_DELAY_S], not at once: mostly, capacity becomes free sooner than
         * preempted tasks have saved their state.
         */
        private fun claimWithoutGuarantee(job: JobView, blockedCount: Int) {
            val mayPreempt = job.spec.urgency < Urgency.NORMAL && job.timing.waitedS >= PREEMPTION_DELAY_S
            if (mayPreempt) preemptionPlanner.preemptFor(job, blockedCount, isGuaranteed = false)
            if (machineReservations.mayReserveForAnother() && !priorities.isDeadlineUnlikely(job)) {
                machineReservations.reserveFor(job, blockedCount)
            }
        }

        /**
         * Exception: a job that has waited too long may use capacity that all other jobs left free, beyond the bound on borrowing and
         * on machines where its tasks failed before. The team's limit applies. No tasks are preempted and no machines are reserved for
         * tasks that still find no free capacity. One of them is demand for a machine, as there may never be free capacity otherwise.
         */
        private fun placeLongWaiting(job: JobView) {
            val wanted = job.tasks.openCount - placement.startedCount(job)
            if (wanted > 0 && placement.place(job, wanted) { true } > 0) demand.addOneBeyondBound(job)
        }
    }

    private companion object {
        /** How long a job of a team without a guarantee waits for free capacity before tasks are preempted for the job, in seconds. */
        const val PREEMPTION_DELAY_S = 2.0
    }
}
