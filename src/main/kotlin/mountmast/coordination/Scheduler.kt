package mountmast.coordination

import mountmast.protocol.JobId
import mountmast.protocol.MachineId
import mountmast.protocol.Resources
import mountmast.protocol.TaskId
import mountmast.protocol.TeamId
import mountmast.protocol.TeamQuota
import mountmast.protocol.Urgency
import mountmast.protocol.Zone
import java.util.PriorityQueue

/**
 * The design's pass: guaranteed jobs within quota by rising smoothed assurance, then shorter remaining run; then
 * borrowed jobs up to η times quota; a blocked guaranteed task reserves the machine that is cheapest to empty.
 * Pure: the same snapshot gives the same plan.
 */
class Scheduler(private val policy: Policy) {
    fun plan(snapshot: Snapshot): Plan = Pass(snapshot).run()

    private inner class Pass(private val snapshot: Snapshot) {
        private val uses = HashMap(snapshot.uses)
        private val starts = ArrayList<Start>()
        private val startedOn = HashSet<MachineId>()
        private val evictions = ArrayList<Eviction>()
        private val holds = ArrayList<Hold>()
        private val waiting = ArrayList<Waiting>()
        private val perZone = HashMap<JobId, HashMap<Zone, Int>>()

        /** Machines chosen for each job's first open tasks. */
        private val chosen = LinkedHashMap<JobView, ArrayList<MachineId>>()

        /** Tasks of each job that lie within its team's guarantee; those on machines come first. */
        private val guaranteed = HashMap<JobId, Int>()
        private val smallestOpen = snapshot.jobs.filter { it.openCount > 0 }.minOfOrNull { it.spec.cpus } ?: 0.0
        private var held = snapshot.machines.count { it.reservedFor != null }
        private var heldFor = 0
        private var ignoresReservations = false

        fun run(): Plan {
            val assurance = assess()
            val order = compareBy<JobView>({ assurance[it.spec.team] ?: 1.0 }, { it.remainingS }, { it.submitted }, { it.spec.id })
            // Exception: teams without a guarantee all have degree 1, so among equals the more urgent goes first.
            val urgentFirst = compareBy<JobView>({ assurance[it.spec.team] ?: 1.0 }, { it.spec.urgency }, { lateness(it) }, { slack(it) })
            val open = snapshot.jobs.filter { it.openCount > 0 }
            for (job in open.filter { passedOver(it) }.sortedBy { it.submitted }) placePassedOver(job)
            for (job in open.sortedWith(order)) placeGuaranteed(job)
            for (job in open.sortedWith(urgentFirst.then(order))) placeBorrowed(job)
            // Where neither a bound nor a failure holds tasks back, room has been looked for already.
            for (job in open.filter { overdue(it) && isHeldBack(it) }.sortedBy { it.submitted }) placeOverdue(job)
            for ((job, machines) in chosen) starts(job, machines)
            return Plan(starts, evictions, holds, waiting, assurance)
        }

        private fun starts(job: JobView, machines: List<MachineId>) {
            val indices = job.open(machines.size)
            for ((i, machine) in machines.withIndex()) starts += Start(job.spec.id, indices[i], machine)
        }

        /**
         * Exception: shorter runs, urgency and smaller tasks may otherwise go before a job for good. One that has
         * nothing on any machine for so long is given a single task first, and a machine is kept for it where none has
         * room; the bounds of its team stay.
         */
        private fun passedOver(job: JobView) = overdue(job) && job.live == 0 && !job.poisoned

        private fun isHeldBack(job: JobView) = snapshot.teams[job.spec.team]?.hasGuarantee == true || job.avoid.isNotEmpty()

        private fun overdue(job: JobView) = job.waitedS > PASSED_OVER_S && job.mayStart

        /**
         * Exception: what has waited for so long may take room that nobody else wants, beyond the bound on borrowing and on
         * machines where its tasks failed before; only the team's limit stays. Nothing is stopped, kept or rented for it.
         */
        private fun placeOverdue(job: JobView) {
            val wanted = if (job.poisoned) minOf(job.openCount, 1 - job.live) else job.openCount
            if (wanted > chosenFor(job)) place(job, wanted - chosenFor(job)) { true }
        }

        private fun placePassedOver(job: JobView) {
            val quota = snapshot.teams[job.spec.team] ?: return
            if (place(job, 1) { withinBound(quota, it) } <= 0) return
            // A machine kept for another job stands idle in part meanwhile.
            ignoresReservations = true
            val left = place(job, 1) { true }
            ignoresReservations = false
            if (left > 0) holdFor(job, 1)
        }

        /** Exception: no guarantee means no bound, as twice nothing would starve the team for good. */
        private fun withinBound(quota: TeamQuota, use: Resources) = !quota.hasGuarantee || quota.guaranteeCovers(use, policy.borrowing)

        /** Jobs of teams without a guarantee that can hardly be in time any more let those go first that can. */
        private fun lateness(job: JobView) = if (slack(job) < -HOPELESS * job.remainingS) 1 else 0

        /**
         * Exception: where no team has a guarantee the degree orders nothing, and shorter runs alone would keep long
         * jobs waiting for good; so among them the one that can wait least goes first.
         */
        private fun slack(job: JobView): Double = if (snapshot.teams[job.spec.team]?.hasGuarantee == true) 0.0 else job.slackS

        /** Splits each team's work into guaranteed and borrowed, and smooths its degree of assurance. */
        private fun assess(): Map<TeamId, Double> {
            val degrees = HashMap<TeamId, Double>()
            for ((team, jobs) in snapshot.jobs.groupBy { it.spec.team }) {
                val quota = snapshot.teams[team] ?: continue
                var claimed = Resources.NONE
                var allocated = Resources.NONE
                var demanded = Resources.NONE
                for (job in jobs.sortedWith(compareBy({ it.submitted }, { it.spec.id }))) {
                    if (!quota.hasGuarantee || job.spec.urgency > policy.threshold(team)) continue
                    // A job that fails everywhere makes no claim: it would evict others for doomed tasks.
                    if (job.poisoned) continue
                    val left = Resources(quota.cpus - claimed.cpus, quota.gpus - claimed.gpus, Double.MAX_VALUE)
                    val share = job.spec.perTask.copy(memoryGb = 0.0).timesIn(left, job.unfinished)
                    guaranteed[job.spec.id] = share
                    claimed += job.spec.perTask * share
                    demanded += job.spec.perTask * job.unfinished
                    allocated += job.spec.perTask * minOf(share, job.live)
                }
                degrees[team] = degree(quota, allocated, demanded)
            }
            val smoothed = HashMap<TeamId, Double>()
            for (team in snapshot.teams.keys) {
                val degree = degrees[team] ?: 1.0
                val before = snapshot.assurance[team]
                smoothed[team] = if (before == null) degree else policy.smoothing * degree + (1 - policy.smoothing) * before
            }
            return smoothed
        }

        private fun degree(quota: TeamQuota, allocated: Resources, demanded: Resources): Double {
            val byCpus = share(allocated.cpus, minOf(quota.cpus, demanded.cpus))
            val byGpus = share(allocated.gpus, minOf(quota.gpus, demanded.gpus))
            return minOf(byCpus, byGpus)
        }

        private fun share(allocated: Double, owed: Double) = if (owed <= 0) 1.0 else minOf(1.0, allocated / owed)

        private fun placeGuaranteed(job: JobView) {
            val share = guaranteed[job.spec.id] ?: return
            val wanted = minOf(job.openCount, share - job.live) - chosenFor(job)
            if (wanted <= 0 || !job.mayStart) return
            val blocked = place(job, wanted) { true }
            if (blocked > 0) {
                waiting += Waiting(job.spec.id, blocked, guaranteed = true)
                evictFor(job, blocked, isGuaranteed = true)
            }
        }

        private fun placeBorrowed(job: JobView) {
            if (!job.mayStart) return
            val quota = snapshot.teams[job.spec.team] ?: return
            val guaranteedWaits = waiting.any { it.job == job.spec.id }
            val wanted = job.openCount - chosenFor(job)
            if (wanted <= 0 || guaranteedWaits) return
            val bounded = quota.hasGuarantee
            val probes = if (job.poisoned) minOf(wanted, maxOf(0, 1 - job.live)) else wanted
            val blocked = place(job, probes) { withinBound(quota, it) }
            if (blocked <= 0) return
            waiting += Waiting(job.spec.id, blocked, guaranteed = false)
            if (bounded || job.poisoned) return
            // Exception: without guarantees only urgency can claim room, as the protocol allows. Room mostly comes free
            // sooner than victims have saved, so it is waited for first.
            if (job.spec.urgency < Urgency.NORMAL && job.waitedS >= EVICTION_PATIENCE_S) evictFor(job, blocked, isGuaranteed = false)
            if (heldFor < JOBS_HELD_FOR && lateness(job) == 0) holdFor(job, blocked)
        }

        private fun chosenFor(job: JobView) = chosen[job]?.size ?: 0

        /** Places up to [wanted] tasks; returns how many were kept back by nothing but missing room. */
        private fun place(job: JobView, wanted: Int, withinBound: (Resources) -> Boolean): Int {
            val spec = job.spec
            val quota = snapshot.teams[spec.team] ?: return 0
            val before = uses[spec.team] ?: Resources.NONE
            var allowedCount = 0
            while (allowedCount < wanted) {
                val use = before + spec.perTask * (allowedCount + 1)
                if (!quota.limitAllows(use) || !withinBound(use)) break
                allowedCount++
            }
            if (allowedCount == 0) return 0
            val candidates = candidates(job)
            var placed = 0
            while (placed < allowedCount) {
                if (startedCount >= policy.startsPerPass) return 0
                val best = candidates.poll() ?: break
                // Each start changes the room, and may fill the zone's share.
                if (!fits(job, best.machine)) continue
                start(job, best.machine)
                placed++
                if (fits(job, best.machine)) candidates += Candidate(best.machine, score(job, best.machine))
            }
            return allowedCount - placed
        }

        private var startedCount = 0

        private fun start(job: JobView, machine: MachineView) {
            val spec = job.spec
            chosen.getOrPut(job) { ArrayList() } += machine.id
            startedCount++
            startedOn += machine.id
            machine.room -= spec.perTask
            uses.merge(spec.team, spec.perTask) { a, b -> a + b }
            if (spec.oneZone || spec.spread) zonesOf(job).merge(machine.zone, 1, Int::plus)
        }

        private fun zonesOf(job: JobView) = perZone.getOrPut(job.spec.id) { HashMap(job.perZone) }

        private inner class Candidate(val machine: MachineView, val score: Double) : Comparable<Candidate> {
            override fun compareTo(other: Candidate) = score.compareTo(other.score)
        }

        /** Machines with room for a task of [job], the best first: scored once, not again for each task. */
        private fun candidates(job: JobView): PriorityQueue<Candidate> {
            val found = PriorityQueue<Candidate>()
            val home = if (job.spec.oneZone) homeZone(job) ?: return found else null
            for (machine in snapshot.machines) {
                if (home != null && machine.zone != home) continue
                if (job.spec.perTask.fitsIn(machine.room) && allowed(job, machine)) found += Candidate(machine, score(job, machine))
            }
            return found
        }

        private fun fits(job: JobView, machine: MachineView) = job.spec.perTask.fitsIn(machine.room) && allowed(job, machine)

        /** Lower is better: first machines that hold the image, then those that would be left with the least room. */
        private fun score(job: JobView, machine: MachineView): Double {
            val spec = job.spec
            val fetchS = if (spec.image in machine.images) 0.0 else spec.imageGb / machine.type.fetchGbPerS
            val room = machine.room - spec.perTask
            val leftover = maxOf(room.cpus / machine.type.cpus, room.memoryGb / machine.type.memoryGb)
            // Work that can be done again in time goes to cheap machines, so that dear ones fall idle and are returned.
            val patient = job.slackS > PATIENT_S
            val wrongKind = if (patient) !machine.spot && spec.spotAllowed else machine.spot && spec.checkpointEveryS <= 0
            return fetchS + leftover + (if (wrongKind) WRONG_KIND else 0.0)
        }

        private fun allowed(job: JobView, machine: MachineView): Boolean {
            val spec = job.spec
            if (machine.reservedFor != null && machine.reservedFor != spec.id && !ignoresReservations) return false
            if (machine.spot && !spec.spotAllowed) return false
            if (spec.types != null && machine.type.id !in spec.types) return false
            if (spec.zone != null && machine.zone != spec.zone) return false
            if (machine.id in job.avoid && !overdue(job)) return false
            return !spec.spread || (zonesOf(job)[machine.zone] ?: 0) < spec.perZoneLimit
        }

        /** The zone of the job's tasks, or the one with most room for them. */
        private fun homeZone(job: JobView): Zone? {
            zonesOf(job).entries.firstOrNull { it.value > 0 }?.let { return it.key }
            return snapshot.machines.filter { allowed(job, it) }.groupBy { it.zone }
                .maxByOrNull { (_, machines) -> machines.sumOf { job.spec.perTask.timesIn(it.room, job.openCount) } }?.key
        }

        /** Reserves machines for blocked tasks, cheapest first, each with all its residents evicted. */
        private fun evictFor(job: JobView, blocked: Int, isGuaranteed: Boolean) {
            var left = blocked - snapshot.machines.filter { it.reservedFor == job.spec.id }
                .sumOf { job.spec.perTask.timesIn(it.type.capacity, blocked) }
            while (left > 0 && evictions.size < policy.evictionsPerPass) {
                val victim = snapshot.machines.filter { canEmpty(job, it, isGuaranteed) }.minByOrNull { cost(it) } ?: return
                evictions += Eviction(victim.id, job.spec.id, victim.residents.map { it.task })
                victim.reservedFor = job.spec.id
                left -= job.spec.perTask.timesIn(victim.type.capacity, left)
            }
        }

        private fun canEmpty(job: JobView, machine: MachineView, isGuaranteed: Boolean): Boolean {
            if (machine.reservedFor != null || machine.id in startedOn) return false
            if (!job.spec.perTask.fitsIn(machine.type.capacity) || !allowed(job, machine)) return false
            if (job.spec.oneZone && homeZone(job) != machine.zone) return false
            return machine.residents.isNotEmpty() && machine.residents.all { !it.stopping && evictable(it, job, isGuaranteed) }
        }

        /**
         * Exception: keeps the machines where room for large tasks comes free soonest, stopping nothing; otherwise
         * smaller tasks take every piece of room as it comes, and the large ones wait for good.
         */
        private fun holdFor(job: JobView, blocked: Int) {
            val spec = job.spec
            if (spec.cpus <= smallestOpen) return
            var left = blocked - snapshot.machines.filter { it.reservedFor == spec.id }
                .sumOf { spec.perTask.timesIn(it.type.capacity, blocked) }
            val most = (snapshot.machines.size * HELD_SHARE).toInt() - held
            if (left <= 0 || most <= 0) return
            heldFor++
            val soonest = snapshot.machines.asSequence()
                .filter { it.reservedFor == null && spec.perTask.fitsIn(it.type.capacity) && allowed(job, it) }
                .filter { !spec.oneZone || homeZone(job) == it.zone }
                .map { it to roomInS(job, it) }.filter { (_, inS) -> inS <= HOLD_HORIZON_S }.sortedBy { (_, inS) -> inS }.take(most)
            for ((machine, _) in soonest) {
                if (left <= 0) break
                machine.reservedFor = spec.id
                holds += Hold(machine.id, spec.id)
                held++
                left -= spec.perTask.timesIn(machine.type.capacity, left)
            }
        }

        /** How soon [machine] has room for a task of [job], as far as estimates tell. */
        private fun roomInS(job: JobView, machine: MachineView): Double {
            var room = machine.room
            if (job.spec.perTask.fitsIn(room)) return 0.0
            for (resident in machine.residents.sortedBy { it.remainingS }) {
                room += resident.spec.perTask
                if (job.spec.perTask.fitsIn(room)) return resident.remainingS
            }
            return Double.MAX_VALUE
        }

        /** Only borrowed work gives way, and only as the protocol's "Preemption" allows. */
        private fun evictable(resident: Resident, job: JobView, isGuaranteed: Boolean): Boolean {
            val lessUrgent = resident.urgency > job.spec.urgency
            if (!isGuaranteed) return lessUrgent && snapshot.teams[resident.team]?.hasGuarantee != true
            return isBorrowed(resident) && (lessUrgent || (resident.team != job.spec.team && beyondGuarantee(resident.team)))
        }

        private fun beyondGuarantee(team: TeamId): Boolean {
            val use = snapshot.uses[team] ?: return false
            return snapshot.teams[team]?.guaranteeCovers(use) == false
        }

        private val borrowedTasks: Set<TaskId> by lazy {
            val seen = HashMap<JobId, Int>()
            val borrowed = HashSet<TaskId>()
            for (resident in snapshot.machines.flatMap { it.residents }.sortedBy { it.task.index }) {
                val rank = seen.merge(resident.task.job, 1, Int::plus)!!
                if (rank > (guaranteed[resident.task.job] ?: 0)) borrowed += resident.task
            }
            borrowed
        }

        private fun isBorrowed(resident: Resident) = resident.task in borrowedTasks

        /** Φ of the paper's Eq. 4: the cost of stopping all residents of a machine. */
        private fun cost(machine: MachineView): Double {
            val victims = machine.residents
            val mean = victims.sumOf { it.remainingS } / victims.size
            return victims.sumOf { (1 + policy.overheadWeight * it.preemptions) / it.remainingS } +
                policy.fragmentWeight * (victims.size - 1) / mean
        }
    }

    private companion object {
        const val HOPELESS = 0.5

        /** After so long without any start a job is given one, whatever goes before it: users count 90 s. */
        const val PASSED_OVER_S = 70.0

        /** How long urgent work waits for room before others are stopped for it. */
        const val EVICTION_PATIENCE_S = 2.0

        /** Machines are kept for large tasks where room comes within this time, and at most this share of all. */
        const val HOLD_HORIZON_S = 20.0
        const val HELD_SHARE = 0.3
        const val JOBS_HELD_FOR = 2

        /** Work with more slack than this is patient. */
        const val PATIENT_S = 200.0

        /** Work that saves nothing and is pressed is better off on machines that are not taken back. */
        const val WRONG_KIND = 0.5
    }
}
