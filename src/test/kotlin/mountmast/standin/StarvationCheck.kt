package mountmast.standin

import mountmast.protocol.JobSpec

/** Checks that no job of a [SimulatedCluster] keeps waiting while a suitable healthy machine has free capacity for a task of it. */
class StarvationCheck(private val cluster: SimulatedCluster) {
    private val invariants get() = cluster.invariants
    private var checkedAt = 0L

    /** Runs the check, at most once a second of virtual time. */
    fun step() {
        if (cluster.time.now - checkedAt < CHECK_INTERVAL_MS) return
        checkedAt = cluster.time.now
        val healthyWorkers = cluster.cloud.workers.filter {
            it.isAlive && !it.failsAllTasks && it.noticeEndsAt == null && it.faultFreeForMs > 0
        }
        for (id in cluster.unfinishedJobs()) {
            val isStarved = invariants.hasWaitingTasks(id) && healthyWorkers.any { hasCapacityFor(cluster.jobs.getValue(id), it) }
            invariants.checkStarvation(id, isStarved, cluster.time.now)
        }
    }

    private fun hasCapacityFor(spec: JobSpec, worker: SimulatedWorker): Boolean {
        if (!spec.perTask.fitsWithin(worker.freeCapacity())) return false
        if (spec.types?.contains(worker.type.id) == false || (worker.spot && !spec.spotAllowed)) return false
        if (spec.zone != null && spec.zone != worker.zone) return false
        val zones = invariants.runningTasksByZone(spec.id)
        if (spec.singleZone && zones.keys.any { it != worker.zone }) return false
        if (spec.spreadAcrossZones && (zones[worker.zone] ?: 0) >= spec.maxTasksPerZone) return false
        return cluster.teams.getValue(spec.team).limitAllows(invariants.resourcesUsedBy(spec.team) + spec.perTask)
    }

    private companion object {
        const val CHECK_INTERVAL_MS = 1000L
    }
}
