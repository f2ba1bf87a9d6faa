package mountmast.coordination.controller

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
import org.http4k.server.asServer
import org.slf4j.LoggerFactory

private val log = LoggerFactory.getLogger("mountmast.node")

/** Runs a [Controller]: its HTTP servers, and the threads that repeat its steps (see [NodeLoops]). */
internal class Node(
    private val settings: Settings,
    private val operatorSettings: OperatorSettings,
    private val controller: Controller,
    private val metrics: Metrics = Metrics(),
) {
    /**
     * Starts the servers, then the threads. Both run until the process ends.
     *
     * @throws java.io.IOException if one of the addresses cannot be bound.
     */
    fun start() {
        val connectionBudget = ConnectionBudget.of(settings.maxConnections)
        startServers(connectionBudget)
        NodeLoops(controller, operatorSettings.scheduling.cycleMs, connectionBudget.deliveryThreadCount).createAll().forEach { it.start() }
        log.info("node={} is serving on {}", settings.node, settings.serveOn)
    }

    private fun startServers(connectionBudget: ConnectionBudget) {
        // Submissions and polls have a limit each, so that submissions are rejected before polls. Both limits leave threads to the
        // workers' requests.
        val admission = AdmissionLimits(operatorSettings.admission.createLimit(), operatorSettings.admission.createLimit())
        // After an election all workers connect at once: without a bulkhead for heartbeats, users would wait behind hundreds of them.
        val bulkheads = listOf(
            RequestBulkhead.forHeartbeats(heartbeatQueueMetrics()),
            RequestBulkhead.forOthers(USER_THREADS, connectionBudget.maxWaitingRequests, requestQueueMetrics()),
        )
        publicRoutes(controller.users, controller, admission, metrics)
            .asServer(
                BoundedServer(
                    settings.serveOn,
                    "serve",
                    BoundedServer.PUBLIC_READER_THREADS,
                    connectionBudget.maxInboundConnections,
                    bulkheads,
                ),
            )
            .start()
        peerRoutes(controller.users, controller)
            .asServer(BoundedServer(settings.peerListen, "peer", PEER_THREADS, MAX_PEER_REQUESTS_WAITING)).start()
    }

    private fun heartbeatQueueMetrics() =
        QueueMetrics(metrics.timing(MetricNames.HEARTBEAT_WAIT), metrics.counter(MetricNames.HEARTBEATS_REFUSED)) { size ->
            metrics.gauge(MetricNames.HEARTBEATS_WAITING, size)
        }

    private fun requestQueueMetrics() =
        QueueMetrics(metrics.timing(MetricNames.REQUEST_WAIT), metrics.counter(MetricNames.REQUESTS_REFUSED)) { size ->
            metrics.gauge(MetricNames.REQUESTS_WAITING, size)
        }

    private companion object {
        const val USER_THREADS = 56
        const val PEER_THREADS = 4
        const val MAX_PEER_REQUESTS_WAITING = 256
    }
}
