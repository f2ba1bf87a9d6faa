package mountmast.coordination.scheduling

import mountmast.protocol.JobId
import mountmast.protocol.MachineId
import mountmast.protocol.MachineType
import mountmast.protocol.Resources
import mountmast.protocol.TeamId
import mountmast.protocol.Zone

/** The starts of one pass, and the room, use and zones that they leave. Not thread-safe. */
class Placement(private val snapshot: ClusterSnapshot, private val policy: SchedulingPolicy, private val priorities: JobPriorities) {
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
        val candidates = candidates(job) ?: return allowed
        var placed = 0
        while (placed < allowed) {
            if (startedCount >= policy.startsPerCycle) return 0
            val machine = candidates.poll() ?: break
            // Each start changes the room, and may fill the zone's share.
            if (!fits(job, machine)) continue
            start(job, machine)
            placed++
            if (fits(job, machine)) candidates.requeue(machine) else candidates.filled(machine)
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
        snapshot.index.changeRoom(machine, machine.room - spec.perTask)
        uses.merge(spec.team, spec.perTask) { a, b -> a + b }
        if (spec.singleZone || spec.spreadAcrossZones) zonesOf(job).merge(machine.zone, 1, Int::plus)
    }

    private fun zonesOf(job: JobView) = tasksPerZone.getOrPut(job.spec.id) { HashMap(job.perZone) }

    /** Machines with room for a task of [job], the best first; null where it has to be in one zone, and none can take it. */
    private fun candidates(job: JobView): PlacementCandidates? {
        val home = if (job.spec.singleZone) homeZone(job) ?: return null else null
        val groups = snapshot.index.groups.filter { (home == null || it.zone == home) && isKindAllowed(job, it.type, it.zone, it.spot) }
        return PlacementCandidates(job, groups, { group, holdsImage -> score(job, group, holdsImage) }) { isAllowed(job, it) }
    }

    private fun fits(job: JobView, machine: MachineView) = job.spec.perTask.fitsWithin(machine.room) && isAllowed(job, machine)

    /** Lower is better: first machines that hold the image, then those that would be left with the least room. */
    private fun score(job: JobView, group: MachineGroup, holdsImage: Boolean): Double {
        val spec = job.spec
        val type = group.type
        val fetchS = if (holdsImage) 0.0 else spec.imageGb / type.fetchGbPerS
        val room = group.room - spec.perTask
        val leftover = maxOf(room.cpus / type.cpus, room.memoryGb / type.memoryGb)
        // Work that can be done again in time goes to cheap machines, so that dear ones fall idle and are returned.
        val isPatient = job.slackS > PATIENT_S
        val isWrongKind = if (isPatient) !group.spot && spec.spotAllowed else group.spot && spec.checkpointEveryS <= 0
        return fetchS + leftover + (if (isWrongKind) WRONG_KIND_PENALTY else 0.0)
    }

    /** Whether tasks of [job] may run on [machine], apart from room. */
    private fun isAllowed(job: JobView, machine: MachineView): Boolean =
        isKindAllowed(job, machine.type, machine.zone, machine.spot) && isMachineAllowed(job, machine) && isShareLeft(job, machine.zone)

    private fun isKindAllowed(job: JobView, type: MachineType, zone: Zone, spot: Boolean): Boolean {
        val spec = job.spec
        return (spec.spotAllowed || !spot) &&
            (spec.types == null || type.id in spec.types) &&
            (spec.zone == null || zone == spec.zone)
    }

    private fun isMachineAllowed(job: JobView, machine: MachineView): Boolean {
        val isReservedForOther = machine.reservedFor != null && machine.reservedFor != job.spec.id
        return (!isReservedForOther || ignoresReservations) && (machine.id !in job.avoid || priorities.isOverdue(job))
    }

    private fun isShareLeft(job: JobView, zone: Zone) = !job.spec.spreadAcrossZones || (zonesOf(job)[zone] ?: 0) < job.spec.maxTasksPerZone

    /** Tells whether a machine, once it is empty, takes a task of [job]. */
    fun servingMachines(job: JobView): (MachineView) -> Boolean {
        val home = if (job.spec.singleZone) homeZone(job) else null
        return { machine ->
            job.spec.perTask.fitsWithin(machine.type.capacity) && isAllowed(job, machine) && (!job.spec.singleZone || home == machine.zone)
        }
    }

    /** How many of [wanted] tasks of [job] the machines reserved for it take once they are empty. */
    fun reservedCapacity(job: JobView, wanted: Int): Int =
        snapshot.index.reservedFor(job.spec.id).sumOf { job.spec.perTask.instancesWithin(it.type.capacity, wanted) }

    /** The zone of the job's tasks, or the one with most room for them, of equals the first by name. */
    private fun homeZone(job: JobView): Zone? {
        zonesOf(job).entries.firstOrNull { it.value > 0 }?.let { return it.key }
        val excluded = excludedMachines(job)
        val roomByZone = HashMap<Zone, Int>()
        for (group in snapshot.index.groups) {
            val usable = group.size - (excluded[group] ?: 0)
            if (usable == 0 || !isKindAllowed(job, group.type, group.zone, group.spot) || !isShareLeft(job, group.zone)) continue
            roomByZone.merge(group.zone, usable * job.spec.perTask.instancesWithin(group.room, job.openCount), Int::plus)
        }
        return roomByZone.entries.maxWithOrNull(compareBy<Map.Entry<Zone, Int>> { it.value }.thenByDescending { it.key.text })?.key
    }

    /** How many machines of each group [job] may not use for what concerns the machine itself. */
    private fun excludedMachines(job: JobView): Map<MachineGroup, Int> {
        val candidates = snapshot.index.reservedMachines + job.avoid.asSequence().mapNotNull(snapshot::machine)
        return candidates.distinct().filter { !isMachineAllowed(job, it) }.mapNotNull { it.group }.groupingBy { it }.eachCount()
    }

    private companion object {
        /** Work with more slack than this is patient. */
        const val PATIENT_S = 200.0

        /** Work that saves nothing and is pressed is better off on machines that are not taken back. */
        const val WRONG_KIND_PENALTY = 0.5
    }
}
