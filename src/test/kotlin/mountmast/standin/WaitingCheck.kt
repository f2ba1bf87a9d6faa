package mountmast.standin

import mountmast.protocol.JobSpec

/** Checks that no job of a [World] is left waiting while a machine that fits it has room. */
class WaitingCheck(private val world: World) {
    private val rules get() = world.rules
    private var checkedAt = 0L

    /** Checks about once a second. */
    fun step() {
        if (world.time.now - checkedAt < EVERY_MS) return
        checkedAt = world.time.now
        val idle = world.cloud.workers.filter { it.alive && !it.sick && it.noticeEndsAt == null && it.wellFor > 0 }
        for (id in world.unfinished()) {
            val isBesideRoom = rules.waits(id) && idle.any { hasRoomFor(world.jobs.getValue(id), it) }
            rules.waitsBesideRoom(id, isBesideRoom, world.time.now)
        }
    }

    private fun hasRoomFor(spec: JobSpec, worker: StandInWorker): Boolean {
        // The team's use is added up over all that runs, so it is asked for last.
        if (!spec.perTask.fitsWithin(worker.room())) return false
        if (spec.types?.contains(worker.type.id) == false || (worker.spot && !spec.spotAllowed)) return false
        if (spec.zone != null && spec.zone != worker.zone) return false
        val zones = rules.zonesOf(spec.id)
        if (spec.singleZone && zones.keys.any { it != worker.zone }) return false
        if (spec.spreadAcrossZones && (zones[worker.zone] ?: 0) >= spec.maxTasksPerZone) return false
        return world.teams.getValue(spec.team).limitAllows(rules.useOf(spec.team) + spec.perTask)
    }

    private companion object {
        const val EVERY_MS = 1000L
    }
}
