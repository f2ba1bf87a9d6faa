package mountmast.coordination.scheduling

/**
 * Exception to the design: keeps the machines where room for large tasks comes free soonest, stopping nothing; otherwise
 * smaller tasks take every piece of room as it comes, and the large ones wait for good. Not thread-safe.
 */
class MachineReservations(private val snapshot: ClusterSnapshot, private val placement: Placement) {
    private val smallestOpenCpus = snapshot.jobs.filter { it.openCount > 0 }.minOfOrNull { it.spec.cpus } ?: 0.0
    private var jobCount = 0
    private val planned = ArrayList<MachineReservation>()

    val reservations: List<MachineReservation> get() = planned

    /** Whether machines may be kept for one more job in this pass. */
    fun mayReserveForAnother(): Boolean = jobCount < MAX_JOBS_PER_PASS

    /** Keeps machines for [blocked] tasks of [job], unless there is no smaller work that would take their room. */
    fun reserveFor(job: JobView, blocked: Int) {
        if (job.spec.cpus <= smallestOpenCpus) return
        var left = blocked - placement.reservedCapacity(job, blocked)
        val mostMachines = (snapshot.machines.size * MAX_RESERVED_SHARE).toInt() - snapshot.index.reservedCount
        if (left <= 0 || mostMachines <= 0) return
        jobCount++
        for (machine in soonestFor(job, mostMachines)) {
            if (left <= 0) break
            snapshot.index.reserve(machine, job.spec.id)
            planned += MachineReservation(machine.id, job.spec.id)
            left -= job.spec.perTask.instancesWithin(machine.type.capacity, left)
        }
    }

    /** Up to [most] machines that have room for a task of [job] within the horizon, the soonest first. */
    private fun soonestFor(job: JobView, most: Int): List<MachineView> {
        val canServe = placement.servingMachines(job)
        return snapshot.machines
            .filter { it.reservedFor == null && canServe(it) }
            .map { TimedMachine(it, roomInS(job, it)) }
            .filter { it.roomInS <= HORIZON_S }
            .sortedBy { it.roomInS }
            .take(most)
            .map { it.machine }
    }

    private class TimedMachine(val machine: MachineView, val roomInS: Double)

    /** How soon [machine] has room for a task of [job], as far as estimates tell. */
    private fun roomInS(job: JobView, machine: MachineView): Double {
        var room = machine.room
        if (job.spec.perTask.fitsWithin(room)) return 0.0
        for (resident in machine.residents.sortedBy { it.remainingS }) {
            room += resident.spec.perTask
            if (job.spec.perTask.fitsWithin(room)) return resident.remainingS
        }
        return Double.MAX_VALUE
    }

    private companion object {
        /** Machines are kept where room comes within this time. */
        const val HORIZON_S = 20.0

        /** At most this share of all machines is kept. */
        const val MAX_RESERVED_SHARE = 0.3
        const val MAX_JOBS_PER_PASS = 2
    }
}
