package mountmast.coordination

import mountmast.protocol.JobId
import mountmast.protocol.MachineId
import mountmast.protocol.Resources
import mountmast.protocol.TeamId
import mountmast.protocol.Zone
import java.util.PriorityQueue

/** The starts of one pass, and the room, use and zones that they leave. Not thread-safe. */
class Placement(private val snapshot: Snapshot, private val policy: Policy, private val priorities: JobPriorities) {
    private val uses: HashMap<TeamId, Resources> = HashMap(snapshot.uses)
    private val tasksPerZone = HashMap<JobId, HashMap<Zone, Int>>()
    private val startedOn = HashSet<MachineId>()

    /** Machines chosen for each job's first open tasks. */
    private val chosen = LinkedHashMap<JobView, ArrayList<MachineId>>()
    private var startedCount = 0
    private var ignoresReservations = false

    /** Every task placed, with its machine. */
    fun starts(): List<Start> = chosen.flatMap { (job, machines) ->
        val indices = job.open(machines.size)
        machines.mapIndexed { i, machine -> Start(job.spec.id, indices[i], machine) }
    }

    /** How many tasks of [job] this pass has placed. */
    fun startedCount(job: JobView): Int = chosen[job]?.size ?: 0

    fun hasStartedOn(machine: MachineView): Boolean = machine.id in startedOn

    /**
     * Places up to [wanted] tasks, as far as the team's limit and [isWithinBound] of the team's use allow; returns how many
     * were kept back by nothing but missing room.
     */
    fun place(job: JobView, wanted: Int, isWithinBound: (Resources) -> Boolean): Int {
        val allowed = allowedCount(job, wanted, isWithinBound)
        if (allowed == 0) return 0
        val candidates = candidates(job)
        var placed = 0
        while (placed < allowed) {
            if (startedCount >= policy.startsPerPass) return 0
            val machine = candidates.poll()?.machine ?: break
            // Each start changes the room, and may fill the zone's share.
            if (fits(job, machine)) {
                start(job, machine)
                placed++
                if (fits(job, machine)) candidates += Candidate(machine, score(job, machine))
            }
        }
        return allowed - placed
    }

    /** Places one task, also on a machine that is reserved for another job: such a one stands idle in part meanwhile. */
    fun placeOnAnyMachine(job: JobView): Int {
        ignoresReservations = true
        return place(job, 1) { true }.also { ignoresReservations = false }
    }

    private fun allowedCount(job: JobView, wanted: Int, isWithinBound: (Resources) -> Boolean): Int {
        val quota = snapshot.teams[job.spec.team] ?: return 0
        val before = uses[job.spec.team] ?: Resources.NONE
        var count = 0
        while (count < wanted) {
            val use = before + job.spec.perTask * (count + 1)
            if (!quota.limitAllows(use) || !isWithinBound(use)) break
            count++
        }
        return count
    }

    private fun start(job: JobView, machine: MachineView) {
        val spec = job.spec
        chosen.getOrPut(job) { ArrayList() } += machine.id
        startedCount++
        startedOn += machine.id
        machine.room -= spec.perTask
        uses.merge(spec.team, spec.perTask) { a, b -> a + b }
        if (spec.oneZone || spec.spread) zonesOf(job).merge(machine.zone, 1, Int::plus)
    }

    private fun zonesOf(job: JobView) = tasksPerZone.getOrPut(job.spec.id) { HashMap(job.perZone) }

    private class Candidate(val machine: MachineView, val score: Double) : Comparable<Candidate> {
        override fun compareTo(other: Candidate) = score.compareTo(other.score)
    }

    /** Machines with room for a task of [job], the best first: scored once, not again for each task. */
    private fun candidates(job: JobView): PriorityQueue<Candidate> {
        val found = PriorityQueue<Candidate>()
        val home = if (job.spec.oneZone) homeZone(job) ?: return found else null
        for (machine in snapshot.machines) {
            if (home != null && machine.zone != home) continue
            if (fits(job, machine)) found += Candidate(machine, score(job, machine))
        }
        return found
    }

    private fun fits(job: JobView, machine: MachineView) = job.spec.perTask.fitsIn(machine.room) && isAllowed(job, machine)

    /** Lower is better: first machines that hold the image, then those that would be left with the least room. */
    private fun score(job: JobView, machine: MachineView): Double {
        val spec = job.spec
        val fetchS = if (spec.image in machine.images) 0.0 else spec.imageGb / machine.type.fetchGbPerS
        val room = machine.room - spec.perTask
        val leftover = maxOf(room.cpus / machine.type.cpus, room.memoryGb / machine.type.memoryGb)
        // Work that can be done again in time goes to cheap machines, so that dear ones fall idle and are returned.
        val isPatient = job.slackS > PATIENT_S
        val isWrongKind = if (isPatient) !machine.spot && spec.spotAllowed else machine.spot && spec.checkpointEveryS <= 0
        return fetchS + leftover + (if (isWrongKind) WRONG_KIND_PENALTY else 0.0)
    }

    /** Whether tasks of [job] may run on [machine], apart from room. */
    fun isAllowed(job: JobView, machine: MachineView): Boolean {
        val spec = job.spec
        val isReservedForOther = machine.reservedFor != null && machine.reservedFor != spec.id
        return (!isReservedForOther || ignoresReservations) &&
            (spec.spotAllowed || !machine.spot) &&
            (spec.types == null || machine.type.id in spec.types) &&
            (spec.zone == null || machine.zone == spec.zone) &&
            (machine.id !in job.avoid || priorities.isOverdue(job)) &&
            (!spec.spread || (zonesOf(job)[machine.zone] ?: 0) < spec.perZoneLimit)
    }

    /** Whether a machine of its kind, once it is empty, takes a task of [job]. */
    fun canServe(machine: MachineView, job: JobView): Boolean = job.spec.perTask.fitsIn(machine.type.capacity) &&
        isAllowed(job, machine) &&
        (!job.spec.oneZone || homeZone(job) == machine.zone)

    /** How many of [wanted] tasks of [job] the machines reserved for it take once they are empty. */
    fun reservedCapacity(job: JobView, wanted: Int): Int = snapshot.machines.filter { it.reservedFor == job.spec.id }
        .sumOf { job.spec.perTask.timesIn(it.type.capacity, wanted) }

    /** The zone of the job's tasks, or the one with most room for them. */
    private fun homeZone(job: JobView): Zone? {
        zonesOf(job).entries.firstOrNull { it.value > 0 }?.let { return it.key }
        return snapshot.machines.filter { isAllowed(job, it) }.groupBy { it.zone }
            .maxByOrNull { (_, machines) -> machines.sumOf { job.spec.perTask.timesIn(it.room, job.openCount) } }?.key
    }

    private companion object {
        /** Work with more slack than this is patient. */
        const val PATIENT_S = 200.0

        /** Work that saves nothing and is pressed is better off on machines that are not taken back. */
        const val WRONG_KIND_PENALTY = 0.5
    }
}
