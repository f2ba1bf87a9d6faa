package mountmast.coordination.scheduling

import mountmast.protocol.JobId
import mountmast.protocol.Resources
import mountmast.protocol.TaskId
import mountmast.protocol.TeamId
import mountmast.protocol.TypeId
import mountmast.protocol.Urgency
import mountmast.protocol.Zone

/** Reserves machines for blocked tasks by evicting all their residents (the paper's Eq. 3 to 5). Not thread-safe. */
class PreemptionPlanner(
    private val snapshot: ClusterSnapshot,
    private val policy: SchedulingPolicy,
    private val assurance: Assurance,
    private val placement: Placement,
) {
    private val planned = ArrayList<Preemption>()

    val preemptions: List<Preemption> get() = planned

    /** A larger fleet gives its guarantees as fast as a small one only if it may evict on as large a share of it. */
    private val mostEvictions = maxOf(policy.preemptionsPerCycle, snapshot.machines.size / MACHINES_PER_EVICTION)

    /** Machines whose residents may all be stopped if who they are allows it, the cheapest first. */
    private val emptiable: List<MachineView> by lazy(LazyThreadSafetyMode.NONE) {
        snapshot.machines.filter { isEmptiable(it) }.sortedBy { cost(it) }
    }

    /** What no machine could be emptied for in this pass: the same is not looked for again. */
    private val unmet = HashSet<Demand>()

    /** All of a job that decides which machines may be emptied for it. */
    private data class Demand(
        val team: TeamId,
        val urgency: Urgency,
        val perTask: Resources,
        val types: List<TypeId>?,
        val zone: Zone?,
        val spotAllowed: Boolean,
        val isGuaranteed: Boolean,
    )

    /** Empties the cheapest machines for [blocked] tasks, as far as a pass may evict. */
    fun preemptFor(job: JobView, blocked: Int, isGuaranteed: Boolean) {
        val demand = demand(job, isGuaranteed)
        if (planned.size >= mostEvictions || (demand != null && demand in unmet)) return
        var left = blocked - placement.reservedCapacity(job, blocked)
        if (left <= 0) return
        val canServe = placement.servingMachines(job)
        for (machine in emptiable) {
            if (left <= 0 || planned.size >= mostEvictions) return
            if (!canEmpty(machine, job, isGuaranteed) || !canServe(machine)) continue
            planned += Preemption(machine.id, job.spec.id, machine.residents.map { it.task })
            snapshot.index.reserve(machine, job.spec.id)
            left -= job.spec.perTask.instancesWithin(machine.type.capacity, left)
        }
        if (left > 0 && demand != null) unmet += demand
    }

    /** Null where more decides than a job's own record. */
    private fun demand(job: JobView, isGuaranteed: Boolean): Demand? {
        val spec = job.spec
        if (spec.singleZone || spec.spreadAcrossZones || job.avoid.isNotEmpty()) return null
        return Demand(spec.team, spec.urgency, spec.perTask, spec.types, spec.zone, spec.spotAllowed, isGuaranteed)
    }

    private fun isEmptiable(machine: MachineView) =
        machine.reservedFor == null && machine.residents.isNotEmpty() && machine.residents.none { it.stopping }

    private fun canEmpty(machine: MachineView, job: JobView, isGuaranteed: Boolean): Boolean {
        if (machine.reservedFor != null || placement.hasStartedOn(machine)) return false
        return machine.residents.all { isEvictable(it, job, isGuaranteed) }
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

    private companion object {
        /** One machine in so many may be emptied by a pass, where that is more than the policy says. */
        const val MACHINES_PER_EVICTION = 250
    }
}
