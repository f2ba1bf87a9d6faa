package mountmast.coordination.autoscaling

import mountmast.coordination.state.Machine
import mountmast.protocol.Clock
import mountmast.protocol.MachineId
import mountmast.protocol.MonotonicTime
import mountmast.transport.Cloud
import mountmast.transport.CloudException
import org.slf4j.LoggerFactory
import kotlin.concurrent.withLock

private val log = LoggerFactory.getLogger("mountmast.fleet")

/**
 * Deletes the machines that [ScaleInRules] choose. The choice of a machine is final: the deletion is requested in each round until the
 * cloud confirms it. Called by one thread; acquires the lock of [AutoscalingContext], but never during a call to the cloud.
 */
internal class ScaleIn(
    private val context: AutoscalingContext,
    private val cloud: Cloud,
    private val clock: Clock,
    private val rules: ScaleInRules,
    private val history: OfferingHistory,
    /** The number of deletion calls to the cloud that a round may make at most. */
    private val callsPerRound: Int,
) {
    private val cluster get() = context.cluster

    /**
     * Deletes the machines that are to be scaled in as of [now]. Throws [CloudException] if a call fails; machines that were not deleted
     * stay chosen.
     */
    fun runRound(now: MonotonicTime) {
        val chosen = context.lock.withLock { chooseMachines(now) }
        for (batch in chosen.chunked(Cloud.MAX_PER_DELETION).take(callsPerRound)) {
            cloud.delete(batch)
            context.lock.withLock { recordDeleted(batch, now) }
        }
    }

    private fun recordDeleted(machines: List<MachineId>, now: MonotonicTime) {
        for (id in machines) cluster.markDeleted(id, clock.now())
        cluster.forgetTombstones(TOMBSTONE_MS, now)
        context.signals.wakeWriter()
    }

    /** Returns the machines to delete, including those that were chosen in earlier rounds and are not deleted yet. */
    private fun chooseMachines(now: MonotonicTime): List<MachineId> {
        val chosen = cluster.machines.values.filter {
            it.id !in cluster.tombstones && (it.isDeleting || rules.shouldScaleIn(it, now))
        }
        for (machine in chosen) if (!machine.isDeleting) beginDeletion(machine)
        return chosen.map { it.id }
    }

    private fun beginDeletion(machine: Machine) {
        log.info("scale in: machine={} type={} zone={} reason={}", machine.id, machine.type, machine.zone, rules.reason(machine).text)
        history.recordScaleIn(machine)
        machine.rental.beginDeletion()
    }

    private companion object {
        /** For how long the ids of deleted machines are kept, so that an outdated list does not add the machines again, in milliseconds. */
        const val TOMBSTONE_MS = 600_000L
    }
}
