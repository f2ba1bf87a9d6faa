package mountmast.standin

import mountmast.protocol.Attempt
import mountmast.protocol.CommandType
import mountmast.protocol.ExitCause
import mountmast.protocol.FencingToken
import mountmast.protocol.Heartbeat
import mountmast.protocol.HeartbeatSequence
import mountmast.protocol.ImageId
import mountmast.protocol.JobId
import mountmast.protocol.JobSpec
import mountmast.protocol.MachineId
import mountmast.protocol.MachineType
import mountmast.protocol.ReportedTask
import mountmast.protocol.Resources
import mountmast.protocol.TaskId
import mountmast.protocol.TaskState
import mountmast.protocol.WorkerCommand
import mountmast.protocol.WorkerIncarnation
import mountmast.protocol.Zone

/** A simulated worker that follows PROTOCOL in virtual time, and reports the starts and ends of its tasks to [invariants]. */
class SimulatedWorker(
    val id: MachineId,
    val type: MachineType,
    val zone: Zone,
    val spot: Boolean,
    private val time: VirtualTime,
    private val invariants: InvariantChecker,
    private val leaseMs: Long,
    /** Returns the specification of a job, or null for an unknown job. */
    private val jobOf: (JobId) -> JobSpec?,
    /** Whether the tasks of a job fail on every machine. */
    private val isFailingJob: (JobId) -> Boolean,
    /** Called with its job when a task completes on this worker. */
    private val onDone: (JobId) -> Unit,
) {
    /** An attempt that the worker knows: from its start command until a `forget` command or the end of the lease. */
    private data class TaskAttempt(val task: TaskId, val attempt: Attempt)

    private class TaskExecution(val spec: JobSpec, var state: TaskState, var remainingMs: Long) {
        var cause: ExitCause? = null
        var isCheckpointStored = false
        val isRunning get() = state == TaskState.RUNNING || state == TaskState.SAVING
    }

    private val attempts = LinkedHashMap<TaskAttempt, TaskExecution>()
    private val images = HashSet<ImageId>()

    /** Tasks that completed on this worker; if started again, they exit as soon as their image has been fetched. */
    private val completedTasks = HashSet<TaskId>()
    private var incarnation = 1uL
    private var sequence = 0uL
    private var highestToken = FencingToken(0u)
    private var leaseRenewedAt = time.now

    /** When the worker last restarted without its memory, or -1; the connections from before ended with it. */
    private var restartedAt = -1L
    private var lastStepAt = time.now
    private val placement = TaskPlacement(id, type.id, zone, spot)
    var address = "$id:9000"
        private set

    /** Injected fault: every task on this worker fails as soon as it starts. */
    var failsAllTasks = false

    /** The factor by which tasks take longer on this worker. */
    var slowdownFactor = 1L

    /** Virtual time until which this worker and the controllers cannot reach each other. */
    var partitionedUntil = 0L

    /** Virtual time until which this worker does nothing, as if its machine hung. */
    var hangUntil = 0L

    /** How long, in milliseconds, direct commands are held up before they are carried out, without an answer. */
    var commandsHeldMs = 0L

    /** Virtual time until which direct commands are held up for [commandsHeldMs]. */
    var commandsHeldUntil = 0L

    /** Virtual time until which direct commands do not reach this worker, while its heartbeats and their answers get through. */
    var directCommandsCutUntil = 0L

    /** Virtual time until which heartbeats of this worker reach no controller, while direct commands reach the worker. */
    var outboundCutUntil = 0L

    /** Virtual time until which heartbeats of this worker arrive, but no answers or commands reach the worker. */
    var inboundCutUntil = 0L

    /** Virtual time at which the notice period of the cloud ends and the machine is reclaimed; null without a notice. */
    var noticeEndsAt: Long? = null
    var isAlive = true
    var nextHeartbeatAt = time.now

    /** Index of the node that gets the next heartbeat. */
    var targetNodeIndex = 0

    val hasRunningTasks get() = isAlive && attempts.values.any { it.isRunning }
    val isHanging get() = time.now < hangUntil
    val isPartitioned get() = time.now < partitionedUntil
    val isInboundCut get() = time.now < inboundCutUntil
    val isOutboundCut get() = time.now < outboundCutUntil

    /** Milliseconds since the last partition, hang or one-way connection loss of this worker ended; negative while one lasts. */
    val faultFreeForMs get() = time.now - maxOf(partitionedUntil, hangUntil, inboundCutUntil, outboundCutUntil)

    /** Returns the next heartbeat message. */
    fun heartbeat(): Heartbeat {
        sequence++
        return Heartbeat(
            id, address, type.id, zone, spot, WorkerIncarnation(incarnation), HeartbeatSequence(sequence), highestToken,
            noticeEndsAt?.let { (it - time.now) / 1000.0 },
            attempts.map { (key, execution) ->
                ReportedTask(key.task.toString(), key.attempt, execution.state, execution.cause, execution.isCheckpointStored)
            },
        )
    }

    /** Advances the tasks and the lease to the present virtual time. */
    fun step() {
        if (!isAlive) return
        val elapsedMs = time.now - lastStepAt
        lastStepAt = time.now
        // A machine that hangs for longer than its lease loses its tasks.
        if (time.now - leaseRenewedAt > leaseMs) loseLease()
        if (isHanging) return
        for ((key, execution) in attempts) {
            val task = key.task
            if (execution.state == TaskState.EXITED) continue
            execution.remainingMs -= elapsedMs
            if (execution.remainingMs > 0) continue
            when (execution.state) {
                TaskState.FETCHING -> {
                    images += execution.spec.image
                    run(task, execution)
                }
                TaskState.SAVING -> {
                    execution.isCheckpointStored = true
                    exit(task, execution, ExitCause.STOPPED)
                }
                else -> exit(task, execution, ExitCause.DONE)
            }
        }
    }

    private fun run(task: TaskId, execution: TaskExecution) {
        if (task in completedTasks) return exit(task, execution, ExitCause.DONE)
        execution.state = TaskState.RUNNING
        execution.remainingMs = ((execution.spec.estimateS * 1000).toLong() + 500) * slowdownFactor
        invariants.checkTaskStart(task, placement, time.now)
        if (failsAllTasks || isFailingJob(task.job)) exit(task, execution, ExitCause.FAILED)
    }

    private fun exit(task: TaskId, execution: TaskExecution, cause: ExitCause) {
        val wasRunning = execution.isRunning
        execution.state = TaskState.EXITED
        execution.cause = cause
        if (cause == ExitCause.DONE) completedTasks += task
        if (wasRunning) invariants.recordTaskEnd(task, id, cause == ExitCause.DONE)
        if (cause == ExitCause.DONE) onDone(task.job)
    }

    /** Ends all tasks and begins a new incarnation. */
    private fun loseLease() {
        endAllTasks()
        attempts.clear()
        incarnation++
        leaseRenewedAt = time.now
    }

    /** Reboots the machine, which takes no time; it loses its tasks, and has a new incarnation and a new address. */
    fun reboot() {
        loseLease()
        address = "$id:${9000 + incarnation.toInt()}"
    }

    /** Restarts the worker without its memory, which takes no time: it loses its tasks, and begins like the worker of a new machine. */
    fun restartWithoutMemory() {
        loseLease()
        incarnation = 1uL
        sequence = 0uL
        highestToken = FencingToken.NONE
        restartedAt = time.now
    }

    /** Whether this worker has accepted the token of any controller. */
    val hasSeenToken get() = highestToken > FencingToken.NONE

    private fun endAllTasks() {
        for ((key, execution) in attempts) if (execution.isRunning) invariants.recordTaskEnd(key.task, id, done = false)
    }

    /** Ends all tasks, as the machine was terminated. */
    fun terminate() {
        isAlive = false
        endAllTasks()
        attempts.clear()
    }

    /** Processes the answer to the heartbeat that was sent at [sentAt] in incarnation [ofIncarnation]. Ignores outdated answers. */
    fun onHeartbeatAnswer(token: FencingToken, commands: List<WorkerCommand>, sentAt: Long, ofIncarnation: WorkerIncarnation) {
        if (!isAlive || sentAt <= restartedAt) return
        if (ofIncarnation.number != incarnation || token < highestToken || time.now - sentAt > 4000) return
        highestToken = token
        leaseRenewedAt = sentAt
        commands.forEach(::execute)
    }

    /** Executes commands sent directly. Returns false if they are rejected for an old token or another incarnation. */
    fun execute(token: FencingToken, ofIncarnation: WorkerIncarnation, commands: List<WorkerCommand>): Boolean {
        if (token < highestToken || ofIncarnation.number != incarnation) return false
        highestToken = token
        commands.forEach(::execute)
        return true
    }

    private fun execute(command: WorkerCommand) {
        val task = TaskId.parse(command.task) ?: return
        val key = TaskAttempt(task, command.attempt)
        val known = attempts[key]
        when (command.type) {
            CommandType.START -> if (known == null) start(key)
            CommandType.STOP -> if (known != null) stop(task, known, command.terminationGraceS ?: 0.0)
            CommandType.FORGET -> if (known?.state == TaskState.EXITED) attempts -= key
        }
    }

    private fun start(key: TaskAttempt) {
        val task = key.task
        val spec = jobOf(task.job)
        val startError = when {
            spec == null || task.index >= spec.tasks -> ExitCause.UNKNOWN
            attempts.any { (other, execution) -> other.task == task && execution.state != TaskState.EXITED } -> ExitCause.BUSY
            !spec.perTask.fitsWithin(freeCapacity()) -> ExitCause.NO_ROOM
            else -> null
        }
        if (spec == null) return
        val fetchMs = if (spec.image in images) 0L else (spec.imageGb / type.fetchGbPerS * 1000).toLong()
        val execution = TaskExecution(spec, TaskState.FETCHING, fetchMs)
        attempts[key] = execution
        if (startError != null) {
            execution.state = TaskState.EXITED
            execution.cause = startError
        } else if (fetchMs == 0L) {
            run(task, execution)
        }
    }

    private fun stop(task: TaskId, execution: TaskExecution, terminationGraceS: Double) {
        if (execution.state == TaskState.EXITED) return
        val savesCheckpoint = execution.state == TaskState.RUNNING &&
            execution.spec.checkpointEveryS > 0 &&
            terminationGraceS >= execution.spec.checkpointSaveS
        when {
            savesCheckpoint -> {
                execution.state = TaskState.SAVING
                execution.remainingMs = (execution.spec.checkpointSaveS * 1000).toLong()
            }
            execution.state == TaskState.SAVING && terminationGraceS > 0 -> {}
            else -> exit(task, execution, ExitCause.STOPPED)
        }
    }

    /** Returns the capacity that no task on this worker takes. */
    fun freeCapacity(): Resources {
        var free = type.capacity
        for (execution in attempts.values) if (execution.state != TaskState.EXITED) free -= execution.spec.perTask
        return free
    }
}
