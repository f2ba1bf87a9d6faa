package mountmast.coordination.autoscaling

import mountmast.coordination.election.LeaseTiming
import mountmast.coordination.state.Machine
import mountmast.coordination.state.MachineState
import mountmast.protocol.Clock
import mountmast.protocol.MachineId
import mountmast.protocol.MachineType
import mountmast.protocol.MonotonicTime
import mountmast.transport.Cloud
import org.slf4j.LoggerFactory
import kotlin.concurrent.withLock

private val log = LoggerFactory.getLogger("mountmast.fleet")

/**
 * Returns machines that are idle, dead, sick or out of reach. A machine chosen once is returned for certain: its deletion is
 * asked for again until it is answered. Called by one thread; takes the lock of [AutoscalingContext].
 */
class ScaleIn(
    private val context: AutoscalingContext,
    private val cloud: Cloud,
    private val clock: Clock,
    private val policy: AutoscalingPolicy,
    private val timing: LeaseTiming,
    private val history: OfferingHistory,
    /** Calls to the cloud that a round may make. */
    private val callsPerRound: Int,
) {
    private val cluster get() = context.cluster

    /** One round of returns, decided as of [now]. Throws `CloudException` where the cloud does not answer. */
    fun step(now: MonotonicTime) {
        val chosen = context.lock.withLock { choose(now) }
        for (part in chosen.chunked(Cloud.MAX_PER_DELETION).take(callsPerRound)) {
            cloud.delete(part)
            context.lock.withLock { deleted(part, now) }
        }
    }

    private fun deleted(machines: List<MachineId>, now: MonotonicTime) {
        for (id in machines) cluster.markDeleted(id, clock.now())
        val forgotten = cluster.tombstones.entries.takeWhile { now - it.value > TOMBSTONE_MS }.map { it.key }
        cluster.tombstones.keys.removeAll(forgotten.toSet())
        context.signals.wakeWriter()
    }

    private fun choose(now: MonotonicTime): List<MachineId> {
        val chosen = cluster.machines.values.filter { it.id !in cluster.tombstones && (it.deleting || shouldReturn(it, now)) }
        for (machine in chosen) {
            if (!machine.deleting) beginReturn(machine)
        }
        return chosen.map { it.id }
    }

    private fun beginReturn(machine: Machine) {
        log.info("machine {} ({}, {}) returned: {}", machine.id, machine.type, machine.zone, reason(machine))
        history.noteReturn(machine)
        machine.deleting = true
    }

    private fun reason(machine: Machine) = when {
        machine.listedFailed -> "failed"
        machine.state == MachineState.EXPIRED -> "silent"
        machine.quarantined -> "sick"
        machine.unreachedSince != null -> "hears nothing"
        machine.state == MachineState.BOOTING -> "never came up"
        machine.reclaimNoticed -> "to be taken"
        else -> "idle"
    }

    private fun shouldReturn(machine: Machine, now: MonotonicTime): Boolean {
        val type = cluster.types[machine.type] ?: return false
        return machine.listedFailed ||
            when (machine.state) {
                // A machine that hung or was cut off comes back with its images, sooner than another one boots; one that is
                // dead is listed as failed soon, and costs nothing.
                MachineState.EXPIRED -> now - machine.expiredAt > timing.leaseExpiryMs
                MachineState.SILENT -> false
                MachineState.BOOTING -> hasFailedToBoot(machine, type, now)
                MachineState.UP -> isUnreachedForGood(machine, now) || (machine.live.isEmpty() && isUnneeded(machine, type, now))
            }
    }

    private fun hasFailedToBoot(machine: Machine, type: MachineType, now: MonotonicTime): Boolean {
        val bootMs = (type.bootS * MS_PER_S).toLong()
        val bootingSince = maxOf(machine.rentedAt, machine.knownAt + -bootMs)
        return now - bootingSince > BOOT_LIMIT_FACTOR * bootMs + BOOT_LIMIT_MARGIN_MS
    }

    /** Its tasks are free once it is deleted; but where hardly any worker hears us, it is not the machines. */
    private fun isUnreachedForGood(machine: Machine, now: MonotonicTime): Boolean {
        val since = machine.unreachedSince ?: return false
        return now - since > context.unreachedPatienceMs && !context.areMostUnreached()
    }

    private fun isUnneeded(machine: Machine, type: MachineType, now: MonotonicTime): Boolean {
        if (machine.quarantined || machine.reclaimNoticed) return true
        return machine.reservedFor == null &&
            now - machine.idleSince > idleReturnMs(machine, type) &&
            now - machine.rentedAt > MIN_PAID_MS
    }

    /** What takes long to boot is kept longer, and what costs more than need be is not. */
    private fun idleReturnMs(machine: Machine, type: MachineType): Long {
        val keptMs = maxOf(policy.idleReturnMs, (2 * type.bootS * MS_PER_S).toLong())
        return if (machine.spot) keptMs else (keptMs * minOf(1.0, type.spotPrice / type.price)).toLong()
    }

    private companion object {
        const val MS_PER_S = 1000

        /** Some machines take several times as long to boot; what exceeds this is given up. */
        const val BOOT_LIMIT_FACTOR = 4
        const val BOOT_LIMIT_MARGIN_MS = 15_000L

        /** A machine costs at least a minute, so returning it sooner saves nothing. */
        const val MIN_PAID_MS = 55_000L

        /** For how long returned machines stay known by name. */
        const val TOMBSTONE_MS = 600_000L
    }
}
