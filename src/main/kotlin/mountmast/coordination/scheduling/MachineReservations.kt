package mountmast.coordination.scheduling

/**
 * Exception to the design: reserves the machines on which capacity for large tasks becomes free soonest, and preempts nothing;
 * otherwise smaller tasks would take each piece of capacity as it becomes free, and the large ones would wait for good.
 * Not thread-safe: one for each cycle.
 */
internal class MachineReservations(private val snapshot: ClusterSnapshot, private val constraints: PlacementConstraints) {
    private val smallestOpenCpus = snapshot.jobs.filter { it.tasks.openCount > 0 }.minOfOrNull { it.spec.cpus } ?: 0.0
    private var jobCount = 0
    private val planned = ArrayList<MachineReservation>()

    /** The reservations made in this cycle. */
    val reservations: List<MachineReservation> get() = planned

    /** Whether machines may be reserved for one more job in this cycle. */
    fun mayReserveForAnother(): Boolean = jobCount < MAX_JOBS_PER_CYCLE

    /** Reserves machines for [blocked] tasks of [job], unless no open task is smaller and would take their capacity. */
    fun reserveFor(job: JobView, blocked: Int) {
        if (job.spec.cpus <= smallestOpenCpus) return
        var left = blocked - snapshot.reservedCapacity(job, blocked)
        val maxMachines = (snapshot.machines.size * MAX_RESERVED_SHARE).toInt() - snapshot.index.reservedCount
        if (left <= 0 || maxMachines <= 0) return
        jobCount++
        for (machine in soonestFreeFor(job, maxMachines)) {
            if (left <= 0) break
            snapshot.index.reserve(machine, job.spec.id)
            planned += MachineReservation(machine.id, job.spec.id)
            left -= job.spec.perTask.instancesWithin(machine.type.capacity, left)
        }
    }

    /** Returns up to [maxMachines] machines that have capacity for a task of [job] within the horizon, the soonest first. */
    private fun soonestFreeFor(job: JobView, maxMachines: Int): List<MachineView> {
        val canServe = constraints.servingMachines(job)
        return snapshot.machines
            .filter { it.reservedFor == null && canServe(it) }
            .map { TimedMachine(it, freeInS(job, it)) }
            .filter { it.freeInS <= HORIZON_S }
            .sortedBy { it.freeInS }
            .take(maxMachines)
            .map { it.machine }
    }

    private class TimedMachine(val machine: MachineView, val freeInS: Double)

    /** Returns in how many seconds [machine] has free capacity for a task of [job], by the estimates of its tasks. */
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
        /** Machines are reserved if they have capacity within this time. */
        const val HORIZON_S = 20.0

        /** At most this share of all machines is reserved. */
        const val MAX_RESERVED_SHARE = 0.3
        const val MAX_JOBS_PER_CYCLE = 2
    }
}
