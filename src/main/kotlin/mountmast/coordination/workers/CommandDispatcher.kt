package mountmast.coordination.workers

import mountmast.coordination.election.LeadershipGrant
import mountmast.coordination.election.Timing
import mountmast.coordination.state.Assignment
import mountmast.coordination.state.Invariants
import mountmast.coordination.state.Ledger
import mountmast.coordination.state.Machine
import mountmast.coordination.state.MachineState
import mountmast.coordination.state.Phase
import mountmast.coordination.state.UnknownTask
import mountmast.protocol.Clock
import mountmast.protocol.FencingToken
import mountmast.protocol.Heartbeat
import mountmast.protocol.HeartbeatSequence
import mountmast.protocol.MachineId
import mountmast.protocol.MonotonicTime
import mountmast.protocol.Order
import mountmast.protocol.OrdersMessage
import mountmast.protocol.Verb
import mountmast.protocol.WorkerIncarnation
import mountmast.transport.OrdersOutcome
import mountmast.transport.Workers
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.Condition
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/** What workers are told to do, in answers to their reports and by direct commands. Guarded by [lock]. */
class CommandDispatcher(
    private val lock: ReentrantLock,
    private val ledger: Ledger,
    private val grant: LeadershipGrant,
    private val workers: Workers,
    private val timing: Timing,
    private val clock: Clock,
    /** Whether the jobs are known up to a moment ago; the caller holds the lock. */
    private val isInformed: (MonotonicTime) -> Boolean,
    private val invariants: Invariants = Invariants(),
    /** Takes the report with which a worker answers a command; called with the lock held. */
    private val onHeartbeat: (Heartbeat, MonotonicTime) -> Unit,
) {
    private val postQueue = LinkedHashSet<MachineId>()
    private val postable: Condition = lock.newCondition()

    /** Workers to be called away from a former leader: apart from the commands, which must not wait for silent hosts. */
    private val callQueue = LinkedHashSet<MachineId>()

    /** The token for [machine]. */
    fun token(machine: Machine) = grant.token.advancedBy(machine.tokenOffset)

    /**
     * Commands without an answer may be executed minutes later, also when their job has long been cancelled. A higher token
     * makes the worker refuse them: once it shows that token, a task that it does not list can start no more.
     */
    fun fenceOffStoppedTasks(machine: Machine) {
        for (assignment in machine.live.values) {
            if (assignment.stopGraceS == null || assignment.reported != null) continue
            machine.tokenOffset = maxOf(machine.tokenOffset, (machine.mayStillStart[assignment.key] ?: continue) + 1)
        }
    }

    /** Takes note of the token that a worker of this term shows. */
    fun observeToken(machine: Machine, shown: FencingToken) {
        if (shown.term != grant.token.term) return
        val tokenOffset = (shown.number - grant.token.number).toInt()
        machine.tokenOffset = maxOf(machine.tokenOffset, tokenOffset)
        machine.mayStillStart.values.removeIf { it < tokenOffset }
    }

    /** Every command that the worker has not shown to have executed; [inHeartbeat] names the report they answer. */
    fun outstanding(machine: Machine, inHeartbeat: HeartbeatSequence?): List<Order> {
        val orders = ArrayList<Order>()
        // A job may have been cancelled since the jobs were last read, and nothing of it may start then.
        val mayStart = isInformed(clock.now())
        for (assignment in machine.live.values) {
            if (assignment.phase != Phase.COMMITTED || assignment.incarnation != machine.incarnation) continue
            val grace = assignment.stopGraceS
            if (grace == null && assignment.reported == null && mayStart && isStartable(assignment)) {
                orders += Order(Verb.START, assignment.taskName, assignment.attempt)
                if (inHeartbeat != null) assignment.startedInHeartbeat = inHeartbeat
            }
            if (grace != null) orders += Order(Verb.STOP, assignment.taskName, assignment.attempt, grace)
        }
        if (inHeartbeat != null) {
            for (unknownTask in machine.unknownTasks) {
                if (!unknownTask.exited) {
                    orders += Order(Verb.STOP, unknownTask.taskName, unknownTask.attempt, 0.0)
                } else if (mayForget(unknownTask, machine)) {
                    orders += Order(Verb.FORGET, unknownTask.taskName, unknownTask.attempt)
                }
            }
        }
        return orders
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
    private fun mayForget(unknownTask: UnknownTask, machine: Machine) = (unknownTask.completed || machine.unknownTasks.size > MAX_KEPT) &&
        unknownTask.taskName to unknownTask.attempt !in machine.mayStillStart

    /** Has the commands for a machine sent soon; the caller holds the lock. */
    fun queue(id: MachineId) {
        postQueue += id
        postable.signal()
    }

    /** Waits for a machine with commands to send, sends them and reads the answer. */
    fun postNext(waitMs: Long): Boolean {
        val command = lock.withLock {
            if (postQueue.isEmpty() && waitMs > 0) postable.await(waitMs, TimeUnit.MILLISECONDS)
            val now = clock.now()
            val id = postQueue.firstOrNull { id ->
                ledger.machines[id].let { it == null || (!it.postInFlight && now >= it.postNotBefore) }
            } ?: return false
            postQueue -= id
            val machine = ledger.machines[id] ?: return true
            if (machine.state != MachineState.UP || machine.incarnation == null || machine.deleting) return true
            // A host behind a cut holds a poster until its deadline, and with a fifth of the fleet cut the commands to all
            // the others waited. Whoever is silent gets them in the answer to its next report.
            if (now - machine.heardAt > timing.quietMs) return true
            val orders = outstanding(machine, inHeartbeat = null)
            if (orders.isEmpty()) return true
            forStarts(machine, orders) { it.postsOut++ }
            machine.postInFlight = true
            Command(machine, checkNotNull(machine.incarnation), machine.tokenOffset, orders)
        }
        send(command)
        return true
    }

    /** Calls one worker that may still be with a former leader; false where none is to be called now. */
    fun callNext(): Boolean {
        val command = lock.withLock {
            val id = callQueue.firstOrNull() ?: return false
            callQueue -= id
            val known = ledger.machines[id] ?: return true
            if (known.postInFlight || !needsCall(known, clock.now())) return true
            known.postInFlight = true
            known.calledAt = clock.now()
            Command(known, known.incarnation ?: known.live.values.firstOrNull()?.incarnation ?: WorkerIncarnation(1u), known.tokenOffset, emptyList())
        }
        send(command)
        return true
    }

    /** Orders of one session: sent in any other, a start would run in a session that its assignment is not for. */
    private class Command(val machine: Machine, val incarnation: WorkerIncarnation, val tokenOffset: Int, val orders: List<Order>)

    private fun send(command: Command) {
        val message = OrdersMessage(grant.token.advancedBy(command.tokenOffset), command.incarnation, command.orders)
        val outcome = workers.order(checkNotNull(command.machine.address), message)
        lock.withLock { posted(command, outcome) }
    }

    /**
     * A worker that still reports to the leader before, which may be cut off from everybody else, learns of us only
     * from a command: our token in it, even without any order, makes it look for the new leader.
     */
    private fun needsCall(machine: Machine, now: MonotonicTime) = machine.address != null &&
        !machine.deleting &&
        !machine.hasShownCurrentTerm &&
        machine.state != MachineState.EXPIRED &&
        machine.state != MachineState.BOOTING &&
        now - machine.calledAt > CALL_AFTER_MS

    /** Has those workers called that have not shown our token although this node has led since [readyAt]. */
    fun callWorkers(readyAt: MonotonicTime, now: MonotonicTime) {
        if (now - readyAt !in CALL_AFTER_MS..timing.formerLeaderMs + timing.leaseExpiryMs) return
        for (machine in ledger.machines.values) if (needsCall(machine, now)) callQueue += machine.id
    }

    private fun posted(command: Command, outcome: OrdersOutcome) {
        val now = clock.now()
        val machine = command.machine
        val orders = command.orders
        machine.postInFlight = false
        forStarts(machine, orders) { it.postsOut-- }
        when (outcome) {
            is OrdersOutcome.Executed -> onHeartbeat(outcome.heartbeat, now)
            is OrdersOutcome.Rejected -> onHeartbeat(outcome.heartbeat, now)
            OrdersOutcome.NotSent -> machine.postNotBefore = now + POST_PAUSE_MS
            OrdersOutcome.Unknown -> {
                machine.postNotBefore = now + POST_PAUSE_MS
                for (order in orders) if (order.verb == Verb.START) machine.mayStillStart[order.task to order.attempt] = command.tokenOffset
            }
        }
    }

    private inline fun forStarts(machine: Machine, orders: List<Order>, act: (Assignment) -> Unit) {
        for (order in orders) {
            if (order.verb != Verb.START) continue
            machine.live[order.task]?.takeIf { it.attempt == order.attempt }?.let(act)
        }
    }

    private companion object {
        const val POST_PAUSE_MS = 2000L
        const val CALL_AFTER_MS = 3000L

        /** Attempts that a worker need not forget within a session; reports must not grow without end. */
        const val MAX_KEPT = 64
    }
}
