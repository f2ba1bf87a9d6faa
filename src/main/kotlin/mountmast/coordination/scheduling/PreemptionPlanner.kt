package mountmast.coordination.scheduling

import mountmast.protocol.JobId
import mountmast.protocol.Resources
import mountmast.protocol.TaskId
import mountmast.protocol.TeamId
import mountmast.protocol.TypeId
import mountmast.protocol.Urgency
import mountmast.protocol.Zone

/**
 * Reserves machines for tasks that found no free capacity, by preempting all tasks on those machines. The paper calls preemption
 * "eviction" (Eq. 3 to 5). Not thread-safe: one for each cycle.
 */
internal class PreemptionPlanner(
    private val snapshot: ClusterSnapshot,
    private val policy: SchedulingPolicy,
    private val assurance: Assurance,
    private val placement: Placement,
    private val constraints: PlacementConstraints,
) {
    private val plannedPreemptions = ArrayList<Preemption>()

    /** The preemptions decided on in this cycle. */
    val preemptions: List<Preemption> get() = plannedPreemptions

    /**
     * The number of machines on which this cycle may preempt the tasks. It grows with the number of machines: a large cluster meets its
     * guarantees as fast as a small one only if a cycle may preempt the tasks of as large a share of its machines.
     */
    private val maxPreemptions = maxOf(policy.preemptionsPerCycle, snapshot.machines.size / MACHINES_PER_PREEMPTION)

    /**
     * The machines that are not reserved and have tasks of which none is stopping, the machine that is cheapest to preempt first. Whether
     * a job may preempt those tasks is not considered here.
     */
    private val preemptableMachines: List<MachineView> by lazy(LazyThreadSafetyMode.NONE) {
        snapshot.machines.filter { isPreemptable(it) }.sortedBy { cost(it) }
    }

    /** Demands that preemptions could not meet in this cycle. The search is not repeated for an equal demand. */
    private val unmetDemands = HashSet<Demand>()

    /** Everything in a job's specification that decides which machines may be preempted for the job. */
    private data class Demand(
        val team: TeamId,
        val urgency: Urgency,
        val perTask: Resources,
        val types: List<TypeId>?,
        val zone: Zone?,
        val spotAllowed: Boolean,
        val isGuaranteed: Boolean,
    )

    /**
     * Preempts machines, the cheapest first, for [blockedCount] tasks of [job] that found no free capacity, until the capacity reserved
     * for [job] suffices or the cycle's limit is reached. [isGuaranteed] tells whether the team's guarantee covers those tasks.
     */
    fun preemptFor(job: JobView, blockedCount: Int, isGuaranteed: Boolean) {
        val demand = demand(job, isGuaranteed)
        if (plannedPreemptions.size >= maxPreemptions || (demand != null && demand in unmetDemands)) return
        var remaining = blockedCount - snapshot.reservedCapacity(job, blockedCount)
        if (remaining <= 0) return
        val isEligible = constraints.eligibleWhenEmpty(job)
        for (machine in preemptableMachines) {
            if (remaining <= 0 || plannedPreemptions.size >= maxPreemptions) return
            if (!mayPreempt(machine, job, isGuaranteed) || !isEligible(machine)) continue
            plannedPreemptions += Preemption(machine.id, job.spec.id, machine.assignedTasks.map { it.task })
            snapshot.index.reserve(machine, job.spec.id)
            remaining -= job.spec.perTask.instancesWithin(machine.type.capacity, remaining)
        }
        if (remaining > 0 && demand != null) unmetDemands += demand
    }

    /**
     * Returns the demand of [job], or null if more than a [Demand] holds decides which machines may be preempted: the zones of the job's
     * other tasks or the machines excluded after failures.
     */
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

    /**
     * Whether the assigned task may be preempted for [job], by the protocol's rules on preemption. For guaranteed tasks: a borrowed task
     * that is less urgent, or that belongs to another team whose usage exceeds its guarantee. For borrowed tasks: a less urgent
     * task of a team without a guarantee.
     */
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

    /** The tasks on machines that no guarantee covers. Of the tasks of a job, those with the lowest indices are covered first. */
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

    /**
     * Returns the cost of preempting all tasks of [machine] (Φ in Eq. 4 of the paper). The cost rises with the number of tasks and with
     * the number of their earlier preemptions, and falls with their remaining run time.
     */
    private fun cost(machine: MachineView): Double {
        val victims = machine.assignedTasks
        val meanRemainingS = victims.sumOf { it.remainingS } / victims.size
        return victims.sumOf { (1 + policy.overheadWeight * it.preemptions) / it.remainingS } +
            policy.fragmentationWeight * (victims.size - 1) / meanRemainingS
    }

    private companion object {
        /** A cycle may preempt the tasks of one in this many machines if that is more than [SchedulingPolicy.preemptionsPerCycle]. */
        const val MACHINES_PER_PREEMPTION = 250
    }
}
