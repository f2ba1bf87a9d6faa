package mountmast.coordination.controller

import org.agrona.ErrorHandler
import org.agrona.concurrent.Agent
import org.agrona.concurrent.AgentRunner
import org.agrona.concurrent.NoOpIdleStrategy
import org.slf4j.LoggerFactory

private val log = LoggerFactory.getLogger("mountmast.node")

/** How long a loop pauses after a step, by what it came to; in milliseconds. */
internal class Pauses(private val afterWorkMs: Long, private val otherwiseMs: Long) {
    /** The pause after a step with [result], in milliseconds. */
    fun after(result: StepResult): Long = if (result == StepResult.DID_WORK) afterWorkMs else otherwiseMs

    companion object {
        /** For steps that wait by themselves. */
        val NONE = always(0)

        /** The same pause after each step. */
        fun always(ms: Long) = Pauses(ms, ms)
    }
}

/**
 * Repeats [step] on a daemon thread called [name] as long as the process runs, pausing as many milliseconds as it returns.
 * An exception is logged, and the step repeated a second later.
 */
internal class StepLoop(private val name: String, private val step: () -> Long) : Agent {
    override fun roleName() = name

    override fun doWork(): Int {
        val pauseMs = step()
        if (pauseMs > 0) Thread.sleep(pauseMs)
        return 1
    }

    /** Starts the thread. */
    fun start() {
        // One bad response or record must not end the work of a thread for good.
        val onError = ErrorHandler { error ->
            log.error("loop={} failed", name, error)
            Thread.sleep(PAUSE_AFTER_ERROR_MS)
        }
        AgentRunner.startOnThread(AgentRunner(NoOpIdleStrategy.INSTANCE, onError, null, this)) { task ->
            Thread(null, task, name, STACK_BYTES).apply { isDaemon = true }
        }
    }

    private companion object {
        const val STACK_BYTES = 256L * 1024
        const val PAUSE_AFTER_ERROR_MS = 1000L
    }
}
