package mountmast.coordination.controller

import mountmast.coordination.election.LeaseTiming
import mountmast.coordination.scheduling.AssignedTask
import mountmast.coordination.scheduling.ClusterSnapshot
import mountmast.coordination.scheduling.JobTasks
import mountmast.coordination.scheduling.JobTiming
import mountmast.coordination.scheduling.JobView
import mountmast.coordination.scheduling.MachineIndex
import mountmast.coordination.scheduling.MachineKind
import mountmast.coordination.scheduling.MachineView
import mountmast.coordination.state.Assignment
import mountmast.coordination.state.ClusterState
import mountmast.coordination.state.Job
import mountmast.coordination.state.JobDependencies
import mountmast.coordination.state.Machine
import mountmast.coordination.state.Phase
import mountmast.protocol.Clock
import mountmast.protocol.MachineId
import mountmast.protocol.MachineType
import mountmast.protocol.MonotonicTime
import mountmast.protocol.TaskId
import mountmast.protocol.TeamId
import mountmast.protocol.TeamQuota
import mountmast.protocol.WallTime
import mountmast.protocol.Zone

/**
 * Creates a snapshot of the cluster state for each scheduling cycle, and reuses the views of machines that have not changed since
 * the cycle before. Guarded by the lock of its [ClusterState].
 */
internal class SnapshotCache(
    private val cluster: ClusterState,
    private val jobDependencies: JobDependencies,
    private val teams: Map<TeamId, TeamQuota>,
    private val timing: LeaseTiming,
    private val clock: Clock,
) {
    /** The view of a machine, and the machine and its change count from which it was created. */
    private class CachedView(val machine: Machine, val changeCount: Int, val view: MachineView) {
        /** The number of the last cycle that used the view. */
        var usedInCycle = 0L

        fun isCurrent(machine: Machine, type: MachineType) =
            this.machine === machine && changeCount == machine.changeCount && view.type === type && !view.isModifiedByPlan
    }

    private val cachedViews = LinkedHashMap<MachineId, CachedView>()
    private val machineIndex = MachineIndex()
    private var cycleNumber = 0L

    /** Returns the snapshot for the cycle at [now]; [assuranceByTeam] holds the smoothed degrees of assurance from the cycle before. */
    fun snapshot(now: MonotonicTime, assuranceByTeam: Map<TeamId, Double>): ClusterSnapshot {
        val machines = findOrCreateUsableViews(now)
        val jobs = ArrayList<JobView>(cluster.jobs.size)
        // A job with unmet prerequisites is not yet counted as demand, whatever its quota or deadline: none of its tasks may start.
        jobDependencies.refreshInheritedPriorities()
        for (job in cluster.jobs.values) if (!job.isCancelled && job.isReleased) jobs += createJobView(job, now)
        return ClusterSnapshot(
            machines,
            jobs,
            teams.keys.associateWith { cluster.assignments.usageOf(it) },
            teams,
            assuranceByTeam,
            machineIndex,
        )
    }

    /** Returns the views of all usable machines; only machines that changed since the cycle before are added to [machineIndex] anew. */
    private fun findOrCreateUsableViews(now: MonotonicTime): List<MachineView> {
        cycleNumber++
        val machines = ArrayList<MachineView>(cluster.machines.size)
        for (machine in cluster.machines.values) {
            // A worker whose heartbeats do not arrive loses its tasks when its lease expires, even if commands still reach it: no task
            // is placed on its machine.
            if (!machine.isUsable(now) || now - machine.lastHeartbeatAt > timing.silenceTimeoutMs) continue
            machines += findOrCreateView(machine) ?: continue
        }
        if (cachedViews.size > machines.size) removeUnusedViews()
        return machines
    }

    private fun findOrCreateView(machine: Machine): MachineView? {
        val type = cluster.machineTypes[machine.type] ?: return null
        val zone = machine.zone ?: return null
        var cached = cachedViews[machine.id]
        if (cached == null || !cached.isCurrent(machine, type)) {
            cached?.let { machineIndex.remove(it.view) }
            cached = CachedView(machine, machine.changeCount, createMachineView(machine, type, zone))
            cachedViews[machine.id] = cached
            machineIndex.add(cached.view)
        } else {
            cached.view.invalidateAssignedTasks()
        }
        cached.usedInCycle = cycleNumber
        return cached.view
    }

    private fun createMachineView(machine: Machine, type: MachineType, zone: Zone): MachineView {
        val images = HashSet(machine.images.keys)
        return MachineView(
            machine.id,
            MachineKind(type, zone, machine.spot),
            type.capacity - machine.usedResources,
            images,
            machine.reservedFor,
        ) {
            val now = clock.now()
            machine.unreleasedAssignments.values.map { createAssignedTask(it, now) }
        }
    }

    private fun removeUnusedViews() {
        val cachedViewIterator = cachedViews.values.iterator()
        while (cachedViewIterator.hasNext()) {
            val cached = cachedViewIterator.next()
            if (cached.usedInCycle == cycleNumber) continue
            machineIndex.remove(cached.view)
            cachedViewIterator.remove()
        }
    }

    /** Returns for how long the task of [assignment] will still run by estimate, in seconds; at least a tenth of the whole estimate. */
    fun remainingS(assignment: Assignment, now: MonotonicTime): Double {
        val estimate = cluster.estimates.estimateS(assignment.job)
        val elapsed = assignment.runningSince?.let { (now - it) / 1000.0 } ?: 0.0
        return maxOf(estimate - elapsed, estimate * MIN_REMAINING_FRACTION)
    }

    private fun createAssignedTask(assignment: Assignment, now: MonotonicTime): AssignedTask {
        val job = assignment.job
        return AssignedTask(
            TaskId(job.id, assignment.index),
            job.schedulingSpec,
            remainingS(assignment, now),
            job.preemptions.get(assignment.index),
            assignment.terminationGraceS != null || assignment.phase == Phase.ENDED,
        )
    }

    private fun createJobView(job: Job, now: MonotonicTime): JobView {
        val estimateS = cluster.estimates.estimateS(job)
        val livePerZone = if (!job.spec.singleZone && !job.spec.spreadAcrossZones) {
            emptyMap()
        } else {
            job.unreleasedAssignments.values.groupingBy { it.zone }.eachCount()
        }
        val tasks = JobTasks(job.placeableCount, job.spec.tasks - job.doneCount, job.unreleasedAssignments.size, livePerZone) { count ->
            job.firstOpen(count)
        }
        val jobTiming = JobTiming(job.waitingFrom, estimateS, secondsUntilDue(job) - estimateS, (now - job.lastProgressAt) / 1000.0)
        return JobView(job.schedulingSpec, tasks, jobTiming, job.failedMachines, job.isPoisoned, now >= job.notBefore)
    }

    private fun secondsUntilDue(job: Job): Double = secondsUntil(job.effectiveDue)

    /** Returns the seconds until [due], negative if it has passed, or [NO_DEADLINE_S] if it is null. */
    fun secondsUntil(due: WallTime?): Double = if (due == null) NO_DEADLINE_S else (due.ms - clock.wall().ms) / 1000.0

    private companion object {
        const val NO_DEADLINE_S = 1e6
        const val MIN_REMAINING_FRACTION = 0.1
    }
}
