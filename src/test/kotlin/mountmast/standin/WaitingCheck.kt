package mountmast.standin

import mountmast.protocol.JobSpec

/** Checks that no job of a [World] keeps waiting while a suitable healthy machine has free capacity for a task of it. */
class WaitingCheck(private val world: World) {
    private val rules get() = world.rules
    private var checkedAt = 0L

    /** Runs the check, at most once a second of virtual time. */
    fun step() {
        if (world.time.now - checkedAt < CHECK_INTERVAL_MS) return
        checkedAt = world.time.now
        val healthyWorkers = world.cloud.workers.filter { it.alive && !it.sick && it.noticeEndsAt == null && it.wellFor > 0 }
        for (id in world.unfinished()) {
            val isStarved = rules.waits(id) && healthyWorkers.any { hasCapacityFor(world.jobs.getValue(id), it) }
            rules.waitsBesideRoom(id, isStarved, world.time.now)
        }
    }

    private fun hasCapacityFor(spec: JobSpec, worker: StandInWorker): Boolean {
        if (!spec.perTask.fitsWithin(worker.room())) return false
        if (spec.types?.contains(worker.type.id) == false || (worker.spot && !spec.spotAllowed)) return false
        if (spec.zone != null && spec.zone != worker.zone) return false
        val zones = rules.zonesOf(spec.id)
        if (spec.singleZone && zones.keys.any { it != worker.zone }) return false
        if (spec.spreadAcrossZones && (zones[worker.zone] ?: 0) >= spec.maxTasksPerZone) return false
        return world.teams.getValue(spec.team).limitAllows(rules.useOf(spec.team) + spec.perTask)
    }

    private companion object {
        const val CHECK_INTERVAL_MS = 1000L
    }
}
