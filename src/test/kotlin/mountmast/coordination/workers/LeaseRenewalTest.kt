package mountmast.coordination.workers

import mountmast.protocol.MonotonicTime
import mountmast.standin.StandInWorker
import mountmast.standin.World
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import kotlin.concurrent.withLock

/**
 * Every response that renews a lease counts when the leader decides whether the lease has expired (inc 4000-machines). The rules are
 * checked after each step.
 */
class LeaseRenewalTest {
    /** Heartbeats wait at a busy node, so that answers to command requests overtake them: those have higher sequence numbers. */
    @Test
    fun `a worker whose heartbeats are all overtaken by its answers to commands keeps its lease at the leader too`() {
        for (seed in 1L..4L) {
            val world = World(seed, quietNetwork = true)
            world.run(6000, busy = false)
            val long = world.accept(world.plainJob(1) { it.copy(tasks = 1, estimateS = 120.0) })
            world.run(15_000, busy = false)
            assertEquals(1, world.rules.runningOf(long), "seed $seed")
            world.network.heartbeatsWaitMs = 1800
            repeat(80) {
                world.cloud.workers.filter { it.busy }.forEach { deliverCommandResponse(world, it) }
                world.run(250, busy = false)
            }
            assertEquals(1, world.rules.startsOf(long), "starts of the long task, seed $seed")
            assertEquals(1, world.rules.runningOf(long), "seed $seed")
        }
    }

    /** Delivers what a worker answers to a command request: its heartbeat, with the next sequence number. */
    private fun deliverCommandResponse(world: World, worker: StandInWorker) {
        val leader = world.hosts.firstNotNullOf { it.controller?.leaderTerm() }
        val now = MonotonicTime(1_000_000 + world.time.now)
        leader.lock.withLock { leader.heartbeats.onCommandResponse(worker.heartbeat(), now) }
    }
}
