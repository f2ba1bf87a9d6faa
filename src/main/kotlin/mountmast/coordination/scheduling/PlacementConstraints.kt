package mountmast.coordination.scheduling

import mountmast.protocol.JobId
import mountmast.protocol.Zone

/**
 * Decides on which machines tasks of a job may run, whatever capacity is free there. Counts the tasks that the cycle starts in each
 * zone, as the requirements on zones depend on them. Not thread-safe: one for each cycle.
 */
internal class PlacementConstraints(private val snapshot: ClusterSnapshot, private val priorities: JobPriorities) {
    private val tasksPerZone = HashMap<JobId, HashMap<Zone, Int>>()

    /** Counts a task of [job] that the cycle starts in [zone], if the job restricts the zones of its tasks. */
    fun countStart(job: JobView, zone: Zone) {
        if (job.spec.singleZone || job.spec.spreadAcrossZones) tasksPerZone(job).merge(zone, 1, Int::plus)
    }

    /**
     * Whether tasks of [job] may run on [machine]: the machine's kind is allowed, the machine is neither reserved for another job (unless
     * [ignoresReservations]) nor excluded after a failure (unless the job has waited too long), and the zone holds fewer tasks of the
     * job than the job's limit for each zone.
     */
    fun allows(job: JobView, machine: MachineView, ignoresReservations: Boolean): Boolean =
        allowsKind(job, machine.kind) && allowsMachine(job, machine, ignoresReservations) && isBelowZoneLimit(job, machine.zone)

    /** Whether tasks of [job] may run on machines of this [kind]. */
    fun allowsKind(job: JobView, kind: MachineKind): Boolean {
        val spec = job.spec
        return (spec.spotAllowed || !kind.isSpot) &&
            (spec.types == null || kind.type.id in spec.types) &&
            (spec.zone == null || kind.zone == spec.zone)
    }

    private fun allowsMachine(job: JobView, machine: MachineView, ignoresReservations: Boolean): Boolean {
        val isReservedForOther = machine.reservedFor != null && machine.reservedFor != job.spec.id
        return (!isReservedForOther || ignoresReservations) &&
            (machine.id !in job.excludedMachines || priorities.hasWaitedTooLong(job))
    }

    private fun isBelowZoneLimit(job: JobView, zone: Zone) =
        !job.spec.spreadAcrossZones || (tasksPerZone(job)[zone] ?: 0) < job.spec.maxTasksPerZone

    private fun tasksPerZone(job: JobView) = tasksPerZone.getOrPut(job.spec.id) { HashMap(job.tasks.assignedPerZone) }

    /** Returns a predicate that tells whether a machine, once it is empty, can take a task of [job] that is allowed there. */
    fun eligibleWhenEmpty(job: JobView): (MachineView) -> Boolean {
        val requiredZone = if (job.spec.singleZone) requiredZone(job, ignoresReservations = false) else null
        return { machine ->
            job.spec.perTask.fitsWithin(machine.type.capacity) &&
                allows(job, machine, ignoresReservations = false) &&
                (!job.spec.singleZone || requiredZone == machine.zone)
        }
    }

    /**
     * Returns the zone in which all tasks of [job] have to run: the zone of its tasks on machines, or else the zone with free
     * capacity for the most tasks, and among equals the first by name. Returns null if there is no machine that [job] may use.
     */
    fun requiredZone(job: JobView, ignoresReservations: Boolean): Zone? {
        tasksPerZone(job).entries.firstOrNull { it.value > 0 }?.let { return it.key }
        val unusablePerGroup = countUnusablePerGroup(job, ignoresReservations)
        val fittingTasks = HashMap<Zone, Int>()
        for (group in snapshot.index.groups) {
            val usableCount = group.size - (unusablePerGroup[group] ?: 0)
            if (usableCount == 0 || !allowsKind(job, group.kind) || !isBelowZoneLimit(job, group.kind.zone)) continue
            val perMachine = job.spec.perTask.instancesWithin(group.freeCapacity, job.tasks.openCount)
            fittingTasks.merge(group.kind.zone, usableCount * perMachine, Int::plus)
        }
        return fittingTasks.entries.maxWithOrNull(compareBy<Map.Entry<Zone, Int>> { it.value }.thenByDescending { it.key.text })?.key
    }

    /** Returns the number of machines in each group that are reserved for another job or excluded for [job] after a failure. */
    private fun countUnusablePerGroup(job: JobView, ignoresReservations: Boolean): Map<MachineGroup, Int> {
        val affected = snapshot.index.reservedMachines + job.excludedMachines.asSequence().mapNotNull(snapshot::machine)
        return affected.distinct()
            .filter { !allowsMachine(job, it, ignoresReservations) }
            .mapNotNull { it.group }
            .groupingBy { it }
            .eachCount()
    }
}
