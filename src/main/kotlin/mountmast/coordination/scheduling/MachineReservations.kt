package mountmast.coordination.scheduling

/**
 * Reserves the machines on which capacity for large tasks becomes free soonest, without preempting any task. Exception to the
 * order of [JobPriorities]: otherwise smaller tasks would take capacity as soon as it becomes free, and the large tasks would
 * starve. Not thread-safe: one for each cycle.
 */
internal class MachineReservations(private val snapshot: ClusterSnapshot, private val constraints: PlacementConstraints) {
    private val smallestOpenCpus = snapshot.jobs.filter { it.tasks.openCount > 0 }.minOfOrNull { it.spec.cpus } ?: 0.0
    private var reservingJobCount = 0
    private val plannedReservations = ArrayList<MachineReservation>()

    /** The reservations made in this cycle. */
    val reservations: List<MachineReservation> get() = plannedReservations

    /** Whether this cycle may still reserve machines for one more job. */
    fun mayReserveForAnother(): Boolean = reservingJobCount < MAX_JOBS_PER_CYCLE

    /**
     * Reserves machines for [blockedCount] tasks of [job] that found no free capacity. Reserves none if no open task needs
     * fewer CPUs than those tasks, as no smaller task competes with them then.
     */
    fun reserveFor(job: JobView, blockedCount: Int) {
        if (job.spec.cpus <= smallestOpenCpus) return
        var remaining = blockedCount - snapshot.reservedCapacity(job, blockedCount)
        val maxMachines = (snapshot.machines.size * MAX_RESERVED_SHARE).toInt() - snapshot.index.reservedCount
        if (remaining <= 0 || maxMachines <= 0) return
        reservingJobCount++
        for (machine in findSoonestFree(job, maxMachines)) {
            if (remaining <= 0) break
            snapshot.index.reserve(machine, job.spec.id)
            plannedReservations += MachineReservation(machine.id, job.spec.id)
            remaining -= job.spec.perTask.instancesWithin(machine.type.capacity, remaining)
        }
    }

    /**
     * Returns up to [maxMachines] machines that have free capacity for a task of [job] within [RESERVATION_HORIZON_S], the machine on
     * which the capacity is free soonest first.
     */
    private fun findSoonestFree(job: JobView, maxMachines: Int): List<MachineView> {
        val isEligible = constraints.eligibleWhenEmpty(job)
        return snapshot.machines
            .filter { it.reservedFor == null && isEligible(it) }
            .map { MachineAvailability(it, freeInS(job, it)) }
            .filter { it.freeInS <= RESERVATION_HORIZON_S }
            .sortedBy { it.freeInS }
            .take(maxMachines)
            .map { it.machine }
    }

    private class MachineAvailability(val machine: MachineView, val freeInS: Double)

    /**
     * Returns in how many seconds [machine] has free capacity for a task of [job], by the estimated remaining run times of the tasks on
     * [machine]; [Double.MAX_VALUE] if [machine] is too small.
     */
    private fun freeInS(job: JobView, machine: MachineView): Double {
        var freeCapacity = machine.freeCapacity
        if (job.spec.perTask.fitsWithin(freeCapacity)) return 0.0
        for (assigned in machine.assignedTasks.sortedBy { it.remainingS }) {
            freeCapacity += assigned.spec.perTask
            if (job.spec.perTask.fitsWithin(freeCapacity)) return assigned.remainingS
        }
        return Double.MAX_VALUE
    }

    private companion object {
        /** Only machines on which the capacity becomes free within this time, in seconds, are reserved. */
        const val RESERVATION_HORIZON_S = 20.0

        /** No more machines are reserved once this share of all machines is reserved, including the machines reserved by preemptions. */
        const val MAX_RESERVED_SHARE = 0.3
        const val MAX_JOBS_PER_CYCLE = 2
    }
}
