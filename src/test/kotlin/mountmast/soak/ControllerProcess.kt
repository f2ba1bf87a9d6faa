package mountmast.soak

import java.io.File
import java.util.concurrent.TimeUnit

/** A controller as `deploy/service.toml` starts it: a process of this machine, ended by its id and by nothing else. */
class ControllerProcess(private val settings: File, private val log: File) : AutoCloseable {
    private var process: Process? = null
    private var isClosed = false

    /** How often it ended by itself. */
    var ownEnds = 0
        private set

    val isRunning: Boolean get() = process?.isAlive == true

    /** Starts a new process, if none runs; faults that overlap may ask for that at the same moment. */
    @Synchronized
    fun start() {
        val before = process
        if (isClosed || before?.isAlive == true) return
        if (before != null) ownEnds++
        process = ProcessBuilder(command + settings.path).redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log)).start()
    }

    /** Ends the process at once. */
    @Synchronized
    fun kill() {
        val running = process ?: return
        process = null
        signal(running, "-CONT")
        running.destroyForcibly().waitFor(KILL_WAIT_S, TimeUnit.SECONDS)
    }

    /** The process stands still until [resume]. */
    fun pause() = process?.takeIf { it.isAlive }?.let { signal(it, "-STOP") }

    /** The process goes on. */
    fun resume() = process?.takeIf { it.isAlive }?.let { signal(it, "-CONT") }

    private fun signal(process: Process, signal: String) {
        ProcessBuilder("kill", signal, process.pid().toString()).start().waitFor(KILL_WAIT_S, TimeUnit.SECONDS)
    }

    /** Ends the process for good: a fault that is over later starts no other. */
    @Synchronized
    override fun close() {
        isClosed = true
        kill()
    }

    companion object {
        private const val KILL_WAIT_S = 10L
        private val command: List<String> = File("deploy/service.toml").readLines().first { it.startsWith("run") }
            .substringAfter('"').substringBeforeLast('"').split(' ')

        /** Whether the service was built. */
        val isBuilt: Boolean get() = File("target/mountmast.jar").isFile
    }
}
