package mountmast.coordination.workers

import mountmast.protocol.MonotonicTime
import mountmast.standin.StandInWorker
import mountmast.standin.World
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import kotlin.concurrent.withLock

/** Every answer that renews a lease counts when the leader decides whether the lease is over. The rules are checked after each step. */
class LeaseRenewalTest {
    /** Reports wait at a busy node, so that answers to direct commands overtake them: those bear higher report numbers. */
    @Test
    fun `a worker whose reports are all overtaken by answers to commands keeps its lease in the leader's eyes too`() {
        for (seed in 1L..4L) {
            val world = World(seed, quietNetwork = true)
            world.run(6000, busy = false)
            val long = world.accept(world.plainJob(1) { it.copy(tasks = 1, estimateS = 120.0) })
            world.run(15_000, busy = false)
            assertEquals(1, world.rules.runningOf(long), "seed $seed")
            world.network.heartbeatsWaitMs = 1800
            repeat(80) {
                world.cloud.workers.filter { it.busy }.forEach { answerCommand(world, it) }
                world.run(250, busy = false)
            }
            assertEquals(1, world.rules.startsOf(long), "starts of the long task, seed $seed")
            assertEquals(1, world.rules.runningOf(long), "seed $seed")
        }
    }

    /** What a worker answers to a direct command: its report, with the next number. */
    private fun answerCommand(world: World, worker: StandInWorker) {
        val leader = world.seats.firstNotNullOf { it.controller?.leaderTerm() }
        val now = MonotonicTime(1_000_000 + world.time.now)
        leader.lock.withLock { leader.heartbeats.take(worker.heartbeat(), now, isHeartbeat = false) }
    }
}
