package mountmast.soak

import java.io.File
import java.util.concurrent.TimeUnit

/** A controller process on this machine, started with the command of `deploy/service.toml`. It is signalled by its process id only. */
class ControllerProcess(private val settingsFile: File, private val logFile: File) : AutoCloseable {
    private var process: Process? = null
    private var isClosed = false

    /** How many exits without [kill] were found by [start]. */
    var unexpectedExits = 0
        private set

    val isRunning: Boolean get() = process?.isAlive == true

    /** Starts a new process unless one is running. Overlapping faults may call this at the same time. */
    @Synchronized
    fun start() {
        val previous = process
        if (isClosed || previous?.isAlive == true) return
        if (previous != null) unexpectedExits++
        process = ProcessBuilder(launchCommand + settingsFile.path).redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(logFile)).start()
    }

    /** Kills the process without a shutdown and waits for its exit. */
    @Synchronized
    fun kill() {
        val running = process ?: return
        process = null
        signal(running, "-CONT")
        running.destroyForcibly().waitFor(EXIT_TIMEOUT_S, TimeUnit.SECONDS)
    }

    /** Suspends the process (SIGSTOP) until [resume]. */
    fun pause() = process?.takeIf { it.isAlive }?.let { signal(it, "-STOP") }

    /** Resumes the suspended process (SIGCONT). */
    fun resume() = process?.takeIf { it.isAlive }?.let { signal(it, "-CONT") }

    private fun signal(process: Process, signal: String) {
        ProcessBuilder("kill", signal, process.pid().toString()).start().waitFor(EXIT_TIMEOUT_S, TimeUnit.SECONDS)
    }

    /** Kills the process and prevents later starts: a fault that ends after this call would restart the controller. */
    @Synchronized
    override fun close() {
        isClosed = true
        kill()
    }

    companion object {
        private const val EXIT_TIMEOUT_S = 10L
        private val launchCommand: List<String> = File("deploy/service.toml").readLines().first { it.startsWith("run") }
            .substringAfter('"').substringBeforeLast('"').split(' ')

        /** Whether the service's JAR file has been built. */
        val isJarBuilt: Boolean get() = File("target/mountmast.jar").isFile
    }
}
