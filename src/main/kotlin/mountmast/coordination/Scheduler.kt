package mountmast.coordination

import mountmast.protocol.ImageId
import mountmast.protocol.JobId
import mountmast.protocol.JobSpec
import mountmast.protocol.MachineId
import mountmast.protocol.MachineType
import mountmast.protocol.Resources
import mountmast.protocol.TaskId
import mountmast.protocol.TeamId
import mountmast.protocol.TeamQuota
import mountmast.protocol.Urgency
import mountmast.protocol.WallTime
import mountmast.protocol.Zone

/** The open values of the design. */
data class Policy(
    /** λ: weight of the newest degree of assurance. */
    val smoothing: Double = 0.3,
    /** η: borrowed work of a team goes up to this many times its guarantee. */
    val borrowing: Double = 2.0,
    /** α: weight of past stops in the cost of another. */
    val overheadWeight: Double = 0.5,
    /** β: weight of the number of victims. */
    val fragmentWeight: Double = 0.3,
    /** Jobs at least this urgent are guaranteed. */
    val guaranteedFrom: Urgency = Urgency.NORMAL,
    val guaranteedFromOf: Map<TeamId, Urgency> = emptyMap(),
    val passMs: Long = 1000,
    val evictionsPerPass: Int = 4,
    val startsPerPass: Int = 200,
    /** Weight of the past in a team's mean run time. */
    val runDecay: Double = 0.7,
) {
    fun threshold(team: TeamId) = guaranteedFromOf[team] ?: guaranteedFrom
}

/** A task that is on a machine, as the scheduler sees it. */
class Resident(
    val task: TaskId,
    val team: TeamId,
    val urgency: Urgency,
    val remainingS: Double,
    val preemptions: Int,
    /** Whether it is being stopped already. */
    val stopping: Boolean,
)

/** A machine that can take tasks, as the scheduler sees it. */
class MachineView(
    val id: MachineId,
    val type: MachineType,
    val zone: Zone,
    val spot: Boolean,
    var room: Resources,
    val images: Set<ImageId>,
    val residents: List<Resident>,
    var reservedFor: JobId?,
)

/** A job with tasks to place or on machines, as the scheduler sees it. */
class JobView(
    val spec: JobSpec,
    val submitted: WallTime,
    /** Tasks to place, in order. */
    val open: IntArray,
    /** All tasks not done. */
    val unfinished: Int,
    val live: Int,
    val perZone: Map<Zone, Int>,
    val remainingS: Double,
    val avoid: Set<MachineId>,
    val poisoned: Boolean,
    /** False while the job is backed off. */
    val mayStart: Boolean,
    /** How much later than now its tasks could start and still be in time. */
    val slackS: Double,
)

/** What the scheduler decides on: nothing else enters a decision. */
class Snapshot(
    val machines: List<MachineView>,
    val jobs: List<JobView>,
    val uses: Map<TeamId, Resources>,
    val teams: Map<TeamId, TeamQuota>,
    /** Smoothed degrees of the pass before; empty in a leader's first pass. */
    val assurance: Map<TeamId, Double>,
)

data class Start(val job: JobId, val index: Int, val machine: MachineId)

data class Eviction(val machine: MachineId, val forJob: JobId, val victims: List<TaskId>)

/** Open tasks of a job that found no machine although team and bounds allow them. */
data class Waiting(val job: JobId, val tasks: Int, val guaranteed: Boolean)

class Plan(
    val starts: List<Start>,
    val evictions: List<Eviction>,
    val waiting: List<Waiting>,
    val assurance: Map<TeamId, Double>,
)

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
        private val evictions = ArrayList<Eviction>()
        private val waiting = ArrayList<Waiting>()
        private val perZone = HashMap<JobId, HashMap<Zone, Int>>()
        private val next = HashMap<JobId, Int>()

        /** Tasks of each job that lie within its team's guarantee; those on machines come first. */
        private val guaranteed = HashMap<JobId, Int>()

        fun run(): Plan {
            val assurance = assess()
            val order = compareBy<JobView>({ assurance[it.spec.team] ?: 1.0 }, { it.remainingS }, { it.submitted }, { it.spec.id })
            // Exception: teams without a guarantee all have degree 1, so among equals the more urgent goes first.
            val urgentFirst = compareBy<JobView>({ assurance[it.spec.team] ?: 1.0 }, { it.spec.urgency }, { lateness(it) }, { slack(it) })
            for (job in snapshot.jobs.sortedWith(order)) placeGuaranteed(job)
            for (job in snapshot.jobs.sortedWith(urgentFirst.then(order))) placeBorrowed(job)
            return Plan(starts, evictions, waiting, assurance)
        }

        /** Jobs of teams without a guarantee that can hardly be in time any more let those go first that can. */
        private fun lateness(job: JobView) = if (slack(job) < -HOPELESS * job.remainingS) 1 else 0

        /**
         * Exception: where no team has a guarantee the degree orders nothing, and shorter runs alone would keep long
         * jobs waiting for good; so among them the one that can wait least goes first.
         */
        private fun slack(job: JobView): Double =
            if (snapshot.teams[job.spec.team]?.hasGuarantee == true) 0.0 else job.slackS

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
            val wanted = minOf(job.open.size, share - job.live)
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
            val wanted = job.open.size - (next[job.spec.id] ?: 0)
            if (wanted <= 0 || guaranteedWaits) return
            // Exception: no guarantee means no bound, as twice nothing would starve the team for good.
            val bounded = quota.hasGuarantee
            val probes = if (job.poisoned) minOf(wanted, maxOf(0, 1 - job.live)) else wanted
            val blocked = place(job, probes) { use -> !bounded || quota.guaranteeCovers(use, policy.borrowing) }
            if (blocked <= 0) return
            waiting += Waiting(job.spec.id, blocked, guaranteed = false)
            // Exception: without guarantees only urgency can claim room, as the protocol allows.
            if (!bounded && !job.poisoned && job.spec.urgency < Urgency.NORMAL) evictFor(job, blocked, isGuaranteed = false)
        }

        /** Places up to [wanted] tasks; returns how many were kept back by nothing but missing room. */
        private fun place(job: JobView, wanted: Int, withinBound: (Resources) -> Boolean): Int {
            val spec = job.spec
            val quota = snapshot.teams[spec.team] ?: return 0
            var blocked = 0
            repeat(wanted) {
                if (starts.size >= policy.startsPerPass) return blocked
                val use = (uses[spec.team] ?: Resources.NONE) + spec.perTask * (blocked + 1)
                if (!quota.limitAllows(use) || !withinBound(use)) return blocked
                val machine = if (blocked > 0) null else bestMachine(job)
                if (machine == null) {
                    blocked++
                } else {
                    start(job, machine)
                }
            }
            return blocked
        }

        private fun start(job: JobView, machine: MachineView) {
            val spec = job.spec
            val position = next.merge(spec.id, 1, Int::plus)!! - 1
            starts += Start(spec.id, job.open[position], machine.id)
            machine.room -= spec.perTask
            uses.merge(spec.team, spec.perTask) { a, b -> a + b }
            zonesOf(job).merge(machine.zone, 1, Int::plus)
        }

        private fun zonesOf(job: JobView) = perZone.getOrPut(job.spec.id) { HashMap(job.perZone) }

        private fun bestMachine(job: JobView): MachineView? {
            val spec = job.spec
            val home = if (spec.oneZone) homeZone(job) ?: return null else null
            var best: MachineView? = null
            var bestScore = Double.MAX_VALUE
            for (machine in snapshot.machines) {
                if (!spec.perTask.fitsIn(machine.room) || !allowed(job, machine)) continue
                if (home != null && machine.zone != home) continue
                val score = score(job, machine)
                if (score < bestScore) {
                    bestScore = score
                    best = machine
                }
            }
            return best
        }

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
            if (machine.reservedFor != null && machine.reservedFor != spec.id) return false
            if (machine.spot && !spec.spotAllowed) return false
            if (spec.types != null && machine.type.id !in spec.types) return false
            if (spec.zone != null && machine.zone != spec.zone) return false
            if (machine.id in job.avoid) return false
            return !spec.spread || (zonesOf(job)[machine.zone] ?: 0) < spec.perZoneLimit
        }

        /** The zone of the job's tasks, or the one with most room for them. */
        private fun homeZone(job: JobView): Zone? {
            zonesOf(job).entries.firstOrNull { it.value > 0 }?.let { return it.key }
            return snapshot.machines.filter { allowed(job, it) }.groupBy { it.zone }
                .maxByOrNull { (_, machines) -> machines.sumOf { job.spec.perTask.timesIn(it.room, job.open.size) } }?.key
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
            if (machine.reservedFor != null || machine.residents.isEmpty()) return false
            if (starts.any { it.machine == machine.id }) return false
            if (!allowed(job, machine) || !job.spec.perTask.fitsIn(machine.type.capacity)) return false
            if (job.spec.oneZone && homeZone(job) != machine.zone) return false
            return machine.residents.all { !it.stopping && evictable(it, job, isGuaranteed) }
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

        /** Work with more slack than this is patient. */
        const val PATIENT_S = 200.0

        /** Work that saves nothing and is pressed is better off on machines that are not taken back. */
        const val WRONG_KIND = 0.5
    }
}
