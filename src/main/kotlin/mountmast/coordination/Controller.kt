package mountmast.coordination

import mountmast.protocol.BeatAnswer
import mountmast.protocol.Clock
import mountmast.protocol.JobId
import mountmast.protocol.MachineId
import mountmast.protocol.Member
import mountmast.protocol.NodeId
import mountmast.protocol.Order
import mountmast.protocol.PeerHello
import mountmast.protocol.RelayRequest
import mountmast.protocol.Settings
import mountmast.protocol.TaskId
import mountmast.protocol.TaskState
import mountmast.protocol.Term
import mountmast.protocol.Verb
import mountmast.protocol.WorkerReport
import mountmast.storage.FORMAT_VERSION
import mountmast.storage.PrerequisiteLists
import mountmast.storage.StateStore
import mountmast.storage.StoreTrouble
import mountmast.transport.BeatOutcome
import mountmast.transport.BeatService
import mountmast.transport.Cloud
import mountmast.transport.PeerService
import mountmast.transport.Peers
import mountmast.transport.UserAnswer
import mountmast.transport.UserService
import mountmast.transport.Workers
import org.slf4j.LoggerFactory
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicReference

private val log = LoggerFactory.getLogger("mountmast.controller")

/**
 * All that one controller node does, as steps that somebody else calls: [Node] from threads, tests in virtual time.
 * Each step returns after at most one exchange with each of the systems around it.
 */
class Controller(
    private val settings: Settings,
    private val policy: Policy,
    private val fleetPolicy: FleetPolicy,
    private val store: StateStore,
    private val cloud: Cloud,
    private val workers: Workers,
    private val peers: Peers,
    private val clock: Clock,
    /** Drawn at each start, so that no two processes are ever taken for one another. */
    private val run: String,
) : BeatService,
    PeerService {
    private val timing = Timing.of(settings.leaseS, settings.cancelS, settings.clockOffMs, settings.reportS)
    private val leadership = Leadership(store, settings.node, run, timing, clock)
    private val notices = CancellationNotices(settings.members.map { it.node }, clock, timing.noticesMs)

    /** Whether every node of the deployment reads the current forms. */
    val formats = FormatAgreement(store, settings.members.map { it.node })
    private val prerequisiteLists = PrerequisiteLists(store, settings.stateLimits)
    private val desk = JobDesk(store, settings.teams, clock, ::relay, ::ready, ::tellCancelled, settings.stateLimits, { formats.isCurrent })

    /** What users may ask of this node. */
    val users: UserService get() = desk

    private class Office(val reign: Reign, val writer: LedgerWriter, val fleet: Fleet)

    private val office = AtomicReference<Office?>()
    private val hellos = ConcurrentHashMap<NodeId, Pair<PeerHello, Long>>()
    private val helped = ConcurrentHashMap.newKeySet<MachineId>()

    @Volatile
    private var helpedIn = Term(0u)
    private var stepsSinceTypes = 0
    private var uninformedSteps = 0

    @Volatile
    private var greeted = false

    /** How late this process wakes from short sleeps, as a mean that forgets within seconds. */
    @Volatile
    private var lagMs = 0.0

    @Volatile
    private var declinesUsers = false

    /** The reign to work in, or null while this node does not lead. */
    fun reign(): Reign? = office.get()?.reign?.takeIf { it.ready }

    /** Renews, follows or tries to lead; about once a second. */
    fun lead() {
        leadership.step()
        val reign = office.get()?.reign
        // Cut off from the workers alone, in either direction, this node would renew for ever while their leases run out.
        val why = reign?.unfit() ?: reign?.let(::whyUninformed)
        if (reign != null && why != null && freshHellos().any { it.serves }) leadership.resign(reign.mandate, why)
        syncOffice()
        weighUsers()
        try {
            if (!desk.knowsTypes || stepsSinceTypes++ >= TYPES_STEPS) {
                desk.refreshTypes()
                stepsSinceTypes = 0
            }
        } catch (e: StoreTrouble) {
            log.debug("machine types: {}", e.message)
        }
        formats.step()
    }

    /** A leader that renews but learns of no cancellation may soon answer no worker any more; an outage is no such case. */
    private fun whyUninformed(reign: Reign): String? {
        val renews = leadership.confirmedUntil(reign.mandate)?.let { clock.now() - it < CONFIRMED_MS } == true
        uninformedSteps = if (renews && (reign.uninformedMs() ?: 0) > timing.ttlMs) uninformedSteps + 1 else 0
        return if (uninformedSteps > MOST_UNINFORMED_STEPS) "the jobs cannot be followed" else null
    }

    /** Notes that a sleep was [ms] too long: this process falls behind its share of the processor. */
    fun noteLag(ms: Long) {
        lagMs += (ms - lagMs) * LAG_WEIGHT
    }

    /**
     * A leader that falls behind leaves users to the others, as long as all of those serve. It stays so until it leads
     * no more or one of the others is missing: the load balancer takes a node back ever more slowly.
     */
    private fun weighUsers() {
        val mandate = leadership.mandate()
        val others = freshHellos().count { it.serves }
        declinesUsers = when {
            mandate == null || others < maxOf(LEAST_OTHERS, settings.members.size) -> false
            else -> declinesUsers || (lagMs > BUSY_LAG_MS && clock.now() - mandate.electedAt > SETTLING_MS)
        }
    }

    /** Waits while another node leads; false where there is nothing to wait for. */
    fun awaitVacancy(waitMs: Long): Boolean = leadership.awaitVacancy(waitMs)

    private fun syncOffice() {
        val mandate = leadership.mandate()
        val current = office.get()
        if (mandate == null) {
            if (current != null) {
                office.set(null)
                store.shareAs(leader = false)
            }
            return
        }
        if (current?.reign?.mandate === mandate) return
        store.shareAs(leader = true)
        val reign =
            Reign(mandate, store, workers, settings.teams, policy, timing, clock, { it in notices }, prerequisiteLists)
        val writer = LedgerWriter(reign, store, settings.stateLimits, clock, { formats.isCurrent }) { leadership.lost() }
        val fleet = Fleet(reign, cloud, clock, "${settings.node}-$run-${mandate.term}", fleetPolicy, timing)
        office.set(Office(reign, writer, fleet))
    }

    /**
     * Reads what earlier leaders wrote, if this node has just begun to lead; false where there is nothing to read.
     * Not part of [lead]: reading takes seconds after a start, and the hold must be renewed meanwhile.
     */
    fun load(): Boolean {
        val reign = office.get()?.reign ?: return false
        return try {
            reign.load()
        } catch (e: StoreTrouble) {
            log.debug("loading: {}", e.message)
            false
        }
    }

    /** One pass of the scheduler. */
    fun pass() {
        val reign = reign() ?: return
        reign.pass()
        leadership.confirmedUntil(reign.mandate)?.let { reign.expireSilent(it) }
    }

    /** Writes what the ledger changed; false where there was nothing to write. */
    fun write(): Boolean = office.get()?.takeIf { it.reign.ready }?.writer?.step() ?: false

    /** Learns of new and cancelled jobs; false where the state service did not tell. */
    fun follow(waitMs: Long): Boolean {
        val reign = reign() ?: return false
        return try {
            reign.followJobs(waitMs)
            true
        } catch (e: StoreTrouble) {
            log.debug("following jobs: {}", e.message)
            false
        }
    }

    /** Learns what became of jobs that others wait for; false where there was nothing to learn. */
    fun resolvePrerequisites(): Boolean {
        val reign = reign() ?: return false
        return try {
            reign.resolvePrerequisites()
        } catch (e: StoreTrouble) {
            log.debug("looking up prerequisites: {}", e.message)
            false
        }
    }

    /** Renting and returning cannot be taken back, so only a leader that was confirmed just now does either. */
    fun manageFleet() {
        val current = office.get()?.takeIf { it.reign.ready } ?: return
        val confirmed = leadership.confirmedUntil(current.reign.mandate) ?: return
        if (clock.now() - confirmed < CONFIRMED_MS) current.fleet.step()
    }

    /** Sends commands to one worker; false where there were none to send. */
    fun post(waitMs: Long): Boolean = reign()?.dispatch?.postNext(waitMs) ?: false

    /** Calls one worker that may still be with a former leader; false where there was none to call. */
    fun call(): Boolean = reign()?.dispatch?.callNext() ?: false

    override fun beat(report: WorkerReport): BeatOutcome {
        leadership.heard(report.term)
        val mandate = leadership.mandate() ?: return help(report) ?: BeatOutcome.Elsewhere(leadership.leader())
        val reign = office.get()?.reign
        if (!leadership.mayAnswerWorkers() || report.term.reign > mandate.term.reign) return BeatOutcome.Elsewhere(null)
        if (reign == null || reign.mandate !== mandate || !reign.mayAnswerWorkers()) return BeatOutcome.Elsewhere(null)
        if (!reign.ready) return BeatOutcome.Accepted(BeatAnswer(maxOf(mandate.term, report.term), stopsOf(report)))
        return BeatOutcome.Accepted(reign.beat(report))
    }

    /** Renews a worker's lease once for a leader that was elected a moment ago; its next report is sent there. */
    private fun help(report: WorkerReport): BeatOutcome? {
        val term = leadership.helps() ?: return null
        if (term != helpedIn) {
            helped.clear()
            helpedIn = term
        }
        if (report.term.reign > term.reign || helped.size >= MOST_HELPED || !helped.add(report.machine)) return null
        return BeatOutcome.Accepted(BeatAnswer(maxOf(term, report.term), stopsOf(report)))
    }

    /** What a node that does not know the jobs can tell a worker all the same: to stop what other nodes said is cancelled. */
    private fun stopsOf(report: WorkerReport): List<Order> = report.tasks.mapNotNull { reported ->
        val job = TaskId.parse(reported.task)?.job
        if (reported.state == TaskState.EXITED || job == null || job !in notices) {
            null
        } else {
            Order(Verb.STOP, reported.task, reported.attempt, 0.0)
        }
    }

    /** Before a user is told of a cancellation the leader is, if it can be reached, so that nothing of the job starts after it. */
    private fun tellCancelled(id: JobId) {
        notices.committed(id)
        val reign = office.get()?.reign
        if (reign != null) return reign.cancellationsHeard(listOf(id))
        val leader = leadership.leader() ?: return
        if (freshHellos().any { it.node == leader.text }) settings.members.firstOrNull { it.node == leader }?.let(::greet)
    }

    /** Greets the other nodes. */
    fun greet() {
        settings.members.forEach(::greet)
        greeted = true
    }

    private fun greet(member: Member) {
        val told = notices.pendingFor(member.node)
        val answer = peers.hello(member, ownHello().copy(cancelled = told.map { it.text })) ?: return
        notices.acknowledged(member.node, told)
        note(answer)
    }

    override fun hello(from: PeerHello): PeerHello {
        note(from)
        return ownHello()
    }

    private fun note(hello: PeerHello) {
        hellos[NodeId(hello.node)] = hello to clock.now().ms
        formats.heard(NodeId(hello.node), hello.formatVersion)
        leadership.heard(Term(hello.term.toULong()))
        val cancelled = hello.cancelled.mapNotNull(JobId::parse)
        if (cancelled.isEmpty()) return
        notices.heard(cancelled)
        office.get()?.reign?.cancellationsHeard(cancelled)
    }

    private fun ownHello() = PeerHello(
        settings.node.text,
        leadership.highestTerm().number.toLong(),
        canServe(),
        leadership.mandate() != null,
        formatVersion = FORMAT_VERSION,
    )

    private fun freshHellos() = hellos.values.filter { (_, at) -> clock.now().ms - at < HELLO_FRESH_MS }.map { it.first }

    private fun relay(request: RelayRequest): UserAnswer? {
        val able = freshHellos().firstOrNull { it.serves } ?: return null
        val member = settings.members.firstOrNull { it.node.text == able.node } ?: return null
        val answer = peers.relay(member, request) ?: return null
        return UserAnswer(answer.status, answer.body, answer.retryAfterS)
    }

    private fun canServe() = desk.knowsTypes && store.reachable

    /**
     * Users are sent elsewhere only if some other node can serve what this one cannot. Where all are blocked alike,
     * a node that called itself unready would only be passed over for longer once the trouble is past; and one that
     * has not asked the others yet cannot tell.
     */
    private fun ready(): Boolean = if (canServe()) !declinesUsers else greeted && freshHellos().none { it.serves }

    private companion object {
        const val CONFIRMED_MS = 2500L
        const val HELLO_FRESH_MS = 6000L
        const val TYPES_STEPS = 30
        const val MOST_UNINFORMED_STEPS = 8
        const val MOST_HELPED = 10_000
        const val LAG_WEIGHT = 0.03
        const val BUSY_LAG_MS = 25.0
        const val SETTLING_MS = 10_000L
        const val LEAST_OTHERS = 2
    }
}
