package mountmast.coordination.scheduling

import mountmast.protocol.MachineId
import mountmast.protocol.Resources
import mountmast.protocol.TeamId

/** The starts that one cycle decides on, and the free capacity and usage that they leave. Not thread-safe: one for each cycle. */
internal class Placement(
    private val snapshot: ClusterSnapshot,
    private val policy: SchedulingPolicy,
    private val constraints: PlacementConstraints,
) {
    private val usage: HashMap<TeamId, Resources> = HashMap(snapshot.usage)
    private val machinesWithStart = HashSet<MachineId>()

    /** Machines chosen for each job's first open tasks. */
    private val chosen = LinkedHashMap<JobView, ArrayList<MachineId>>()
    private var startedCount = 0

    /** Returns every task placed so far, with its machine. */
    fun starts(): List<Start> = chosen.flatMap { (job, machines) ->
        val indices = job.tasks.firstOpen(machines.size)
        machines.mapIndexed { i, machine -> Start(job.spec.id, indices[i], machine) }
    }

    /** Returns how many tasks of [job] this cycle has placed. */
    fun startedCount(job: JobView): Int = chosen[job]?.size ?: 0

    /** Whether this cycle has placed a task on [machine]. */
    fun hasStartOn(machine: MachineView): Boolean = machine.id in machinesWithStart

    /**
     * Places up to [wanted] tasks, as far as the team's limit and [isWithinBound] of the team's usage allow. Returns how many of
     * those allowed found no free capacity; 0 once the cycle has reached its limit of starts.
     */
    fun place(job: JobView, wanted: Int, isWithinBound: (Resources) -> Boolean): Int =
        placeAllowed(job, allowedCount(job, wanted, isWithinBound), ignoresReservations = false)

    /**
     * Places one task, also on a machine that is reserved for another job, as part of such a machine is idle meanwhile.
     * Returns 1 if no machine has free capacity for it, otherwise as [place] does.
     */
    fun placeOnAnyMachine(job: JobView): Int = placeAllowed(job, allowedCount(job, 1) { true }, ignoresReservations = true)

    private fun placeAllowed(job: JobView, allowed: Int, ignoresReservations: Boolean): Int {
        val candidates = (if (allowed == 0) null else candidates(job, ignoresReservations)) ?: return allowed
        var placed = 0
        while (placed < allowed) {
            if (startedCount >= policy.startsPerCycle) return 0
            val machine = candidates.poll() ?: break
            // Each start changes the free capacity, and may reach the limit of the zone.
            if (!canTake(machine, job, ignoresReservations)) continue
            start(job, machine)
            placed++
            if (canTake(machine, job, ignoresReservations)) candidates.requeue(machine) else candidates.markFull(machine)
        }
        return allowed - placed
    }

    private fun allowedCount(job: JobView, wanted: Int, isWithinBound: (Resources) -> Boolean): Int {
        val quota = snapshot.quotas[job.spec.team] ?: return 0
        val usageBefore = usage[job.spec.team] ?: Resources.NONE
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
        chosen.getOrPut(job) { ArrayList() } += machine.id
        startedCount++
        machinesWithStart += machine.id
        snapshot.index.updateFreeCapacity(machine, machine.freeCapacity - spec.perTask)
        usage.merge(spec.team, spec.perTask) { a, b -> a + b }
        constraints.countStart(job, machine.zone)
    }

    /** Returns the machines with free capacity for a task of [job], the best first; null if it needs a single zone and none can take it. */
    private fun candidates(job: JobView, ignoresReservations: Boolean): PlacementCandidates? {
        val homeZone = if (job.spec.singleZone) constraints.homeZone(job, ignoresReservations) ?: return null else null
        val groups = snapshot.index.groups.filter {
            (homeZone == null || it.kind.zone == homeZone) && constraints.allowsKind(job, it.kind)
        }
        return PlacementCandidates(job, groups) { constraints.allows(job, it, ignoresReservations) }
    }

    private fun canTake(machine: MachineView, job: JobView, ignoresReservations: Boolean) =
        job.spec.perTask.fitsWithin(machine.freeCapacity) && constraints.allows(job, machine, ignoresReservations)
}
