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

/** Serves until the process is ended. */
private fun serve(settings: Settings, operators: OperatorSettings) {
    start(settings, operators)
    CountDownLatch(1).await()
}

/**
 * Starts a node on its own threads.
 *
 * @throws java.io.IOException if one of its addresses cannot be bound.
 */
internal fun start(settings: Settings, operators: OperatorSettings) {
    // The JDK's client would otherwise send a request again by itself, and its server delay small answers.
    System.setProperty("sun.net.http.retryPost", "false")
    System.setProperty("sun.net.httpserver.nodelay", "true")
    // A request that never arrives whole must not hold one of the few threads that read; heartbeats may wait before their body is read.
    System.setProperty("sun.net.httpserver.maxReqTime", "10")
    val connectionBudget = ConnectionBudget.of(settings.maxConnections)
    System.setProperty("sun.net.httpserver.maxIdleConnections", connectionBudget.idle.toString())
    System.setProperty("sun.net.httpserver.idleInterval", "60")
    System.setProperty("jdk.httpserver.maxConnections", connectionBudget.accepted.toString())
    val metrics = Metrics()
    val run = SecureRandom().nextLong().toULong().toString(Character.MAX_RADIX)
    val store = HttpStateStore(settings.state, settings.stateLimits, settings.nodes, metrics = metrics)
    store.setRole(leader = false)
    val controller = Controller(
        settings,
        operators,
        ExternalSystems(store, HttpCloud(settings.cloud, settings.cloudRps), HttpWorkerClient(), HttpPeerClient()),
        SystemClock,
        run,
        metrics,
    )
    Node(settings, operators, controller, metrics).start()
}

private fun configureLogging(level: String?) {
    val known = setOf("error", "info", "debug")
    System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", level?.lowercase()?.takeIf { it in known } ?: "info")
    System.setProperty("org.slf4j.simpleLogger.showThreadName", "false")
    System.setProperty("org.slf4j.simpleLogger.showDateTime", "true")
    System.setProperty("org.slf4j.simpleLogger.dateTimeFormat", "HH:mm:ss.SSS")
}
