package mountmast.coordination.autoscaling

import mountmast.coordination.state.Job
import mountmast.protocol.JobSpec
import mountmast.protocol.Resources
import mountmast.protocol.Zone

/**
 * Machines that will be there soon, with the room that no waiting task has been promised yet. Machines of one kind with the
 * same room are counted rather than looked at one by one: thousands may boot at a time. Not thread-safe.
 */
class ExpectedMachines {
    private data class Key(val offering: MachineOffering, val room: Resources)

    private val counts = LinkedHashMap<Key, Int>()

    fun add(offering: MachineOffering, room: Resources) = add(Key(offering, room.rounded()), 1)

    private fun add(key: Key, count: Int) {
        if (count > 0) counts.merge(key, count, Int::plus)
    }

    /** Promises room to up to [most] tasks of [job] on any of the machines; returns to how many. */
    fun take(job: Job, most: Int, zones: ZoneShares): Int {
        var taken = 0
        for (key in counts.keys.toList()) {
            if (taken >= most) break
            taken += takeFrom(key, job, most - taken, zones)
        }
        return taken
    }

    /** The same on machines rented by [offering] that have [room] alone. */
    fun takeFrom(offering: MachineOffering, room: Resources, job: Job, most: Int, zones: ZoneShares): Int =
        takeFrom(Key(offering, room.rounded()), job, most, zones)

    private fun takeFrom(key: Key, job: Job, most: Int, zones: ZoneShares): Int {
        val count = counts[key] ?: return 0
        val allowed = minOf(most, zones.left(key.offering.zone))
        if (allowed <= 0 || !key.offering.isAllowedFor(job.spec)) return 0
        val perMachine = job.perTask.instancesWithin(key.room, allowed)
        if (perMachine == 0) return 0
        val filled = minOf(count, allowed / perMachine)
        // The last machine takes what is left over, if any machine is left for it.
        val onLast = if (filled < count) allowed - filled * perMachine else 0
        counts.remove(key)
        add(key, count - filled - (if (onLast > 0) 1 else 0))
        add(key.after(job, perMachine), filled)
        if (onLast > 0) add(key.after(job, onLast), 1)
        val taken = filled * perMachine + onLast
        zones.take(key.offering.zone, taken)
        return taken
    }

    private fun Key.after(job: Job, tasks: Int) = Key(offering, (room - job.perTask * tasks).rounded())
}

/**
 * How many more of a job's tasks each zone may take. A job that is bound to the zone of its first tasks once had machines
 * rented in the other, cheaper one, and waited beside them.
 */
class ZoneShares(private val spec: JobSpec) {
    private val taken = HashMap<Zone, Int>()

    /** How many more tasks [zone] may take. */
    fun left(zone: Zone): Int = when {
        spec.singleZone && taken.keys.any { it != zone } -> 0
        spec.spreadAcrossZones -> spec.maxTasksPerZone - (taken[zone] ?: 0)
        else -> Int.MAX_VALUE
    }

    /** [zone] takes [count] tasks. */
    fun take(zone: Zone, count: Int) {
        if (count > 0) taken.merge(zone, count, Int::plus)
    }

    companion object {
        /** The shares that the tasks of [job] leave which are on machines. */
        fun of(job: Job) = ZoneShares(job.spec).apply {
            if (job.spec.singleZone || job.spec.spreadAcrossZones) for (assignment in job.live.values) take(assignment.zone, 1)
        }
    }
}
