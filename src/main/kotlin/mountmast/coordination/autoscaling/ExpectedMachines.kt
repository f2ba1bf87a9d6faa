package mountmast.coordination.autoscaling

import mountmast.coordination.state.Job
import mountmast.protocol.Resources

/**
 * The machines that are expected to be usable soon, with the free capacity that is not yet reserved for unplaced tasks. Machines of one
 * offering with the same free capacity are counted rather than listed, as thousands may boot at a time. Not thread-safe.
 */
internal class ExpectedMachines {
    private data class Key(val offering: MachineOffering, val freeCapacity: Resources)

    private val counts = LinkedHashMap<Key, Int>()

    /** Adds a machine of [offering] with [freeCapacity]. */
    fun add(offering: MachineOffering, freeCapacity: Resources) = add(Key(offering, freeCapacity.rounded()), 1)

    private fun add(key: Key, count: Int) {
        if (count > 0) counts.merge(key, count, Int::plus)
    }

    /** Reserves capacity for up to [maxTasks] tasks of [job] on any of the machines, within [zones]; returns for how many tasks. */
    fun reserve(job: Job, maxTasks: Int, zones: ZoneBudget): Int {
        var reserved = 0
        for (key in counts.keys.toList()) {
            if (reserved >= maxTasks) break
            reserved += reserveOn(key, job, maxTasks - reserved, zones)
        }
        return reserved
    }

    /**
     * Reserves capacity for up to [maxTasks] tasks of [job] on the machines of [offering] that have exactly [freeCapacity], within [zones];
     * returns for how many tasks.
     */
    fun reserveOn(offering: MachineOffering, freeCapacity: Resources, job: Job, maxTasks: Int, zones: ZoneBudget): Int =
        reserveOn(Key(offering, freeCapacity.rounded()), job, maxTasks, zones)

    private fun reserveOn(key: Key, job: Job, maxTasks: Int, zones: ZoneBudget): Int {
        val count = counts[key] ?: return 0
        val allowed = if (key.offering.isAllowedFor(job.spec)) minOf(maxTasks, zones.remaining(key.offering.zone)) else 0
        val perMachine = if (allowed > 0) job.perTask.instancesWithin(key.freeCapacity, allowed) else 0
        if (perMachine == 0) return 0
        val filledMachines = minOf(count, allowed / perMachine)
        // The tasks that do not fill a whole machine go to one more machine, if there is one.
        val tasksOnLast = if (filledMachines < count) allowed - filledMachines * perMachine else 0
        counts.remove(key)
        add(key, count - filledMachines - (if (tasksOnLast > 0) 1 else 0))
        add(key.withTasks(job, perMachine), filledMachines)
        if (tasksOnLast > 0) add(key.withTasks(job, tasksOnLast), 1)
        val reserved = filledMachines * perMachine + tasksOnLast
        zones.consume(key.offering.zone, reserved)
        return reserved
    }

    private fun Key.withTasks(job: Job, tasks: Int) = Key(offering, (freeCapacity - job.perTask * tasks).rounded())
}
