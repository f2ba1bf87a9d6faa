package mountmast.coordination.workers

import mountmast.protocol.MonotonicTime
import mountmast.standin.SimulatedCluster
import mountmast.standin.SimulatedWorker
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import kotlin.concurrent.withLock

/**
 * The leader takes every response that renews a worker's lease into account when it decides whether the lease has expired
 * (docs/incidents/4000-machines.md). [SimulatedCluster] checks its rules after each step.
 */
class LeaseRenewalTest {
    /** Heartbeats queue at a busy node, so the workers' responses to command requests, with higher sequence numbers, overtake them. */
    @Test
    fun `a worker whose heartbeats are all overtaken by its answers to commands keeps its lease at the leader too`() {
        for (seed in 1L..4L) {
            val world = SimulatedCluster(seed, isNetworkReliable = true)
            world.run(6000, busy = false)
            val longJob = world.accept(world.plainJob(1) { it.copy(tasks = 1, estimateS = 120.0) })
            world.run(15_000, busy = false)
            assertEquals(1, world.invariants.runningTaskCountOf(longJob), "seed $seed")
            world.network.heartbeatQueueDelayMs = 1800
            repeat(80) {
                world.cloud.workers.filter { it.hasRunningTasks }.forEach { deliverCommandResponse(world, it) }
                world.run(250, busy = false)
            }
            assertEquals(1, world.invariants.startCountOf(longJob), "starts of the long task, seed $seed")
            assertEquals(1, world.invariants.runningTaskCountOf(longJob), "seed $seed")
        }
    }

    /** Delivers to the leader the response of [worker] to a command request: a heartbeat with the next sequence number. */
    private fun deliverCommandResponse(world: SimulatedCluster, worker: SimulatedWorker) {
        val leader = world.hosts.firstNotNullOf { it.controller?.leaderTerm() }
        val now = MonotonicTime(1_000_000 + world.time.now)
        leader.lock.withLock { leader.heartbeatHandler.onCommandResponse(worker.heartbeat(), now) }
    }
}
