package mountmast.coordination.controller

import org.agrona.ErrorHandler
import org.agrona.concurrent.Agent
import org.agrona.concurrent.AgentRunner
import org.agrona.concurrent.NoOpIdleStrategy
import org.slf4j.LoggerFactory

private val log = LoggerFactory.getLogger("mountmast.node")

/** How long a loop pauses after a step, depending on the result of the step. */
internal class Pauses(private val afterWorkMs: Long, private val otherwiseMs: Long) {
    /** Returns the pause after a step with [result], in milliseconds. */
    fun after(result: StepResult): Long = if (result == StepResult.DID_WORK) afterWorkMs else otherwiseMs

    companion object {
        /** No pause, for steps that wait by themselves. */
        val NONE = always(0)

        /** Creates pauses of [ms] milliseconds, whatever the result. */
        fun always(ms: Long) = Pauses(ms, ms)
    }
}

/**
 * Repeats [step] on a daemon thread named [name] until the process ends, and pauses after each run for the number of milliseconds
 * that [step] returns. Whatever is thrown, an error included, is logged, and the step is run again a second later.
 */
internal class StepLoop(private val name: String, private val step: () -> Long) : Agent {
    override fun roleName() = name

    override fun doWork(): Int {
        val pauseMs = runStep()
        if (pauseMs > 0) Thread.sleep(pauseMs)
        return 1
    }

    /** Runs the step. Agrona's runner reports an error to its handler like an exception, but ends the loop after it. */
    @Suppress("TooGenericExceptionCaught") // Whatever error it is, the node cannot do without the loop.
    private fun runStep(): Long = try {
        step()
    } catch (e: Error) {
        throw StepFailedException(e)
    }

    private class StepFailedException(cause: Error) : RuntimeException(cause)

    /** Starts the thread. */
    fun start() {
        // One invalid response or record must not end the loop for good.
        val onError = ErrorHandler { error ->
            log.error("loop={} failed", name, error)
            Thread.sleep(ERROR_PAUSE_MS)
        }
        AgentRunner.startOnThread(AgentRunner(NoOpIdleStrategy.INSTANCE, onError, null, this)) { task ->
            Thread(null, task, name, STACK_SIZE_BYTES).apply { isDaemon = true }
        }
    }

    private companion object {
        const val STACK_SIZE_BYTES = 256L * 1024
        const val ERROR_PAUSE_MS = 1000L
    }
}
