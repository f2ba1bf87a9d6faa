package mountmast.coordination.scheduling

import mountmast.protocol.JobId
import mountmast.protocol.Resources
import mountmast.protocol.TaskId
import mountmast.protocol.TeamId
import mountmast.protocol.TypeId
import mountmast.protocol.Urgency
import mountmast.protocol.Zone

/**
 * Reserves machines for blocked tasks by preempting all tasks on them; the paper calls this eviction (Eq. 3 to 5).
 * Not thread-safe: one for each cycle.
 */
internal class PreemptionPlanner(
    private val snapshot: ClusterSnapshot,
    private val policy: SchedulingPolicy,
    private val assurance: Assurance,
    private val placement: Placement,
    private val constraints: PlacementConstraints,
) {
    private val planned = ArrayList<Preemption>()

    /** The preemptions decided on in this cycle. */
    val preemptions: List<Preemption> get() = planned

    /** A larger cluster gives its guarantees as fast as a small one only if it may preempt on as large a share of it. */
    private val maxPreemptions = maxOf(policy.preemptionsPerCycle, snapshot.machines.size / MACHINES_PER_PREEMPTION)

    /** Machines whose tasks may all be preempted if the tasks themselves allow it, the cheapest first. */
    private val preemptableMachines: List<MachineView> by lazy(LazyThreadSafetyMode.NONE) {
        snapshot.machines.filter { isPreemptable(it) }.sortedBy { cost(it) }
    }

    /** Demands that no preemption could meet in this cycle, so that equal ones are not searched for again. */
    private val unmetDemands = HashSet<Demand>()

    /** Everything about a job that decides which machines may be preempted for it. */
    private data class Demand(
        val team: TeamId,
        val urgency: Urgency,
        val perTask: Resources,
        val types: List<TypeId>?,
        val zone: Zone?,
        val spotAllowed: Boolean,
        val isGuaranteed: Boolean,
    )

    /** Preempts the cheapest machines for [blocked] tasks of [job], up to the limit of a cycle. */
    fun preemptFor(job: JobView, blocked: Int, isGuaranteed: Boolean) {
        val demand = demand(job, isGuaranteed)
        if (planned.size >= maxPreemptions || (demand != null && demand in unmetDemands)) return
        var left = blocked - snapshot.reservedCapacity(job, blocked)
        if (left <= 0) return
        val canServe = constraints.servingMachines(job)
        for (machine in preemptableMachines) {
            if (left <= 0 || planned.size >= maxPreemptions) return
            if (!mayPreempt(machine, job, isGuaranteed) || !canServe(machine)) continue
            planned += Preemption(machine.id, job.spec.id, machine.assignedTasks.map { it.task })
            snapshot.index.reserve(machine, job.spec.id)
            left -= job.spec.perTask.instancesWithin(machine.type.capacity, left)
        }
        if (left > 0 && demand != null) unmetDemands += demand
    }

    /** Returns what decides on machines for [job], or null if that is more than its own specification. */
    private fun demand(job: JobView, isGuaranteed: Boolean): Demand? {
        val spec = job.spec
        if (spec.singleZone || spec.spreadAcrossZones || job.excludedMachines.isNotEmpty()) return null
        return Demand(spec.team, spec.urgency, spec.perTask, spec.types, spec.zone, spec.spotAllowed, isGuaranteed)
    }

    private fun isPreemptable(machine: MachineView) =
        machine.reservedFor == null && machine.assignedTasks.isNotEmpty() && machine.assignedTasks.none { it.isStopping }

    private fun mayPreempt(machine: MachineView, job: JobView, isGuaranteed: Boolean): Boolean {
        if (machine.reservedFor != null || placement.hasStartOn(machine)) return false
        return machine.assignedTasks.all { mayPreempt(it, job, isGuaranteed) }
    }

    /** Only borrowed work is preempted, and only as the protocol's "Preemption" allows. */
    private fun mayPreempt(assigned: AssignedTask, job: JobView, isGuaranteed: Boolean): Boolean {
        val isLessUrgent = assigned.urgency > job.spec.urgency
        if (!isGuaranteed) return isLessUrgent && snapshot.quotas[assigned.team]?.hasGuarantee != true
        val hasLowerClaim = isLessUrgent || (assigned.team != job.spec.team && isBeyondGuarantee(assigned.team))
        return hasLowerClaim && assigned.task in borrowedTasks
    }

    private fun isBeyondGuarantee(team: TeamId): Boolean {
        val usage = snapshot.usage[team] ?: return false
        return snapshot.quotas[team]?.guaranteeCovers(usage) == false
    }

    private val borrowedTasks: Set<TaskId> by lazy(LazyThreadSafetyMode.NONE) {
        val countPerJob = HashMap<JobId, Int>()
        val borrowed = HashSet<TaskId>()
        for (assigned in snapshot.machines.flatMap { it.assignedTasks }.sortedBy { it.task.index }) {
            val rank = (countPerJob[assigned.task.job] ?: 0) + 1
            countPerJob[assigned.task.job] = rank
            if (rank > (assurance.guaranteedTasks[assigned.task.job] ?: 0)) borrowed += assigned.task
        }
        borrowed
    }

    /** Φ of the paper's Eq. 4: the cost of preempting all tasks of a machine. */
    private fun cost(machine: MachineView): Double {
        val victims = machine.assignedTasks
        val meanRemainingS = victims.sumOf { it.remainingS } / victims.size
        return victims.sumOf { (1 + policy.overheadWeight * it.preemptions) / it.remainingS } +
            policy.fragmentationWeight * (victims.size - 1) / meanRemainingS
    }

    private companion object {
        /** One machine in so many may be preempted in a cycle, if that is more than the policy says. */
        const val MACHINES_PER_PREEMPTION = 250
    }
}
