package mountmast.coordination.scheduling

import mountmast.protocol.JobId
import mountmast.protocol.Urgency

/**
 * The design's pass: guaranteed jobs within quota by rising smoothed assurance, then shorter remaining run; then
 * borrowed jobs up to η times quota; a blocked guaranteed task reserves the machine that is cheapest to empty.
 * Pure: the same snapshot gives the same plan.
 */
class Scheduler(private val policy: SchedulingPolicy) {
    private val assessment = AssuranceAssessment(policy)

    fun plan(snapshot: ClusterSnapshot): Plan = Pass(snapshot).run()

    private inner class Pass(private val snapshot: ClusterSnapshot) {
        private val assurance = assessment.assess(snapshot)
        private val priorities = JobPriorities(snapshot, policy, assurance)
        private val placement = Placement(snapshot, policy, priorities)
        private val preemptions = PreemptionPlanner(snapshot, policy, assurance, placement)
        private val reservations = MachineReservations(snapshot, placement)
        private val waiting = ArrayList<Waiting>()
        private val guaranteedWaiting = HashSet<JobId>()

        fun run(): Plan {
            val open = snapshot.jobs.filter { it.openCount > 0 }
            for (job in open.filter { priorities.isStarved(it) }.sortedBy { it.submitted }) placeStarved(job)
            for (job in open.sortedWith(priorities.byAssurance)) placeGuaranteed(job)
            for (job in open.sortedWith(priorities.byUrgency)) placeBorrowed(job)
            // Where neither a bound nor a failure holds tasks back, room has been looked for already.
            val overdue = open.filter { priorities.isOverdue(it) && priorities.isHeldBack(it) }
            for (job in overdue.sortedBy { it.submitted }) placeOverdue(job)
            return Plan(placement.starts(), preemptions.preemptions, reservations.reservations, waiting, assurance.degrees)
        }

        /**
         * Exception: shorter runs, urgency and smaller tasks may otherwise go before a job for good. One that has
         * nothing on any machine for so long is given a single task first, and a machine is kept for it where none has
         * room; the bounds of its team stay.
         */
        private fun placeStarved(job: JobView) {
            val quota = snapshot.teams[job.spec.team] ?: return
            val isBlocked = placement.place(job, 1) { priorities.mayBorrow(quota, it) } > 0
            if (isBlocked && placement.placeOnAnyMachine(job) > 0) reservations.reserveFor(job, 1)
        }

        private fun placeGuaranteed(job: JobView) {
            val covered = assurance.guaranteedTasks[job.spec.id] ?: return
            val wanted = minOf(job.openCount, covered - job.live) - placement.startedCount(job)
            if (wanted <= 0 || !job.mayStart) return
            val blocked = placement.place(job, wanted) { true }
            if (blocked <= 0) return
            waiting += Waiting(job.spec.id, blocked, guaranteed = true)
            guaranteedWaiting += job.spec.id
            preemptions.preemptFor(job, blocked, isGuaranteed = true)
        }

        private fun placeBorrowed(job: JobView) {
            val quota = snapshot.teams[job.spec.team] ?: return
            val wanted = job.openCount - placement.startedCount(job)
            if (!job.mayStart || wanted <= 0 || job.spec.id in guaranteedWaiting) return
            // A job that fails everywhere tries one task at a time.
            val tried = if (job.poisoned) minOf(wanted, maxOf(0, 1 - job.live)) else wanted
            val blocked = placement.place(job, tried) { priorities.mayBorrow(quota, it) }
            if (blocked <= 0) return
            waiting += Waiting(job.spec.id, blocked, guaranteed = false)
            if (!quota.hasGuarantee && !job.poisoned) makeRoomWithoutGuarantee(job, blocked)
        }

        /**
         * Exception: without guarantees only urgency can claim room, as the protocol allows. Room mostly comes free
         * sooner than victims have saved, so it is waited for first.
         */
        private fun makeRoomWithoutGuarantee(job: JobView, blocked: Int) {
            val isPressing = job.spec.urgency < Urgency.NORMAL && job.waitedS >= EVICTION_PATIENCE_S
            if (isPressing) preemptions.preemptFor(job, blocked, isGuaranteed = false)
            if (reservations.mayReserveForAnother() && !priorities.isHopeless(job)) reservations.reserveFor(job, blocked)
        }

        /**
         * Exception: what has waited for so long may take room that nobody else wants, beyond the bound on borrowing and on
         * machines where its tasks failed before; only the team's limit stays. Nothing is stopped, kept or rented for it.
         */
        private fun placeOverdue(job: JobView) {
            val allowed = if (job.poisoned) minOf(job.openCount, 1 - job.live) else job.openCount
            val wanted = allowed - placement.startedCount(job)
            if (wanted > 0) placement.place(job, wanted) { true }
        }
    }

    private companion object {
        /** How long urgent work waits for room before others are stopped for it. */
        const val EVICTION_PATIENCE_S = 2.0
    }
}
