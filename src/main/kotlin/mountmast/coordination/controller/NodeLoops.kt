package mountmast.coordination.controller

import mountmast.coordination.controller.StepResult.DID_WORK
import java.util.concurrent.TimeUnit.MILLISECONDS
import java.util.concurrent.TimeUnit.NANOSECONDS

/** Creates the loops of a [Node]: each runs on a thread of its own, and repeats a step of [controller] with a pause after each run. */
internal class NodeLoops(
    private val controller: Controller,
    /** The longest wait for a request to run the next scheduling cycle, in milliseconds; after it, the cycle runs anyway. */
    private val cycleMs: Long,
    /** How many threads deliver commands. */
    private val deliveryThreads: Int,
) {
    private val leaderWork = controller.leaderWork

    /** Creates all loops, in the order in which their threads are to be started. Thread dumps and the log show the loops' names. */
    fun createAll(): List<StepLoop> = createNodeLoops() + createLeaderLoops()

    private fun createNodeLoops(): List<StepLoop> = listOf(
        createLoop("election", Pauses(afterWorkMs = 50, otherwiseMs = ELECTION_INTERVAL_MS)) {
            controller.electionStep()
            controller.awaitVacancy(ELECTION_INTERVAL_MS)
        },
        createWakeLagLoop(),
        createLoop("loader", Pauses(afterWorkMs = 0, otherwiseMs = IDLE_PAUSE_MS)) { leaderWork.load() },
        createPeriodicLoop("refresh", pauseMs = 1000) { controller.refreshSharedData() },
        createLoop("job-prefetch", Pauses(afterWorkMs = 250, otherwiseMs = FAILURE_PAUSE_MS)) { controller.prefetchJobs(PREFETCH_WAIT_MS) },
        createPeriodicLoop("load-monitor", pauseMs = 10_000) { controller.loadMonitor.logLoad() },
        createPeriodicLoop("peer-heartbeat", pauseMs = 2000) { controller.exchangePeerHeartbeats() },
    )

    /** Creates the loop that measures how late sleeps end. */
    private fun createWakeLagLoop(): StepLoop {
        var lastRunNs = System.nanoTime()
        return createPeriodicLoop("wake-lag", WAKE_LAG_INTERVAL_MS) {
            val nowNs = System.nanoTime()
            controller.recordWakeLag(maxOf(0, NANOSECONDS.toMillis(nowNs - lastRunNs) - WAKE_LAG_INTERVAL_MS))
            lastRunNs = nowNs
        }
    }

    /** Creates the loops whose threads idle while this node does not lead or has not loaded the cluster state. */
    private fun createLeaderLoops(): List<StepLoop> {
        val loops = arrayListOf(
            createLeaderLoop("scheduler", Pauses.NONE, ::runCycleAndWait),
            createLeaderLoop("committer", Pauses.always(ms = 120), ::commitOrWait),
            createLeaderLoop("job-informer", Pauses(afterWorkMs = 150, otherwiseMs = FAILURE_PAUSE_MS)) {
                leaderWork.watchJobs(WATCH_WAIT_MS)
            },
            createLeaderLoop("prerequisites", Pauses(afterWorkMs = 0, otherwiseMs = 200)) { leaderWork.resolvePrerequisites() },
            createLeaderLoop("autoscaler", Pauses.always(ms = 1000)) {
                leaderWork.autoscale()
                DID_WORK
            },
        )
        val announcerPauses = Pauses(afterWorkMs = 0, otherwiseMs = 500)
        repeat(ANNOUNCER_THREADS) { number ->
            loops += createLeaderLoop("announcer-$number", announcerPauses) { leaderWork.announceLeader() }
        }
        val deliveryPauses = Pauses(afterWorkMs = 0, otherwiseMs = 50)
        repeat(deliveryThreads) { number ->
            loops += createLeaderLoop("delivery-$number", deliveryPauses) { leaderWork.deliverCommands(DELIVERY_WAIT_MS) }
        }
        return loops
    }

    /** Runs a scheduling cycle, waits until the next cycle is requested or [cycleMs] have passed, then pauses. */
    private fun runCycleAndWait(leaderTerm: LeaderTerm): StepResult {
        val startedAtNs = System.nanoTime()
        leaderWork.runSchedulingCycle()
        val tookMs = NANOSECONDS.toMillis(System.nanoTime() - startedAtNs)
        leaderTerm.signals.awaitCycleRequest(cycleMs)
        // The pause grows with the cycle's duration, so that in a cluster of any size most processor time is left to the workers'
        // heartbeats.
        MILLISECONDS.sleep(maxOf(MIN_CYCLE_PAUSE_MS, tookMs * CYCLE_PAUSE_FACTOR))
        return DID_WORK
    }

    private fun commitOrWait(leaderTerm: LeaderTerm): StepResult {
        val result = leaderWork.commitPendingChanges()
        if (result != DID_WORK) leaderTerm.signals.awaitWriterWakeUp(COMMIT_WAIT_MS)
        return result
    }

    private fun createLoop(name: String, pauses: Pauses, step: () -> StepResult) = StepLoop(name) { pauses.after(step()) }

    private fun createPeriodicLoop(name: String, pauseMs: Long, step: () -> Unit) = StepLoop(name) {
        step()
        pauseMs
    }

    private fun createLeaderLoop(name: String, pauses: Pauses, step: (LeaderTerm) -> StepResult) =
        StepLoop(name) { controller.leaderTerm()?.let { pauses.after(step(it)) } ?: IDLE_PAUSE_MS }

    private companion object {
        const val IDLE_PAUSE_MS = 250L
        const val FAILURE_PAUSE_MS = 1000L
        const val ELECTION_INTERVAL_MS = 700L
        const val WAKE_LAG_INTERVAL_MS = 100L
        const val MIN_CYCLE_PAUSE_MS = 200L
        const val CYCLE_PAUSE_FACTOR = 4
        const val COMMIT_WAIT_MS = 500L
        const val ANNOUNCER_THREADS = 8
        const val DELIVERY_WAIT_MS = 1000L

        /** The longest wait of a watch of the jobs. Short, since cancellations are known only up to the start of the watch in progress. */
        const val WATCH_WAIT_MS = 2000L

        /**
         * The longest wait of a watch for job records to prefetch. Long, since a node that does not lead has a small share of the
         * store's request rate, and may prefetch records late.
         */
        const val PREFETCH_WAIT_MS = 10_000L
    }
}
