package mountmast.coordination.autoscaling

import mountmast.coordination.election.LeaseTiming
import mountmast.coordination.state.Machine
import mountmast.coordination.state.MachineState
import mountmast.protocol.MachineType
import mountmast.protocol.MonotonicTime

/** The reason for which a machine is scaled in; [text] stands for the reason in the log. */
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
 * Decides which machines are scaled in: those that are idle, have failed, did not boot, are quarantined, are unreachable or will be
 * reclaimed. Guarded by the lock of [AutoscalingContext].
 */
internal class ScaleInRules(
    private val context: AutoscalingContext,
    private val policy: AutoscalingPolicy,
    private val timing: LeaseTiming,
) {
    /** Returns the reason to log for scaling in [machine]. If several apply, it is the first one in this order. */
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
        val type = context.cluster.machineTypes[machine.type] ?: return false
        return machine.isListedFailed ||
            when (machine.state) {
                // A machine is kept for one lease duration after its lease has expired. If it only hung or was partitioned, it comes
                // back with its images sooner than another machine boots. If it failed, keeping it costs nothing: the cloud soon lists
                // it as failed and does not bill it.
                MachineState.EXPIRED -> now - machine.expiredAt > timing.leaseExpiryMs
                MachineState.SILENT -> false
                MachineState.BOOTING -> hasBootTimedOut(machine, type, now)
                MachineState.UP -> isUnreachableTooLong(machine, now) ||
                    (machine.unreleasedAssignments.isEmpty() && isUnneeded(machine, type, now))
            }
    }

    private fun hasBootTimedOut(machine: Machine, type: MachineType, now: MonotonicTime): Boolean {
        val bootMs = (type.bootS * MS_PER_S).toLong()
        val bootingSince = maxOf(machine.rentedAt, machine.knownAt + -bootMs)
        return now - bootingSince > BOOT_TIMEOUT_FACTOR * bootMs + BOOT_TIMEOUT_MARGIN_MS
    }

    /**
     * Whether [machine] has been unreachable for too long. The deletion of the machine then releases its tasks. False while most
     * machines are unreachable, as the fault lies with this node then.
     */
    private fun isUnreachableTooLong(machine: Machine, now: MonotonicTime): Boolean {
        val since = machine.unreachableSince ?: return false
        return now - since > context.unreachableTimeoutMs && !context.areMostMachinesUnreachable()
    }

    private fun isUnneeded(machine: Machine, type: MachineType, now: MonotonicTime): Boolean {
        if (machine.isQuarantined || machine.isReclaimNoticed) return true
        return machine.reservedFor == null &&
            now - machine.idleSince > idleTimeoutMs(machine, type) &&
            now - machine.rentedAt > MIN_RENTAL_MS
    }

    /**
     * Returns for how long [machine] may be idle, in milliseconds: the policy's timeout, or twice the boot time of [type] if that is
     * longer. For an on-demand machine the time is shortened in the ratio of the spot price to its price.
     */
    private fun idleTimeoutMs(machine: Machine, type: MachineType): Long {
        val timeoutMs = maxOf(policy.idleTimeoutMs, (2 * type.bootS * MS_PER_S).toLong())
        return if (machine.spot) timeoutMs else (timeoutMs * minOf(1.0, type.spotPrice / type.price)).toLong()
    }

    private companion object {
        const val MS_PER_S = 1000

        /**
         * A machine is scaled in if it does not boot within this multiple of the boot time that the cloud states, plus
         * [BOOT_TIMEOUT_MARGIN_MS]; some machines take several times the stated time.
         */
        const val BOOT_TIMEOUT_FACTOR = 4
        const val BOOT_TIMEOUT_MARGIN_MS = 15_000L

        /** A machine rented less than this ago is not scaled in as idle: at least one minute is billed, so nothing would be saved. */
        const val MIN_RENTAL_MS = 55_000L
    }
}
