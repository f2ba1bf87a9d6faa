package mountmast.coordination.controller

import mountmast.coordination.election.VacancyWait
import mountmast.protocol.Settings
import mountmast.transport.AdmissionLimits
import mountmast.transport.BoundedServer
import mountmast.transport.ConnectionBudget
import mountmast.transport.MetricNames
import mountmast.transport.Metrics
import mountmast.transport.QueueMetrics
import mountmast.transport.RequestBulkhead
import mountmast.transport.peerRoutes
import mountmast.transport.publicRoutes
import org.agrona.ErrorHandler
import org.agrona.concurrent.Agent
import org.agrona.concurrent.AgentRunner
import org.agrona.concurrent.NoOpIdleStrategy
import org.http4k.server.asServer
import org.slf4j.LoggerFactory

private val log = LoggerFactory.getLogger("mountmast.node")

/** Runs a [Controller]: its servers, and a thread for each kind of step. */
class Node(
    private val settings: Settings,
    private val operators: OperatorSettings,
    private val controller: Controller,
    private val metrics: Metrics = Metrics(),
) {
    /** Starts the servers, then the threads; they run until the process ends. */
    fun start() {
        val connectionBudget = ConnectionBudget.of(settings.maxConnections)
        startServers(connectionBudget)
        startMembership()
        startLeaderWork(connectionBudget)
        log.info("{} serves on {}", settings.node, settings.serveOn)
    }

    private fun startServers(connectionBudget: ConnectionBudget) {
        // What users submit is shed first: their polls have a limit of their own, and both leave threads to the workers.
        val admission = AdmissionLimits(operators.admission.limit(), operators.admission.limit())
        // When all workers connect at once, after an election, users would wait behind hundreds of reports.
        val bulkheads = listOf(
            RequestBulkhead.forHeartbeats(heartbeatQueueMetrics()),
            RequestBulkhead.forOthers(USER_THREADS, connectionBudget.waiting, requestQueueMetrics()),
        )
        publicRoutes(controller.users, controller, admission, metrics)
            .asServer(BoundedServer(settings.serveOn, "serve", BoundedServer.PUBLIC_READERS, connectionBudget.accepted, bulkheads))
            .start()
        peerRoutes(controller.users, controller)
            .asServer(BoundedServer(settings.peerListen, "peer", PEER_THREADS, PEER_WAITING)).start()
    }

    private fun heartbeatQueueMetrics() =
        QueueMetrics(metrics.timing(MetricNames.HEARTBEAT_WAIT), metrics.counter(MetricNames.HEARTBEATS_REFUSED)) { size ->
            metrics.gauge(MetricNames.HEARTBEATS_WAITING, size)
        }

    private fun requestQueueMetrics() =
        QueueMetrics(metrics.timing(MetricNames.REQUEST_WAIT), metrics.counter(MetricNames.REQUESTS_REFUSED)) { size ->
            metrics.gauge(MetricNames.REQUESTS_WAITING, size)
        }

    /** Starts what every node does, whether it leads or not. */
    private fun startMembership() {
        loop("leadership") {
            controller.electionStep()
            if (controller.awaitVacancy(ELECTION_STEP_MS) == VacancyWait.WATCHED) ELECTION_GAP_MS else ELECTION_STEP_MS
        }
        var sleptAt = System.nanoTime()
        loop("pulse") {
            val now = System.nanoTime()
            controller.noteLag(maxOf(0, (now - sleptAt) / NANOS_PER_MS - PULSE_MS))
            sleptAt = now
            PULSE_MS
        }
        loop("loader") { if (controller.load()) 0 else IDLE_MS }
        loop("refresh") {
            controller.refresh()
            REFRESH_MS
        }
        loop("job-watch") { if (controller.watchJobs(WATCH_MS)) WATCH_GAP_MS else FAILED_MS }
        loop("load-report") {
            controller.loadReport.tell()
            LOAD_REPORT_MS
        }
        loop("greeter") {
            controller.exchangePeerHeartbeats()
            PEER_HEARTBEAT_MS
        }
    }

    /** Starts what only a leader does; these threads idle on any other node. */
    private fun startLeaderWork(connectionBudget: ConnectionBudget) {
        whileLeading("pass", ::runCycleAndWait)
        whileLeading("writer") { leaderTerm ->
            if (!controller.write()) leaderTerm.signals.awaitWritable(WRITE_IDLE_MS)
            WRITE_GAP_MS
        }
        whileLeading("follow") { if (controller.watch(WATCH_JOBS_MS)) WATCH_JOBS_GAP_MS else FAILED_MS }
        whileLeading("prerequisites") { if (controller.resolvePrerequisites()) 0 else PREREQUISITES_MS }
        whileLeading("fleet") {
            controller.autoscale()
            AUTOSCALING_MS
        }
        repeat(ANNOUNCER_THREADS) { number -> whileLeading("caller-$number") { if (controller.announceLeader()) 0 else ANNOUNCE_GAP_MS } }
        repeat(connectionBudget.deliveryThreads) { number ->
            whileLeading("poster-$number") { if (controller.deliverCommands(DELIVERY_WAIT_MS)) 0 else DELIVERY_GAP_MS }
        }
    }

    /** Runs a pass and waits until the next is due or asked for; returns how long to pause at least. */
    private fun runCycleAndWait(leaderTerm: LeaderTerm): Long {
        val began = System.nanoTime()
        controller.runSchedulingCycle()
        val tookMs = (System.nanoTime() - began) / NANOS_PER_MS
        leaderTerm.signals.awaitPlacement(operators.policy.cycleMs)
        // However large the ledger, passes leave most of the processor to the workers' reports.
        return maxOf(CYCLE_GAP_MS, tookMs * CYCLE_SHARE)
    }

    /** Repeats [step] while this node leads. */
    private fun whileLeading(name: String, step: (LeaderTerm) -> Long) = loop(name) { controller.leaderTerm()?.let(step) ?: IDLE_MS }

    /** Repeats [step] on a thread of its own, pausing as long as it says. */
    private fun loop(name: String, step: () -> Long) {
        val agent = object : Agent {
            override fun roleName() = name

            override fun doWork(): Int {
                val pause = step()
                if (pause > 0) Thread.sleep(pause)
                return 1
            }
        }
        // One bad answer or record must not end the work of a thread for good.
        val onError = ErrorHandler { error ->
            log.error("{} failed", name, error)
            Thread.sleep(FAILED_MS)
        }
        AgentRunner.startOnThread(AgentRunner(NoOpIdleStrategy.INSTANCE, onError, null, agent)) { task ->
            Thread(null, task, name, STACK_BYTES).apply { isDaemon = true }
        }
    }

    private companion object {
        const val USER_THREADS = 56
        const val PEER_THREADS = 4
        const val PEER_WAITING = 256
        const val ANNOUNCER_THREADS = 8
        const val ANNOUNCE_GAP_MS = 500L
        const val STACK_BYTES = 256L * 1024
        const val ELECTION_STEP_MS = 700L
        const val ELECTION_GAP_MS = 50L
        const val PULSE_MS = 100L
        const val PEER_HEARTBEAT_MS = 2000L
        const val LOAD_REPORT_MS = 10_000L
        const val REFRESH_MS = 1000L
        const val CYCLE_GAP_MS = 200L
        const val CYCLE_SHARE = 4
        const val NANOS_PER_MS = 1_000_000L
        const val WRITE_GAP_MS = 120L
        const val WRITE_IDLE_MS = 500L

        /** Short, since what is known of cancellations is as old as the call that waits for more. */
        const val WATCH_JOBS_MS = 2000L
        const val WATCH_JOBS_GAP_MS = 150L

        /** A node that does not lead has a small share of the requests, and nothing rests on how old its watch is. */
        const val WATCH_MS = 10_000L
        const val WATCH_GAP_MS = 250L
        const val AUTOSCALING_MS = 1000L
        const val PREREQUISITES_MS = 200L
        const val DELIVERY_WAIT_MS = 1000L
        const val DELIVERY_GAP_MS = 50L
        const val IDLE_MS = 250L
        const val FAILED_MS = 1000L
    }
}
