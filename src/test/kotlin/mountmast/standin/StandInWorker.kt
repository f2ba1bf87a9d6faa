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

/** A worker as PROTOCOL describes it, in virtual time. */
class StandInWorker(
    val id: MachineId,
    val type: MachineType,
    val zone: Zone,
    val spot: Boolean,
    private val time: VirtualTime,
    private val rules: Rules,
    private val leaseMs: Long,
    private val jobOf: (JobId) -> JobSpec?,
    private val poisoned: (JobId) -> Boolean,
    /** Called when a task completes here. */
    private val onDone: (JobId) -> Unit,
) {
    private class Running(val attempt: Attempt, val spec: JobSpec, var state: TaskState, var leftMs: Long) {
        var cause: ExitCause? = null
        var stored = false
        val onMachine get() = state == TaskState.RUNNING || state == TaskState.SAVING
    }

    private val tasks = LinkedHashMap<TaskId, Running>()
    private val images = HashSet<ImageId>()

    /** Tasks that completed here: started again, they exit as soon as they have their image. */
    private val results = HashSet<TaskId>()
    private var incarnation = 1uL
    private var sequence = 0uL
    private var helm = FencingToken(0u)
    private var answeredSentAt = time.now
    private var steppedAt = time.now
    private val place = Place(id, type.id, zone, spot)
    var address = "$id:9000"
        private set
    var sick = false

    /** How many times as long tasks take here. */
    var slowTimes = 1L
    var cutUntil = 0L
    var hangUntil = 0L

    /** Direct commands to it are held up for so long and then carried out, without an answer; and until when. */
    var commandsHeldMs = 0L
    var commandsHeldUntil = 0L

    /** Direct commands do not reach it, while its reports and their answers go on. */
    var calledByNobodyUntil = 0L

    /** It reaches no controller, while direct commands reach it. */
    var muteUntil = 0L

    /** Its reports arrive, but answers and commands do not reach it. */
    var deafUntil = 0L
    var noticeEndsAt: Long? = null
    var alive = true
    var nextHeartbeatAt = time.now
    var target = 0

    val busy get() = alive && tasks.values.any { it.onMachine }
    val hanging get() = time.now < hangUntil
    val cut get() = time.now < cutUntil
    val deaf get() = time.now < deafUntil
    val mute get() = time.now < muteUntil
    val wellFor get() = time.now - maxOf(cutUntil, hangUntil, deafUntil, muteUntil)

    fun heartbeat(): Heartbeat {
        sequence++
        return Heartbeat(
            id, address, type.id, zone, spot, WorkerIncarnation(incarnation), HeartbeatSequence(sequence), helm,
            noticeEndsAt?.let { (it - time.now) / 1000.0 },
            tasks.map { (task, it) -> ReportedTask(task.toString(), it.attempt, it.state, it.cause, it.stored) },
        )
    }

    /** Lets time pass for the tasks and the lease. */
    fun step() {
        if (!alive) return
        val passed = time.now - steppedAt
        steppedAt = time.now
        // A hanging machine resumes within its lease or not at all.
        if (time.now - answeredSentAt > leaseMs) expire()
        if (hanging) return
        for ((task, it) in tasks) {
            if (it.state == TaskState.EXITED) continue
            it.leftMs -= passed
            if (it.leftMs > 0) continue
            when (it.state) {
                TaskState.FETCHING -> {
                    images += it.spec.image
                    begin(task, it)
                }
                TaskState.SAVING -> {
                    it.stored = true
                    exit(task, it, ExitCause.STOPPED)
                }
                else -> exit(task, it, ExitCause.DONE)
            }
        }
    }

    private fun begin(task: TaskId, it: Running) {
        if (task in results) return exit(task, it, ExitCause.DONE)
        it.state = TaskState.RUNNING
        it.leftMs = ((it.spec.estimateS * 1000).toLong() + 500) * slowTimes
        rules.taskStarts(task, place, time.now)
        if (sick || poisoned(task.job)) exit(task, it, ExitCause.FAILED)
    }

    private fun exit(task: TaskId, it: Running, cause: ExitCause) {
        val was = it.onMachine
        it.state = TaskState.EXITED
        it.cause = cause
        if (cause == ExitCause.DONE) results += task
        if (was) rules.taskGone(task, id, cause == ExitCause.DONE)
        if (cause == ExitCause.DONE) onDone(task.job)
    }

    private fun expire() {
        vanish()
        tasks.clear()
        incarnation++
        answeredSentAt = time.now
    }

    /** The machine is back at once, without its tasks, in a new session and at a new address. */
    fun reboot() {
        expire()
        address = "$id:${9000 + incarnation.toInt()}"
    }

    private fun vanish() {
        for ((task, it) in tasks) if (it.onMachine) rules.taskGone(task, id, done = false)
    }

    /** The machine is gone. */
    fun die() {
        alive = false
        vanish()
        tasks.clear()
    }

    /** Takes the answer to a report that was sent at [sentAt] in [ofIncarnation]. */
    fun answered(token: FencingToken, commands: List<WorkerCommand>, sentAt: Long, ofIncarnation: WorkerIncarnation) {
        if (!alive || ofIncarnation.number != incarnation || token < helm || time.now - sentAt > 4000) return
        helm = token
        answeredSentAt = sentAt
        commands.forEach(::execute)
    }

    /** Commands sent directly; null where they were rejected. */
    fun execute(token: FencingToken, ofIncarnation: WorkerIncarnation, commands: List<WorkerCommand>): Boolean {
        if (token < helm || ofIncarnation.number != incarnation) return false
        helm = token
        commands.forEach(::execute)
        return true
    }

    private fun execute(command: WorkerCommand) {
        val task = TaskId.parse(command.task) ?: return
        val known = tasks[task]
        when (command.type) {
            CommandType.START -> if (known?.attempt != command.attempt) start(task, command.attempt, known)
            CommandType.STOP -> if (known != null && known.attempt == command.attempt) stop(task, known, command.terminationGraceS ?: 0.0)
            CommandType.FORGET -> if (known != null && known.attempt == command.attempt && known.state == TaskState.EXITED) tasks -= task
        }
    }

    private fun start(task: TaskId, attempt: Attempt, known: Running?) {
        val spec = jobOf(task.job)
        val errorBody = when {
            spec == null || task.index >= spec.tasks -> ExitCause.UNKNOWN
            known != null && known.state != TaskState.EXITED -> ExitCause.BUSY
            !spec.perTask.fitsWithin(room()) -> ExitCause.NO_ROOM
            else -> null
        }
        if (spec == null) return
        if (errorBody == ExitCause.BUSY) return
        val fetchMs = if (spec.image in images) 0L else (spec.imageGb / type.fetchGbPerS * 1000).toLong()
        val running = Running(attempt, spec, TaskState.FETCHING, fetchMs)
        tasks[task] = running
        if (errorBody != null) {
            running.state = TaskState.EXITED
            running.cause = errorBody
        } else if (fetchMs == 0L) {
            begin(task, running)
        }
    }

    private fun stop(task: TaskId, it: Running, terminationGraceS: Double) {
        if (it.state == TaskState.EXITED) return
        val saves = it.state == TaskState.RUNNING && it.spec.checkpointEveryS > 0 && terminationGraceS >= it.spec.checkpointSaveS
        when {
            saves -> {
                it.state = TaskState.SAVING
                it.leftMs = (it.spec.checkpointSaveS * 1000).toLong()
            }
            it.state == TaskState.SAVING && terminationGraceS > 0 -> {}
            else -> exit(task, it, ExitCause.STOPPED)
        }
    }

    fun room(): Resources {
        var room = type.capacity
        for (it in tasks.values) if (it.state != TaskState.EXITED) room -= it.spec.perTask
        return room
    }
}
