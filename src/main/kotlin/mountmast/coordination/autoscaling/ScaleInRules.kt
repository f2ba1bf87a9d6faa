package mountmast.coordination.autoscaling

import mountmast.coordination.election.LeaseTiming
import mountmast.coordination.state.Machine
import mountmast.coordination.state.MachineState
import mountmast.protocol.MachineType
import mountmast.protocol.MonotonicTime

/** Why a machine is scaled in, with the word that the log gives. */
internal enum class ScaleInReason(val text: String) {
    LISTED_AS_FAILED("failed"),
    LEASE_EXPIRED("lease-expired"),
    QUARANTINED("quarantined"),
    UNREACHABLE("unreachable"),
    BOOT_TIMEOUT("boot-timeout"),
    RECLAIMED("reclaimed"),
    IDLE("idle"),
}

/**
 * Decides which machines are scaled in: those that are idle, dead, quarantined or unreachable.
 * Guarded by the lock of [AutoscalingContext].
 */
internal class ScaleInRules(
    private val context: AutoscalingContext,
    private val policy: AutoscalingPolicy,
    private val timing: LeaseTiming,
) {
    /** Returns the reason to give for scaling in [machine]. */
    fun reason(machine: Machine): ScaleInReason = when {
        machine.isListedFailed -> ScaleInReason.LISTED_AS_FAILED
        machine.state == MachineState.EXPIRED -> ScaleInReason.LEASE_EXPIRED
        machine.isQuarantined -> ScaleInReason.QUARANTINED
        machine.unreachableSince != null -> ScaleInReason.UNREACHABLE
        machine.state == MachineState.BOOTING -> ScaleInReason.BOOT_TIMEOUT
        machine.isReclaimNoticed -> ScaleInReason.RECLAIMED
        else -> ScaleInReason.IDLE
    }

    /** Whether [machine] is to be scaled in at [now]; false as long as its type is not known. */
    fun shouldScaleIn(machine: Machine, now: MonotonicTime): Boolean {
        val type = context.cluster.types[machine.type] ?: return false
        return machine.isListedFailed ||
            when (machine.state) {
                // A machine that hung or was cut off comes back with its images, sooner than another one boots; one that is
                // dead is listed as failed soon, and costs nothing.
                MachineState.EXPIRED -> now - machine.expiredAt > timing.leaseExpiryMs
                MachineState.SILENT -> false
                MachineState.BOOTING -> hasBootTimedOut(machine, type, now)
                MachineState.UP -> isUnreachableForGood(machine, now) || (machine.live.isEmpty() && isUnneeded(machine, type, now))
            }
    }

    private fun hasBootTimedOut(machine: Machine, type: MachineType, now: MonotonicTime): Boolean {
        val bootMs = (type.bootS * MS_PER_S).toLong()
        val bootingSince = maxOf(machine.rentedAt, machine.knownAt + -bootMs)
        return now - bootingSince > BOOT_TIMEOUT_FACTOR * bootMs + BOOT_TIMEOUT_MARGIN_MS
    }

    /** Its tasks are free once it is deleted; but if most workers are unreachable, the fault is not the machines'. */
    private fun isUnreachableForGood(machine: Machine, now: MonotonicTime): Boolean {
        val since = machine.unreachableSince ?: return false
        return now - since > context.unreachableTimeoutMs && !context.areMostUnreached()
    }

    private fun isUnneeded(machine: Machine, type: MachineType, now: MonotonicTime): Boolean {
        if (machine.isQuarantined || machine.isReclaimNoticed) return true
        return machine.reservedFor == null &&
            now - machine.idleSince > idleTimeoutMs(machine, type) &&
            now - machine.rentedAt > MIN_BILLED_MS
    }

    /** Machines that boot slowly are kept longer, and those that cost more than need be shorter. */
    private fun idleTimeoutMs(machine: Machine, type: MachineType): Long {
        val timeoutMs = maxOf(policy.idleTimeoutMs, (2 * type.bootS * MS_PER_S).toLong())
        return if (machine.spot) timeoutMs else (timeoutMs * minOf(1.0, type.spotPrice / type.price)).toLong()
    }

    private companion object {
        const val MS_PER_S = 1000

        /** Some machines take several times the stated time to boot; those that exceed this are given up. */
        const val BOOT_TIMEOUT_FACTOR = 4
        const val BOOT_TIMEOUT_MARGIN_MS = 15_000L

        /** A machine is billed for at least a minute, so scaling it in sooner saves nothing. */
        const val MIN_BILLED_MS = 55_000L
    }
}
