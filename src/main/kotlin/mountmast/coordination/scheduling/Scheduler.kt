package mountmast.coordination.scheduling

import mountmast.protocol.JobId
import mountmast.protocol.Urgency

/**
 * Decides what a scheduling cycle does, by the design: guaranteed jobs within quota by rising smoothed assurance, then shorter
 * remaining run; then borrowed jobs up to η times quota; a blocked guaranteed task reserves the machine that is cheapest to
 * preempt. Pure: equal snapshots give equal plans. Has no state of its own; the snapshot's lock guards a call.
 */
class Scheduler(private val policy: SchedulingPolicy) {
    private val assessment = AssuranceAssessment(policy)

    /** Returns the plan for [snapshot], whose machines afterwards have the free capacity and reservations of the plan. */
    fun plan(snapshot: ClusterSnapshot): SchedulingPlan = Cycle(snapshot).plan()

    private inner class Cycle(private val snapshot: ClusterSnapshot) {
        private val assurance = assessment.assess(snapshot)
        private val priorities = JobPriorities(snapshot, policy, assurance)
        private val constraints = PlacementConstraints(snapshot, priorities)
        private val placement = Placement(snapshot, policy, constraints)
        private val preemptions = PreemptionPlanner(snapshot, policy, assurance, placement, constraints)
        private val reservations = MachineReservations(snapshot, constraints)
        private val unplaced = ArrayList<UnplacedTasks>()
        private val jobsWithUnplacedGuaranteed = HashSet<JobId>()

        fun plan(): SchedulingPlan {
            val open = snapshot.jobs.filter { it.tasks.openCount > 0 }
            for (job in open.filter { priorities.isStarved(it) }.sortedBy { it.timing.submitted }) placeStarved(job)
            for (job in open.sortedWith(priorities.byAssurance)) placeGuaranteed(job)
            for (job in open.sortedWith(priorities.byUrgency)) placeBorrowed(job)
            // For jobs without a restriction to lift, the search for free capacity would give the same as before.
            val longWaiting = open.filter { priorities.hasWaitedTooLong(it) && priorities.hasLiftableRestrictions(it) }
            for (job in longWaiting.sortedBy { it.timing.submitted }) placeLongWaiting(job)
            return SchedulingPlan(placement.starts(), preemptions.preemptions, reservations.reservations, unplaced, assurance.degrees)
        }

        /**
         * Exception: shorter runs, urgency and smaller tasks may otherwise go before a job for good. One that has had
         * nothing on any machine for so long is given a single task first, and a machine is reserved for it if none has free
         * capacity; the bounds of its team stay.
         */
        private fun placeStarved(job: JobView) {
            val quota = snapshot.quotas[job.spec.team] ?: return
            val isBlocked = placement.place(job, 1) { priorities.mayBorrow(quota, it) } > 0
            if (isBlocked && placement.placeOnAnyMachine(job) > 0) reservations.reserveFor(job, 1)
        }

        private fun placeGuaranteed(job: JobView) {
            val covered = assurance.guaranteedTasks[job.spec.id] ?: return
            val wanted = minOf(job.tasks.openCount, covered - job.tasks.assignedCount) - placement.startedCount(job)
            if (wanted <= 0 || !job.mayStart) return
            val blocked = placement.place(job, wanted) { true }
            if (blocked <= 0) return
            unplaced += UnplacedTasks(job.spec.id, blocked, isGuaranteed = true)
            jobsWithUnplacedGuaranteed += job.spec.id
            preemptions.preemptFor(job, blocked, isGuaranteed = true)
        }

        private fun placeBorrowed(job: JobView) {
            val quota = snapshot.quotas[job.spec.team] ?: return
            val wanted = job.tasks.openCount - placement.startedCount(job)
            if (!job.mayStart || wanted <= 0 || job.spec.id in jobsWithUnplacedGuaranteed) return
            // A job that fails everywhere tries one task at a time.
            val tried = if (job.isPoisoned) minOf(wanted, maxOf(0, 1 - job.tasks.assignedCount)) else wanted
            val blocked = placement.place(job, tried) { priorities.mayBorrow(quota, it) }
            if (blocked <= 0) return
            unplaced += UnplacedTasks(job.spec.id, blocked, isGuaranteed = false)
            if (!quota.hasGuarantee && !job.isPoisoned) claimWithoutGuarantee(job, blocked)
        }

        /**
         * Exception: without guarantees only urgency can claim capacity, as the protocol allows. Capacity mostly becomes
         * free sooner than preempted tasks have saved, so it is waited for first.
         */
        private fun claimWithoutGuarantee(job: JobView, blocked: Int) {
            val isPressing = job.spec.urgency < Urgency.NORMAL && job.timing.waitedS >= PREEMPTION_PATIENCE_S
            if (isPressing) preemptions.preemptFor(job, blocked, isGuaranteed = false)
            if (reservations.mayReserveForAnother() && !priorities.isDeadlineUnlikely(job)) reservations.reserveFor(job, blocked)
        }

        /**
         * Exception: what has waited for so long may take capacity that nobody else wants, beyond the bound on borrowing and on
         * machines where its tasks failed before; only the team's limit stays. Nothing is preempted, reserved or scaled out
         * for it.
         */
        private fun placeLongWaiting(job: JobView) {
            val allowed = if (job.isPoisoned) minOf(job.tasks.openCount, 1 - job.tasks.assignedCount) else job.tasks.openCount
            val wanted = allowed - placement.startedCount(job)
            if (wanted > 0) placement.place(job, wanted) { true }
        }
    }

    private companion object {
        /** How long urgent work waits for free capacity before others are preempted for it. */
        const val PREEMPTION_PATIENCE_S = 2.0
    }
}
