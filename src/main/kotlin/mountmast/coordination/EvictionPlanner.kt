package mountmast.coordination

import mountmast.protocol.JobId
import mountmast.protocol.TaskId
import mountmast.protocol.TeamId

/** Reserves machines for blocked tasks by evicting all their residents (the paper's Eq. 3 to 5). Not thread-safe. */
class EvictionPlanner(
    private val snapshot: Snapshot,
    private val policy: Policy,
    private val assurance: Assurance,
    private val placement: Placement,
) {
    private val planned = ArrayList<Eviction>()

    val evictions: List<Eviction> get() = planned

    /** Empties the cheapest machines for [blocked] tasks, as far as a pass may evict. */
    fun evictFor(job: JobView, blocked: Int, isGuaranteed: Boolean) {
        var left = blocked - placement.reservedCapacity(job, blocked)
        while (left > 0 && planned.size < policy.evictionsPerPass) {
            val cheapest = snapshot.machines.filter { canEmpty(it, job, isGuaranteed) }.minByOrNull { cost(it) } ?: return
            planned += Eviction(cheapest.id, job.spec.id, cheapest.residents.map { it.task })
            cheapest.reservedFor = job.spec.id
            left -= job.spec.perTask.timesIn(cheapest.type.capacity, left)
        }
    }

    private fun canEmpty(machine: MachineView, job: JobView, isGuaranteed: Boolean): Boolean {
        if (machine.reservedFor != null || placement.hasStartedOn(machine) || !placement.canServe(machine, job)) return false
        return machine.residents.isNotEmpty() && machine.residents.all { !it.stopping && isEvictable(it, job, isGuaranteed) }
    }

    /** Only borrowed work gives way, and only as the protocol's "Preemption" allows. */
    private fun isEvictable(resident: Resident, job: JobView, isGuaranteed: Boolean): Boolean {
        val isLessUrgent = resident.urgency > job.spec.urgency
        if (!isGuaranteed) return isLessUrgent && snapshot.teams[resident.team]?.hasGuarantee != true
        val givesWay = isLessUrgent || (resident.team != job.spec.team && isBeyondGuarantee(resident.team))
        return givesWay && resident.task in borrowedTasks
    }

    private fun isBeyondGuarantee(team: TeamId): Boolean {
        val use = snapshot.uses[team] ?: return false
        return snapshot.teams[team]?.guaranteeCovers(use) == false
    }

    private val borrowedTasks: Set<TaskId> by lazy(LazyThreadSafetyMode.NONE) {
        val seen = HashMap<JobId, Int>()
        val borrowed = HashSet<TaskId>()
        for (resident in snapshot.machines.flatMap { it.residents }.sortedBy { it.task.index }) {
            val rank = (seen[resident.task.job] ?: 0) + 1
            seen[resident.task.job] = rank
            if (rank > (assurance.guaranteedTasks[resident.task.job] ?: 0)) borrowed += resident.task
        }
        borrowed
    }

    /** Φ of the paper's Eq. 4: the cost of stopping all residents of a machine. */
    private fun cost(machine: MachineView): Double {
        val victims = machine.residents
        val meanRemainingS = victims.sumOf { it.remainingS } / victims.size
        return victims.sumOf { (1 + policy.overheadWeight * it.preemptions) / it.remainingS } +
            policy.fragmentWeight * (victims.size - 1) / meanRemainingS
    }
}
