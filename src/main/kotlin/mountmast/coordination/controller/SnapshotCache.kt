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
 * Makes a snapshot of the cluster state for each scheduling cycle, and keeps the views of machines that do not change between
 * two. A job with unmet dependencies is left out: it is no demand yet. Guarded by the lock of its [ClusterState].
 */
internal class SnapshotCache(
    private val cluster: ClusterState,
    private val dependencies: JobDependencies,
    private val teams: Map<TeamId, TeamQuota>,
    private val timing: LeaseTiming,
    private val clock: Clock,
) {
    /** A machine's view, and what it was made from. */
    private class CachedView(val machine: Machine, val changes: Int, val view: MachineView) {
        /** The cycle that used it last. */
        var usedInCycle = 0L

        fun isCurrent(machine: Machine, type: MachineType) =
            this.machine === machine && changes == machine.changeCount && view.type === type && !view.isModifiedByPlan
    }

    private val cachedViews = LinkedHashMap<MachineId, CachedView>()
    private val index = MachineIndex()
    private var cycles = 0L

    /** Returns what the cycle at [now] decides on; [assurance] holds the smoothed degrees of the cycle before. */
    fun snapshot(now: MonotonicTime, assurance: Map<TeamId, Double>): ClusterSnapshot {
        val machines = usableMachines(now)
        val jobs = ArrayList<JobView>(cluster.jobs.size)
        // What waits for other jobs is no demand yet, whatever it has been promised.
        dependencies.refreshInheritedPriorities()
        for (job in cluster.jobs.values) if (!job.isCancelled && job.isReleased) jobs += view(job, now)
        return ClusterSnapshot(machines, jobs, teams.keys.associateWith { cluster.assignments.usageOf(it) }, teams, assurance, index)
    }

    /** Looks at each machine once; only those that changed since the cycle before are grouped anew. */
    private fun usableMachines(now: MonotonicTime): List<MachineView> {
        cycles++
        val machines = ArrayList<MachineView>(cluster.machines.size)
        for (machine in cluster.machines.values) {
            // Whoever reaches no controller loses its tasks with its lease, although direct commands may still reach it.
            if (!machine.isUsable(now) || now - machine.lastHeartbeatAt > timing.silenceTimeoutMs) continue
            machines += currentView(machine) ?: continue
        }
        if (cachedViews.size > machines.size) dropUnused()
        return machines
    }

    private fun currentView(machine: Machine): MachineView? {
        val type = cluster.types[machine.type] ?: return null
        val zone = machine.zone ?: return null
        var cached = cachedViews[machine.id]
        if (cached == null || !cached.isCurrent(machine, type)) {
            cached?.let { index.remove(it.view) }
            cached = CachedView(machine, machine.changeCount, view(machine, type, zone))
            cachedViews[machine.id] = cached
            index.add(cached.view)
        } else {
            cached.view.invalidateAssignedTasks()
        }
        cached.usedInCycle = cycles
        return cached.view
    }

    private fun view(machine: Machine, type: MachineType, zone: Zone): MachineView {
        val images = HashSet(machine.images.keys)
        return MachineView(machine.id, MachineKind(type, zone, machine.spot), type.capacity - machine.used, images, machine.reservedFor) {
            val now = clock.now()
            machine.live.values.map { resident(it, now) }
        }
    }

    private fun dropUnused() {
        val views = cachedViews.values.iterator()
        while (views.hasNext()) {
            val cached = views.next()
            if (cached.usedInCycle == cycles) continue
            index.remove(cached.view)
            views.remove()
        }
    }

    /** How long a task will still run according to its estimate, in seconds. */
    fun remainingS(assignment: Assignment, now: MonotonicTime): Double {
        val estimate = cluster.estimates.estimateS(assignment.job)
        val elapsed = assignment.runningSince?.let { (now - it) / 1000.0 } ?: 0.0
        return maxOf(estimate - elapsed, estimate * MIN_REMAINING)
    }

    private fun resident(assignment: Assignment, now: MonotonicTime): AssignedTask {
        val job = assignment.job
        return AssignedTask(
            TaskId(job.id, assignment.index),
            job.schedulingSpec,
            remainingS(assignment, now),
            job.preemptions.get(assignment.index),
            assignment.terminationGraceS != null || assignment.phase == Phase.ENDED,
        )
    }

    private fun view(job: Job, now: MonotonicTime): JobView {
        val runS = cluster.estimates.estimateS(job)
        val perZone = if (!job.spec.singleZone && !job.spec.spreadAcrossZones) {
            emptyMap()
        } else {
            job.live.values.groupingBy { it.zone }.eachCount()
        }
        val tasks = JobTasks(job.openCount, job.spec.tasks - job.doneCount, job.live.size, perZone) { count -> job.firstOpen(count) }
        val jobTiming = JobTiming(job.waitingFrom, runS, untilDueS(job) - runS, (now - job.lastProgress) / 1000.0)
        return JobView(job.schedulingSpec, tasks, jobTiming, job.failedMachines, job.isPoisoned, now >= job.notBefore)
    }

    private fun untilDueS(job: Job): Double = untilS(job.effectiveDue)

    /** Seconds until [due], or a long time where there is none. */
    fun untilS(due: WallTime?): Double = if (due == null) NO_DEADLINE_S else (due.ms - clock.wall().ms) / 1000.0

    private companion object {
        const val NO_DEADLINE_S = 1e6
        const val MIN_REMAINING = 0.1
    }
}
