package mountmast.coordination.workers

import mountmast.coordination.state.Assignment
import mountmast.coordination.state.Machine
import mountmast.coordination.state.Phase
import mountmast.coordination.state.UnassignedTask
import mountmast.protocol.CommandType
import mountmast.protocol.FencingToken
import mountmast.protocol.HeartbeatResponse
import mountmast.protocol.HeartbeatSequence
import mountmast.protocol.MonotonicTime
import mountmast.protocol.WorkerCommand
import org.slf4j.LoggerFactory

private val log = LoggerFactory.getLogger("mountmast.commands")

/**
 * Determines which commands are outstanding for a worker, and the fencing token under which they are sent. Guarded by the lock of the
 * leader's term: callers hold it.
 */
class OutstandingCommands(
    private val context: WorkerContext,
    /** Whether this leader knows every cancellation up to shortly before the given time. Called with the lock of the term held. */
    private val areCancellationsKnown: (MonotonicTime) -> Boolean,
) {
    private val leaderLease get() = context.leaderLease

    /** Returns the fencing token for commands to [machine] and responses to its heartbeats. */
    private fun tokenFor(machine: Machine): FencingToken = leaderLease.token.advancedBy(machine.delivery.tokenOffset)

    /**
     * Raises the token of [machine] above the tokens of unanswered start commands whose tasks are to be stopped by now. Such a command may
     * be executed minutes later, even if the job was cancelled long before, but a worker that has seen a higher token rejects it. Once the
     * worker shows the higher token, a task that its heartbeat does not list can no longer start. Test: `CombinedFailuresTest`, "a start
     * held up until after its job was cancelled starts nothing once its worker has shown a higher token".
     */
    private fun fenceOffStoppedTasks(machine: Machine) {
        for (assignment in machine.unreleasedAssignments.values) {
            val isStoppedUnreported = assignment.terminationGraceS != null && assignment.reportedState == null
            if (isStoppedUnreported) machine.delivery.fenceOffStart(assignment.taskName, assignment.attempt)
        }
    }

    /**
     * Records that the worker of [machine] has shown the token [shown]: starts sent directly under lower tokens can no longer be executed.
     * Does nothing if [shown] belongs to another term.
     */
    fun observeToken(machine: Machine, shown: FencingToken) {
        if (shown.term != leaderLease.token.term) return
        machine.delivery.observeTokenOffset((shown.number - leaderLease.token.number).toInt())
    }

    /**
     * Returns the response to the heartbeat [sequence] of [machine]: all commands that its worker has not shown to have executed, and a
     * token that renews its lease. Records for each start that the response to this heartbeat carries it.
     */
    fun createResponse(machine: Machine, sequence: HeartbeatSequence): HeartbeatResponse {
        val commands = ArrayList<WorkerCommand>()
        addAssignmentCommands(commands, machine) { it.startDelivery.recordAnswer(sequence) }
        addUnassignedTaskCommands(commands, machine)
        fenceOffStoppedTasks(machine)
        // Read last, since the token may be raised for the commands.
        return HeartbeatResponse(tokenFor(machine), commands)
    }

    /** Returns a response without commands to the worker of [machine], under a token above those of all starts. It renews the lease. */
    fun createFencingResponse(machine: Machine): HeartbeatResponse {
        machine.delivery.raiseToken()
        return HeartbeatResponse(tokenFor(machine), emptyList())
    }

    /**
     * Adds the commands that stop the unassigned tasks of [machine], and that make its worker forget those that have exited. A worker that
     * lists too many is made to forget all of them; the token of the same response is raised first, so that a worker which executes the
     * commands rejects every request that may start one of them again.
     */
    private fun addUnassignedTaskCommands(commands: MutableList<WorkerCommand>, machine: Machine) {
        val listsTooMany = machine.unassignedTasks.size > MAX_REMEMBERED_ATTEMPTS
        if (listsTooMany) machine.delivery.fenceOffAllStarts()
        var uncompletedCount = 0
        for (task in machine.unassignedTasks) {
            if (!task.hasExited) {
                commands += WorkerCommand(CommandType.STOP, task.taskName, task.attempt, 0.0)
            } else if ((task.isCompleted || listsTooMany) && mayBeForgotten(task, machine)) {
                commands += WorkerCommand(CommandType.FORGET, task.taskName, task.attempt)
                if (!task.isCompleted) uncompletedCount++
            }
        }
        if (uncompletedCount > 0) recordForgotten(machine, uncompletedCount)
    }

    private fun recordForgotten(machine: Machine, uncompletedCount: Int) {
        context.forgottenAttempts.recordUncompleted(uncompletedCount)
        val highestStartToken = machine.delivery.highestStartOffset?.let(leaderLease.token::advancedBy)
        log.info(
            "machine={} is told to forget {} attempts that did not complete, under token={}; starts were sent directly up to token={}",
            machine.id,
            uncompletedCount,
            tokenFor(machine),
            highestStartToken,
        )
    }

    /** Returns the start and stop commands to send directly to [machine], outside of heartbeat responses. */
    fun collectForDelivery(machine: Machine): List<WorkerCommand> =
        ArrayList<WorkerCommand>().also { addAssignmentCommands(it, machine) {} }

    private inline fun addAssignmentCommands(commands: MutableList<WorkerCommand>, machine: Machine, onStart: (Assignment) -> Unit) {
        // A job may have been cancelled since the jobs were last read, and no task of a cancelled job may start.
        val maySendStarts = areCancellationsKnown(context.clock.now())
        for (assignment in machine.unreleasedAssignments.values) {
            if (assignment.phase != Phase.COMMITTED || assignment.incarnation != machine.incarnation) continue
            val graceS = assignment.terminationGraceS
            if (graceS != null) {
                commands += WorkerCommand(CommandType.STOP, assignment.taskName, assignment.attempt, graceS)
            } else if (assignment.reportedState == null && maySendStarts && isStartable(assignment)) {
                commands += WorkerCommand(CommandType.START, assignment.taskName, assignment.attempt)
                onStart(assignment)
            }
        }
    }

    /**
     * Whether the start of [assignment] may be sent: the assignment is in the journal, and its job is not known to be cancelled. This is
     * the only check before a start is sent. Whether the job's prerequisites are met is not checked again: that was decided before the
     * assignment was journaled, possibly by an earlier leader that knew more of the prerequisites than this leader does yet.
     */
    private fun isStartable(assignment: Assignment): Boolean {
        val isCancelled = assignment.job.isCancelled
        return context.invariantChecker.check(assignment.isJournaled && !isCancelled) {
            "must not send the start of task=${assignment.taskName}: journalled=${assignment.isJournaled} cancelled=$isCancelled"
        }
    }

    /**
     * Whether the worker may be told to forget [task], which has exited. A duplicate of a start command, even of one that was executed and
     * answered, runs an attempt again that the worker has forgotten: concurrently with the next attempt, or long after the job was
     * cancelled. So an attempt that did not complete may be forgotten only once its start is fenced off; one that completed would only
     * complete again. This is the only check before a `forget` command is sent. Tests: `ForgottenAttemptsTest`; `RecoveryTest`, "an
     * attempt that was stopped is not forgotten, since its start may come once more".
     */
    private fun mayBeForgotten(task: UnassignedTask, machine: Machine): Boolean {
        if (machine.delivery.hasUnansweredStart(task.taskName, task.attempt)) return false
        return task.isCompleted ||
            context.invariantChecker.check(machine.delivery.areStartsFencedOff) {
                "must not have machine=${machine.id} forget task=${task.taskName} attempt=${task.attempt}: its start is not fenced off"
            }
    }

    private companion object {
        /** A worker that lists more unassigned attempts is made to forget uncompleted ones, too: its heartbeats must stay bounded. */
        const val MAX_REMEMBERED_ATTEMPTS = 64
    }
}
