package mountmast.coordination.scheduling

import mountmast.protocol.MachineId
import mountmast.protocol.Resources
import mountmast.protocol.TeamId

/** The starts of tasks that one cycle decides on, and the teams' usage that results from them. Not thread-safe: one for each cycle. */
internal class Placement(
    private val snapshot: ClusterSnapshot,
    private val policy: SchedulingPolicy,
    private val constraints: PlacementConstraints,
) {
    private val usage: HashMap<TeamId, Resources> = HashMap(snapshot.usage)
    private val machinesWithStart = HashSet<MachineId>()

    /** The machines chosen for each job's first open tasks, in the order of the tasks. */
    private val chosenMachines = LinkedHashMap<JobView, ArrayList<MachineId>>()
    private var startedCount = 0

    /** Returns the starts that this cycle has decided on so far: each task with its machine. */
    fun starts(): List<Start> = chosenMachines.flatMap { (job, machines) ->
        val indices = job.tasks.firstOpen(machines.size)
        machines.mapIndexed { i, machine -> Start(job.spec.id, indices[i], machine) }
    }

    /** Returns the resources that [team] uses, with the starts that this cycle has decided on so far. */
    fun usageOf(team: TeamId): Resources = usage[team] ?: Resources.NONE

    /** Returns how many tasks of [job] this cycle has placed. */
    fun startedCount(job: JobView): Int = chosenMachines[job]?.size ?: 0

    /** Whether this cycle has placed a task on [machine]. */
    fun hasStartOn(machine: MachineView): Boolean = machine.id in machinesWithStart

    /**
     * Places up to [wanted] tasks of [job], as long as the team's usage including them stays within the team's limit and satisfies
     * [isWithinBound]. Returns how many of the tasks that the limit and the bound allow found no free capacity; 0 if the cycle reaches
     * its limit of starts.
     */
    fun place(job: JobView, wanted: Int, isWithinBound: (Resources) -> Boolean): Int =
        placeAllowed(job, allowedCount(job, wanted, isWithinBound), ignoresReservations = false)

    /**
     * Places one task of [job] if the team's limit allows it, even on a machine that is reserved for another job. Free capacity of a
     * reserved machine is idle until the tasks of the job that it is reserved for start. Returns the number of tasks, 0 or 1, that the
     * limit allows but for which no machine has free capacity.
     */
    fun placeOnAnyMachine(job: JobView): Int = placeAllowed(job, allowedCount(job, 1) { true }, ignoresReservations = true)

    private fun placeAllowed(job: JobView, allowed: Int, ignoresReservations: Boolean): Int {
        val candidates = (if (allowed == 0) null else findCandidates(job, ignoresReservations)) ?: return allowed
        var placed = 0
        while (placed < allowed) {
            if (startedCount >= policy.startsPerCycle) return 0
            val machine = candidates.poll() ?: break
            // Earlier starts may have used up the machine's free capacity or reached the limit of tasks in its zone.
            if (!canTake(machine, job, ignoresReservations)) continue
            start(job, machine)
            placed++
            if (canTake(machine, job, ignoresReservations)) candidates.requeue(machine) else candidates.markFull(machine)
        }
        return allowed - placed
    }

    private fun allowedCount(job: JobView, wanted: Int, isWithinBound: (Resources) -> Boolean): Int {
        val quota = snapshot.quotas[job.spec.team] ?: return 0
        val usageBefore = usageOf(job.spec.team)
        var count = 0
        while (count < wanted) {
            val usageAfter = usageBefore + job.spec.perTask * (count + 1)
            if (!quota.limitAllows(usageAfter) || !isWithinBound(usageAfter)) break
            count++
        }
        return count
    }

    private fun start(job: JobView, machine: MachineView) {
        val spec = job.spec
        chosenMachines.getOrPut(job) { ArrayList() } += machine.id
        startedCount++
        machinesWithStart += machine.id
        snapshot.index.updateFreeCapacity(machine, machine.freeCapacity - spec.perTask)
        usage.merge(spec.team, spec.perTask) { a, b -> a + b }
        constraints.countStart(job, machine.zone)
    }

    /**
     * Returns the machines with free capacity for a task of [job], the best first; null if the tasks of [job] must run in a single zone
     * and no zone has a machine that they may use.
     */
    private fun findCandidates(job: JobView, ignoresReservations: Boolean): PlacementCandidates? {
        val requiredZone = if (job.spec.singleZone) constraints.requiredZone(job, ignoresReservations) ?: return null else null
        val groups = snapshot.index.groups.filter {
            (requiredZone == null || it.kind.zone == requiredZone) && constraints.allowsKind(job, it.kind)
        }
        return PlacementCandidates(job, groups) { constraints.allows(job, it, ignoresReservations) }
    }

    private fun canTake(machine: MachineView, job: JobView, ignoresReservations: Boolean) =
        job.spec.perTask.fitsWithin(machine.freeCapacity) && constraints.allows(job, machine, ignoresReservations)
}
