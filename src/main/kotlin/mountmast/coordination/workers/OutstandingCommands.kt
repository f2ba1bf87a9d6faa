package mountmast.coordination.workers

import mountmast.coordination.state.Assignment
import mountmast.coordination.state.Machine
import mountmast.coordination.state.Phase
import mountmast.coordination.state.UnassignedTask
import mountmast.protocol.CommandType
import mountmast.protocol.FencingToken
import mountmast.protocol.HeartbeatSequence
import mountmast.protocol.MonotonicTime
import mountmast.protocol.WorkerCommand

/**
 * Which commands are outstanding for a worker, and the fencing token under which they are sent. Guarded by the lock of the leader's
 * term: callers hold it.
 */
class OutstandingCommands(
    private val context: WorkerContext,
    /** Whether every cancellation up to a moment before the given time is known; the lock of the leader's term is held. */
    private val areCancellationsKnown: (MonotonicTime) -> Boolean,
) {
    private val leaderLease get() = context.leaderLease

    /** Returns the fencing token for commands to [machine] and responses to its heartbeats. */
    fun token(machine: Machine): FencingToken = leaderLease.token.advancedBy(machine.delivery.tokenOffset)

    /**
     * Raises the token of [machine] above those of unanswered commands that start tasks which are to be stopped by now. Such a command
     * may be executed minutes later, also when the job has long been cancelled; the worker rejects it under a higher token. Once the
     * worker shows that token, a task that its heartbeat does not list can start no more. Test: `CombinedFailuresTest`, "a start held up
     * until after its job was cancelled starts nothing once its worker has shown a higher token".
     */
    fun fenceOffStoppedTasks(machine: Machine) {
        for (assignment in machine.live.values) {
            val isStoppedUnseen = assignment.terminationGraceS != null && assignment.reportedState == null
            if (isStoppedUnseen) machine.delivery.fenceOffStart(assignment.taskName, assignment.attempt)
        }
    }

    /**
     * Updates [machine] for the token that its worker shows: starts that were sent under lower tokens can no longer be executed. Does
     * nothing if [shown] is a token of another term.
     */
    fun observeToken(machine: Machine, shown: FencingToken) {
        if (shown.term != leaderLease.token.term) return
        machine.delivery.observeTokenOffset((shown.number - leaderLease.token.number).toInt())
    }

    /**
     * Returns the commands for a response to the heartbeat [sequence] of [machine]: all that its worker has not shown to have executed.
     * Records in which heartbeat's response each start is sent.
     */
    fun forHeartbeat(machine: Machine, sequence: HeartbeatSequence): List<WorkerCommand> {
        val commands = ArrayList<WorkerCommand>()
        addForAssignments(commands, machine) { it.startDelivery.recordAnswer(sequence) }
        for (task in machine.unassignedTasks) {
            if (!task.hasExited) {
                commands += WorkerCommand(CommandType.STOP, task.taskName, task.attempt, 0.0)
            } else if (mayBeForgotten(task, machine)) {
                commands += WorkerCommand(CommandType.FORGET, task.taskName, task.attempt)
            }
        }
        return commands
    }

    /** Returns the starts and stops to deliver to [machine] directly, outside of heartbeat responses. */
    fun forDelivery(machine: Machine): List<WorkerCommand> = ArrayList<WorkerCommand>().also { addForAssignments(it, machine) {} }

    private inline fun addForAssignments(commands: MutableList<WorkerCommand>, machine: Machine, onStart: (Assignment) -> Unit) {
        // A job may have been cancelled since the jobs were last read, and nothing of it may start then.
        val mayStart = areCancellationsKnown(context.clock.now())
        for (assignment in machine.live.values) {
            if (assignment.phase != Phase.COMMITTED || assignment.incarnation != machine.incarnation) continue
            val graceS = assignment.terminationGraceS
            if (graceS != null) {
                commands += WorkerCommand(CommandType.STOP, assignment.taskName, assignment.attempt, graceS)
            } else if (assignment.reportedState == null && mayStart && isStartable(assignment)) {
                commands += WorkerCommand(CommandType.START, assignment.taskName, assignment.attempt)
                onStart(assignment)
            }
        }
    }

    /**
     * The one check before a start is sent: it is in the journal, and its job is not known to be cancelled. Whether the job's
     * prerequisites were met was decided before the journal was written, maybe by an earlier leader, which knew more of them than this
     * one does yet.
     */
    private fun isStartable(assignment: Assignment): Boolean {
        val isCancelled = assignment.job.isCancelled
        return context.invariants.check(assignment.isJournaled && !isCancelled) {
            "start of task=${assignment.taskName}: journalled=${assignment.isJournaled} cancelled=$isCancelled"
        }
    }

    /**
     * A start that arrives once more, even one that was executed and answered, runs an attempt again that the worker has forgotten:
     * beside the next attempt, or long after its job was cancelled. What completed would only complete again. Test: `RecoveryTest`, "an
     * attempt that was stopped is not forgotten, since its start may come once more".
     */
    private fun mayBeForgotten(task: UnassignedTask, machine: Machine) =
        (task.isCompleted || machine.unassignedTasks.size > MAX_REMEMBERED_ATTEMPTS) &&
            !machine.delivery.hasUnansweredStart(task.taskName, task.attempt)

    private companion object {
        /** Attempts that a worker need not forget within an incarnation; heartbeats must not grow without end. */
        const val MAX_REMEMBERED_ATTEMPTS = 64
    }
}
