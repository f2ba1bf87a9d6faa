package mountmast

import mountmast.coordination.Controller
import mountmast.coordination.FleetPolicy
import mountmast.coordination.Node
import mountmast.coordination.Policy
import mountmast.protocol.BadSettings
import mountmast.protocol.Settings
import mountmast.protocol.SystemClock
import mountmast.storage.HttpStateStore
import mountmast.transport.HttpCloud
import mountmast.transport.HttpPeers
import mountmast.transport.HttpWorkers
import java.io.File
import java.security.SecureRandom
import java.util.concurrent.CountDownLatch
import kotlin.system.exitProcess

private const val USAGE_ERROR = 2

fun main(args: Array<String>) {
    configureLogging(System.getenv("LOG_LEVEL"))
    if (args.singleOrNull() == "warm-up") {
        WarmUp.run()
        exitProcess(0)
    }
    val settings = try {
        Settings.read(File(args.last()))
    } catch (e: BadSettings) {
        System.err.println("mountmast: ${e.message}")
        exitProcess(USAGE_ERROR)
    }
    start(settings)
    CountDownLatch(1).await()
}

internal fun start(settings: Settings) {
    // The JDK's client would otherwise send a request again by itself, and its server delay small answers.
    System.setProperty("sun.net.http.retryPost", "false")
    System.setProperty("sun.net.httpserver.nodelay", "true")
    System.setProperty("sun.net.httpserver.maxIdleConnections", (settings.maxConnections / 2).toString())
    System.setProperty("sun.net.httpserver.idleInterval", "60")
    val run = SecureRandom().nextLong().toULong().toString(36)
    val store = HttpStateStore(settings.state, settings.stateRps, settings.stateWriteRps, settings.nodes)
    store.shareAs(leader = false)
    val policy = Policy()
    val controller = Controller(
        settings, policy, FleetPolicy(), store, HttpCloud(settings.cloud, settings.cloudRps), HttpWorkers(), HttpPeers(),
        SystemClock, run,
    )
    Node(settings, policy, controller).start()
}

private fun configureLogging(level: String?) {
    val known = setOf("error", "info", "debug")
    System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", level?.lowercase()?.takeIf { it in known } ?: "info")
    System.setProperty("org.slf4j.simpleLogger.showThreadName", "false")
    System.setProperty("org.slf4j.simpleLogger.showDateTime", "true")
    System.setProperty("org.slf4j.simpleLogger.dateTimeFormat", "HH:mm:ss.SSS")
}
