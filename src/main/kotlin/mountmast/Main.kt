package mountmast

import mountmast.coordination.controller.Controller
import mountmast.coordination.controller.ExternalSystems
import mountmast.coordination.controller.Node
import mountmast.coordination.controller.OperatorSettings
import mountmast.protocol.Settings
import mountmast.protocol.SystemClock
import mountmast.storage.HttpStateStore
import mountmast.transport.ConnectionBudget
import mountmast.transport.HttpCloud
import mountmast.transport.HttpPeerClient
import mountmast.transport.HttpWorkerClient
import mountmast.transport.Metrics
import mountmast.transport.configureJdkServer
import java.security.SecureRandom
import java.util.concurrent.CountDownLatch
import kotlin.system.exitProcess

fun main(args: Array<String>) {
    configureLogging(System.getenv("LOG_LEVEL"))
    if (args.singleOrNull() == WarmUp.COMMAND) {
        WarmUp.run()
        exitProcess(0)
    }
    exitProcess(CommandLineTool(::serve).run(args))
}

/** Runs a node; does not return, as the node serves until the process is terminated. */
private fun serve(settings: Settings, operatorSettings: OperatorSettings) {
    start(settings, operatorSettings)
    CountDownLatch(1).await()
}

/**
 * Starts a node and returns; the node serves on threads of its own.
 *
 * @throws java.io.IOException if one of the node's addresses cannot be bound.
 */
internal fun start(settings: Settings, operatorSettings: OperatorSettings) {
    // By default the JDK's HTTP client sends a failed POST again by itself.
    System.setProperty("sun.net.http.retryPost", "false")
    configureJdkServer(ConnectionBudget.of(settings.maxConnections))
    val metrics = Metrics()
    val runId = SecureRandom().nextLong().toULong().toString(Character.MAX_RADIX)
    val store = HttpStateStore(settings.state, settings.stateLimits, settings.nodeCount, metrics = metrics)
    store.setRole(leader = false)
    val controller = Controller(
        settings,
        operatorSettings,
        ExternalSystems(store, HttpCloud(settings.cloud, settings.cloudRps), HttpWorkerClient(), HttpPeerClient()),
        SystemClock,
        runId,
        metrics,
    )
    Node(settings, operatorSettings, controller, metrics).start()
}

private fun configureLogging(level: String?) {
    val knownLevels = setOf("error", "info", "debug")
    System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", level?.lowercase()?.takeIf { it in knownLevels } ?: "info")
    System.setProperty("org.slf4j.simpleLogger.showThreadName", "false")
    System.setProperty("org.slf4j.simpleLogger.showDateTime", "true")
    System.setProperty("org.slf4j.simpleLogger.dateTimeFormat", "HH:mm:ss.SSS")
}
