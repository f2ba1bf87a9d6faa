package mountmast.coordination.controller

import mountmast.coordination.controller.StepResult.DID_WORK
import java.util.concurrent.TimeUnit.MILLISECONDS
import java.util.concurrent.TimeUnit.NANOSECONDS

/** The threads of a [Node]: which step of its [controller] each repeats, and with which pauses. */
internal class NodeLoops(
    private val controller: Controller,
    /** The longest wait between two scheduling cycles, in milliseconds. */
    private val cycleMs: Long,
    /** How many threads deliver commands. */
    private val deliveryThreads: Int,
) {
    private val leaderWork = controller.leaderWork

    /** All loops, in the order in which their threads start. Operators see the names in thread dumps and in the log. */
    fun all(): List<StepLoop> = loopsOfEveryNode() + loopsOfLeader()

    private fun loopsOfEveryNode(): List<StepLoop> = listOf(
        repeating("election", Pauses(afterWorkMs = 50, otherwiseMs = ELECTION_STEP_MS)) {
            controller.electionStep()
            controller.awaitVacancy(ELECTION_STEP_MS)
        },
        wakeLagLoop(),
        repeating("loader", Pauses(afterWorkMs = 0, otherwiseMs = IDLE_MS)) { leaderWork.load() },
        every("refresh", pauseMs = 1000) { controller.refreshSharedData() },
        repeating("job-prefetch", Pauses(afterWorkMs = 250, otherwiseMs = FAILED_MS)) { controller.prefetchJobs(PREFETCH_WAIT_MS) },
        every("load-monitor", pauseMs = 10_000) { controller.loadMonitor.logLoad() },
        every("peer-heartbeat", pauseMs = 2000) { controller.exchangePeerHeartbeats() },
    )

    /** Measures how late a sleep ends. */
    private fun wakeLagLoop(): StepLoop {
        var sleptAt = System.nanoTime()
        return every("wake-lag", WAKE_LAG_STEP_MS) {
            val now = System.nanoTime()
            controller.recordWakeLag(maxOf(0, NANOSECONDS.toMillis(now - sleptAt) - WAKE_LAG_STEP_MS))
            sleptAt = now
        }
    }

    /** What only a leader does; these threads idle on any other node. */
    private fun loopsOfLeader(): List<StepLoop> {
        val loops = arrayListOf(
            whileLeading("scheduler", Pauses.NONE, ::runCycleAndWait),
            whileLeading("committer", Pauses.always(ms = 120), ::commitOrWait),
            whileLeading("job-informer", Pauses(afterWorkMs = 150, otherwiseMs = FAILED_MS)) { leaderWork.watchJobs(WATCH_WAIT_MS) },
            whileLeading("prerequisites", Pauses(afterWorkMs = 0, otherwiseMs = 200)) { leaderWork.resolvePrerequisites() },
            whileLeading("autoscaler", Pauses.always(ms = 1000)) {
                leaderWork.autoscale()
                DID_WORK
            },
        )
        val announcing = Pauses(afterWorkMs = 0, otherwiseMs = 500)
        repeat(ANNOUNCER_THREADS) { number -> loops += whileLeading("announcer-$number", announcing) { leaderWork.announceLeader() } }
        val delivering = Pauses(afterWorkMs = 0, otherwiseMs = 50)
        repeat(deliveryThreads) { number ->
            loops += whileLeading("delivery-$number", delivering) { leaderWork.deliverCommands(DELIVERY_WAIT_MS) }
        }
        return loops
    }

    /** Runs a scheduling cycle, then waits until the next is due or asked for, and for some time at least. */
    private fun runCycleAndWait(leaderTerm: LeaderTerm): StepResult {
        val began = System.nanoTime()
        leaderWork.runSchedulingCycle()
        val tookMs = NANOSECONDS.toMillis(System.nanoTime() - began)
        leaderTerm.signals.awaitCycleRequest(cycleMs)
        // However large the cluster, cycles leave most of the processor to the workers' heartbeats.
        MILLISECONDS.sleep(maxOf(CYCLE_GAP_MS, tookMs * CYCLE_SHARE))
        return DID_WORK
    }

    private fun commitOrWait(leaderTerm: LeaderTerm): StepResult {
        val result = leaderWork.commitPendingChanges()
        if (result != DID_WORK) leaderTerm.signals.awaitWritable(COMMIT_WAIT_MS)
        return result
    }

    private fun repeating(name: String, pauses: Pauses, step: () -> StepResult) = StepLoop(name) { pauses.after(step()) }

    private fun every(name: String, pauseMs: Long, step: () -> Unit) = StepLoop(name) {
        step()
        pauseMs
    }

    private fun whileLeading(name: String, pauses: Pauses, step: (LeaderTerm) -> StepResult) =
        StepLoop(name) { controller.leaderTerm()?.let { pauses.after(step(it)) } ?: IDLE_MS }

    private companion object {
        const val IDLE_MS = 250L
        const val FAILED_MS = 1000L
        const val ELECTION_STEP_MS = 700L
        const val WAKE_LAG_STEP_MS = 100L
        const val CYCLE_GAP_MS = 200L
        const val CYCLE_SHARE = 4
        const val COMMIT_WAIT_MS = 500L
        const val ANNOUNCER_THREADS = 8
        const val DELIVERY_WAIT_MS = 1000L

        /** Short, since what is known of cancellations is as old as the request that waits for more. */
        const val WATCH_WAIT_MS = 2000L

        /** A node that does not lead has a small share of the requests, and nothing rests on how old its watch is. */
        const val PREFETCH_WAIT_MS = 10_000L
    }
}
