package mountmast.coordination.workers

import mountmast.coordination.election.LeaderLease
import mountmast.coordination.election.LeaseTiming
import mountmast.coordination.state.Assignment
import mountmast.coordination.state.ClusterState
import mountmast.coordination.state.Invariants
import mountmast.coordination.state.Machine
import mountmast.coordination.state.MachineState
import mountmast.coordination.state.Phase
import mountmast.coordination.state.UnassignedTask
import mountmast.protocol.Clock
import mountmast.protocol.CommandRequest
import mountmast.protocol.CommandType
import mountmast.protocol.FencingToken
import mountmast.protocol.Heartbeat
import mountmast.protocol.HeartbeatSequence
import mountmast.protocol.MachineId
import mountmast.protocol.MonotonicTime
import mountmast.protocol.WorkerCommand
import mountmast.protocol.WorkerIncarnation
import mountmast.transport.CommandOutcome
import mountmast.transport.WorkerClient
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.Condition
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/** What workers are told to do, in answers to their reports and by direct commands. Guarded by [lock]. */
class CommandDispatcher(
    private val lock: ReentrantLock,
    private val cluster: ClusterState,
    private val leaderLease: LeaderLease,
    private val workers: WorkerClient,
    private val timing: LeaseTiming,
    private val clock: Clock,
    /** Whether the jobs are known up to a moment ago; the caller holds the lock. */
    private val isInformed: (MonotonicTime) -> Boolean,
    private val invariants: Invariants = Invariants(),
    /** Takes the report with which a worker answers a command; called with the lock held. */
    private val onHeartbeat: (Heartbeat, MonotonicTime) -> Unit,
) {
    private val deliveryQueue = LinkedHashSet<MachineId>()
    private val deliveryDue: Condition = lock.newCondition()

    /** Workers to be called away from a former leader: apart from the commands, which must not wait for silent hosts. */
    private val announcementQueue = LinkedHashSet<MachineId>()

    /** The token for [machine]. */
    fun token(machine: Machine) = leaderLease.token.advancedBy(machine.tokenOffset)

    /**
     * Commands without an answer may be executed minutes later, also when their job has long been cancelled. A higher token
     * makes the worker refuse them: once it shows that token, a task that it does not list can start no more.
     */
    fun fenceOffStoppedTasks(machine: Machine) {
        for (assignment in machine.live.values) {
            if (assignment.terminationGraceS == null || assignment.reported != null) continue
            machine.tokenOffset = maxOf(machine.tokenOffset, (machine.mayStillStart[assignment.key] ?: continue) + 1)
        }
    }

    /** Takes note of the token that a worker of this term shows. */
    fun observeToken(machine: Machine, shown: FencingToken) {
        if (shown.term != leaderLease.token.term) return
        val tokenOffset = (shown.number - leaderLease.token.number).toInt()
        machine.tokenOffset = maxOf(machine.tokenOffset, tokenOffset)
        machine.mayStillStart.values.removeIf { it < tokenOffset }
    }

    /** Every command that the worker has not shown to have executed; [inHeartbeat] names the report they answer. */
    fun outstanding(machine: Machine, inHeartbeat: HeartbeatSequence?): List<WorkerCommand> {
        val commands = ArrayList<WorkerCommand>()
        // A job may have been cancelled since the jobs were last read, and nothing of it may start then.
        val mayStart = isInformed(clock.now())
        for (assignment in machine.live.values) {
            if (assignment.phase != Phase.COMMITTED || assignment.incarnation != machine.incarnation) continue
            val grace = assignment.terminationGraceS
            if (grace == null && assignment.reported == null && mayStart && isStartable(assignment)) {
                commands += WorkerCommand(CommandType.START, assignment.taskName, assignment.attempt)
                if (inHeartbeat != null) assignment.startedInHeartbeat = inHeartbeat
            }
            if (grace != null) commands += WorkerCommand(CommandType.STOP, assignment.taskName, assignment.attempt, grace)
        }
        if (inHeartbeat != null) {
            for (unassignedTask in machine.unassignedTasks) {
                if (!unassignedTask.exited) {
                    commands += WorkerCommand(CommandType.STOP, unassignedTask.taskName, unassignedTask.attempt, 0.0)
                } else if (mayBeForgotten(unassignedTask, machine)) {
                    commands += WorkerCommand(CommandType.FORGET, unassignedTask.taskName, unassignedTask.attempt)
                }
            }
        }
        return commands
    }

    /**
     * The one place that lets a start out: it is in the journal, and its job is not known to be cancelled. Whether the job waited for
     * others was decided before the journal was written, maybe by a leader before, which knew more of them than this one does yet.
     */
    private fun isStartable(assignment: Assignment): Boolean {
        val isCancelled = assignment.job.cancelled
        return invariants.check(assignment.written && !isCancelled) {
            "start of ${assignment.taskName}: in the journal ${assignment.written}, cancelled $isCancelled"
        }
    }

    /**
     * A start that comes once more, even one that was carried out and answered, runs an attempt again that the worker has
     * forgotten: beside the next attempt, or long after its job was cancelled. What completed would only complete again.
     */
    private fun mayBeForgotten(unassignedTask: UnassignedTask, machine: Machine) = (unassignedTask.completed || machine.unassignedTasks.size > MAX_KEPT) &&
        unassignedTask.taskName to unassignedTask.attempt !in machine.mayStillStart

    /** Has the commands for a machine sent soon; the caller holds the lock. */
    fun queue(id: MachineId) {
        deliveryQueue += id
        deliveryDue.signal()
    }

    /** Waits for a machine with commands to send, sends them and reads the answer. */
    fun deliverNext(waitMs: Long): Boolean {
        val delivery = lock.withLock {
            if (deliveryQueue.isEmpty() && waitMs > 0) deliveryDue.await(waitMs, TimeUnit.MILLISECONDS)
            val now = clock.now()
            val id = deliveryQueue.firstOrNull { id ->
                cluster.machines[id].let { it == null || (!it.deliveryInFlight && now >= it.deliverNotBefore) }
            } ?: return false
            deliveryQueue -= id
            val machine = cluster.machines[id] ?: return true
            if (machine.state != MachineState.UP || machine.incarnation == null || machine.deleting) return true
            // A host behind a cut holds a poster until its deadline, and with a fifth of the fleet cut the commands to all
            // the others waited. Whoever is silent gets them in the answer to its next report.
            if (now - machine.heardAt > timing.quietMs) return true
            val commands = outstanding(machine, inHeartbeat = null)
            if (commands.isEmpty()) return true
            forStarts(machine, commands) { it.deliveriesInFlight++ }
            machine.deliveryInFlight = true
            Delivery(machine, checkNotNull(machine.incarnation), machine.tokenOffset, commands)
        }
        send(delivery)
        return true
    }

    /** Calls one worker that may still be with a former leader; false where none is to be called now. */
    fun announceNext(): Boolean {
        val delivery = lock.withLock {
            val id = announcementQueue.firstOrNull() ?: return false
            announcementQueue -= id
            val known = cluster.machines[id] ?: return true
            if (known.deliveryInFlight || !needsAnnouncement(known, clock.now())) return true
            known.deliveryInFlight = true
            known.announcedAt = clock.now()
            Delivery(known, known.incarnation ?: known.live.values.firstOrNull()?.incarnation ?: WorkerIncarnation(1u), known.tokenOffset, emptyList())
        }
        send(delivery)
        return true
    }

    /** Orders of one session: sent in any other, a start would run in a session that its assignment is not for. */
    private class Delivery(val machine: Machine, val incarnation: WorkerIncarnation, val tokenOffset: Int, val commands: List<WorkerCommand>)

    private fun send(delivery: Delivery) {
        val message = CommandRequest(leaderLease.token.advancedBy(delivery.tokenOffset), delivery.incarnation, delivery.commands)
        val outcome = workers.send(checkNotNull(delivery.machine.address), message)
        lock.withLock { onDelivered(delivery, outcome) }
    }

    /**
     * A worker that still reports to the leader before, which may be cut off from everybody else, learns of us only
     * from a command: our token in it, even without any order, makes it look for the new leader.
     */
    private fun needsAnnouncement(machine: Machine, now: MonotonicTime) = machine.address != null &&
        !machine.deleting &&
        !machine.hasShownCurrentTerm &&
        machine.state != MachineState.EXPIRED &&
        machine.state != MachineState.BOOTING &&
        now - machine.announcedAt > ANNOUNCE_AFTER_MS

    /** Has those workers called that have not shown our token although this node has led since [readyAt]. */
    fun announceToWorkers(readyAt: MonotonicTime, now: MonotonicTime) {
        if (now - readyAt !in ANNOUNCE_AFTER_MS..timing.formerLeaderMs + timing.leaseExpiryMs) return
        for (machine in cluster.machines.values) if (needsAnnouncement(machine, now)) announcementQueue += machine.id
    }

    private fun onDelivered(delivery: Delivery, outcome: CommandOutcome) {
        val now = clock.now()
        val machine = delivery.machine
        val commands = delivery.commands
        machine.deliveryInFlight = false
        forStarts(machine, commands) { it.deliveriesInFlight-- }
        when (outcome) {
            is CommandOutcome.Executed -> onHeartbeat(outcome.heartbeat, now)
            is CommandOutcome.Rejected -> onHeartbeat(outcome.heartbeat, now)
            CommandOutcome.NotSent -> machine.deliverNotBefore = now + DELIVERY_PAUSE_MS
            CommandOutcome.Unknown -> {
                machine.deliverNotBefore = now + DELIVERY_PAUSE_MS
                for (command in commands) if (command.type == CommandType.START) machine.mayStillStart[command.task to command.attempt] = delivery.tokenOffset
            }
        }
    }

    private inline fun forStarts(machine: Machine, commands: List<WorkerCommand>, act: (Assignment) -> Unit) {
        for (command in commands) {
            if (command.type != CommandType.START) continue
            machine.live[command.task]?.takeIf { it.attempt == command.attempt }?.let(act)
        }
    }

    private companion object {
        const val DELIVERY_PAUSE_MS = 2000L
        const val ANNOUNCE_AFTER_MS = 3000L

        /** Attempts that a worker need not forget within a session; reports must not grow without end. */
        const val MAX_KEPT = 64
    }
}
