package mountmast.coordination

import mountmast.protocol.Clock
import mountmast.protocol.NodeId
import mountmast.protocol.PeerHello
import mountmast.protocol.RelayRequest
import mountmast.protocol.Settings
import mountmast.protocol.Term
import mountmast.protocol.WorkerReport
import mountmast.storage.ChunkRecord
import mountmast.storage.HttpStateStore
import mountmast.storage.StoreTrouble
import mountmast.transport.AdmissionLimit
import mountmast.transport.BeatOutcome
import mountmast.transport.BeatService
import mountmast.transport.BoundedServer
import mountmast.transport.Cloud
import mountmast.transport.PeerService
import mountmast.transport.Peers
import mountmast.transport.UserAnswer
import mountmast.transport.Workers
import mountmast.transport.peerRoutes
import mountmast.transport.publicRoutes
import org.http4k.server.Http4kServer
import org.http4k.server.asServer
import org.slf4j.LoggerFactory
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicReference

private val log = LoggerFactory.getLogger("mountmast.node")

/** One controller: serves users, workers and peers, and does the leader's work while it leads. */
class Node(
    private val settings: Settings,
    private val policy: Policy,
    private val fleetPolicy: FleetPolicy,
    private val store: HttpStateStore,
    private val cloud: Cloud,
    private val workers: Workers,
    private val peers: Peers,
    private val clock: Clock,
    private val run: String,
) : BeatService, PeerService {
    private val timing = Timing.of(settings.leaseS, settings.cancelS)
    private val leadership = Leadership(store, settings.node, run, timing, clock)
    private val desk = JobDesk(store, settings.teams, clock, ::relay, ::ready)

    private class Office(val reign: Reign, val writer: LedgerWriter, val fleet: Fleet)

    private val office = AtomicReference<Office?>()
    private val hellos = ConcurrentHashMap<NodeId, Pair<PeerHello, Long>>()
    private val servers = ArrayList<Http4kServer>()

    fun start() {
        val admission = AdmissionLimit()
        servers += publicRoutes(desk, this, admission).asServer(BoundedServer(settings.serveOn, "serve", SERVE_THREADS, SERVE_WAITING)).start()
        servers += peerRoutes(desk, this).asServer(BoundedServer(settings.peerListen, "peer", PEER_THREADS, SERVE_WAITING)).start()
        loop("leadership") { lead(); LEADERSHIP_MS }
        loop("greeter") { greet(); GREET_MS }
        loop("pass") { withOffice({ it.reign.ready }) { it.reign.pass(); expire(it.reign); it.reign.awaitPlacement(policy.passMs); PASS_GAP_MS } }
        loop("writer") { withOffice({ it.reign.ready }) { write(it) } }
        loop("follow") { withOffice({ it.reign.ready }) { follow(it) } }
        loop("fleet") { withOffice({ it.reign.ready }) { stepFleet(it) } }
        repeat(POSTERS) { loop("poster-$it") { withOffice({ it.reign.ready }) { o -> if (o.reign.postNext(POST_WAIT_MS)) 0 else POST_GAP_MS } } }
        log.info("{} serves on {}", settings.node, settings.serveOn)
    }

    fun stop() = servers.forEach { it.stop() }

    private fun loop(name: String, step: () -> Long) {
        val body = Runnable {
            while (true) {
                val pause = try {
                    step()
                } catch (e: InterruptedException) {
                    return@Runnable
                } catch (e: Exception) {
                    log.error("{} failed", name, e)
                    FAILED_MS
                }
                if (pause > 0) Thread.sleep(pause)
            }
        }
        Thread(null, body, name, STACK_BYTES).apply { isDaemon = true }.start()
    }

    private inline fun withOffice(usable: (Office) -> Boolean, act: (Office) -> Long): Long {
        val current = office.get()
        return if (current == null || !usable(current)) IDLE_MS else act(current)
    }

    private fun lead() {
        leadership.step()
        val reign = office.get()?.reign
        // Cut off from the workers alone, this node would renew for ever while every worker's lease runs out.
        if (reign != null && reign.deafToWorkers() && freshHellos().any { it.reachesState }) {
            leadership.resign(reign.mandate, "hardly any worker gets through to this node")
        }
        syncOffice()
        try {
            if (!desk.knowsTypes || typesAge++ >= TYPES_STEPS) {
                desk.refreshTypes()
                typesAge = 0
            }
        } catch (e: StoreTrouble) {
            log.debug("machine types: {}", e.message)
        }
    }

    private var typesAge = 0

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
        if (current?.reign?.mandate === mandate) {
            if (!current.reign.ready) load(current.reign)
            return
        }
        store.shareAs(leader = true)
        val reign = Reign(
            mandate, store, workers, settings.teams, policy, timing, clock, ChunkRecord.tasksPerChunk(settings.valueKb),
        )
        val writer = LedgerWriter(reign, store, settings.txnOps, clock) { leadership.lost() }
        val fleet = Fleet(reign, cloud, clock, "${settings.node}-$run-${mandate.term}", fleetPolicy)
        office.set(Office(reign, writer, fleet))
        load(reign)
    }

    private fun load(reign: Reign) = try {
        reign.load()
    } catch (e: StoreTrouble) {
        log.debug("loading: {}", e.message)
    }

    private fun write(office: Office): Long {
        if (office.writer.step()) return WRITE_GAP_MS
        office.reign.awaitWritable(WRITE_IDLE_MS)
        return WRITE_GAP_MS
    }

    private fun follow(office: Office): Long = try {
        office.reign.followJobs(FOLLOW_MS)
        FOLLOW_GAP_MS
    } catch (e: StoreTrouble) {
        log.debug("following jobs: {}", e.message)
        FAILED_MS
    }

    private fun expire(reign: Reign) {
        leadership.confirmedUntil(reign.mandate)?.let { reign.expireSilent(it) }
    }

    /** Renting and returning cannot be taken back, so only a leader that was confirmed just now does either. */
    private fun stepFleet(office: Office): Long {
        val confirmed = leadership.confirmedUntil(office.reign.mandate)
        if (confirmed != null && clock.now() - confirmed < CONFIRMED_MS) office.fleet.step()
        return FLEET_MS
    }

    override fun beat(report: WorkerReport): BeatOutcome {
        leadership.heard(report.term)
        val mandate = leadership.mandate() ?: return BeatOutcome.Elsewhere(leadership.leader())
        val reign = office.get()?.reign
        if (!leadership.mayAnswerWorkers() || report.term > mandate.term) return BeatOutcome.Elsewhere(null)
        if (reign == null || reign.mandate !== mandate) return BeatOutcome.Elsewhere(null)
        return BeatOutcome.Accepted(reign.beat(report))
    }

    override fun hello(from: PeerHello): PeerHello {
        note(from)
        return ownHello()
    }

    private fun note(hello: PeerHello) {
        hellos[NodeId(hello.node)] = hello to clock.now().ms
        leadership.heard(Term(hello.term.toULong()))
    }

    private fun ownHello() = PeerHello(
        settings.node.text, leadership.highestTerm().number.toLong(), store.reachable(), leadership.mandate() != null,
    )

    private fun greet() {
        for (member in settings.members) peers.hello(member, ownHello())?.let(::note)
    }

    private fun freshHellos() = hellos.values.filter { (_, at) -> clock.now().ms - at < HELLO_FRESH_MS }.map { it.first }

    private fun relay(request: RelayRequest): UserAnswer? {
        val able = freshHellos().firstOrNull { it.reachesState } ?: return null
        val member = settings.members.firstOrNull { it.node.text == able.node } ?: return null
        val answer = peers.relay(member, request) ?: return null
        return UserAnswer(answer.status, answer.body, answer.retryAfterS)
    }

    /** Users are sent elsewhere only if some other node can serve what this one cannot. */
    private fun ready(): Boolean = desk.knowsTypes && (store.reachable() || freshHellos().none { it.reachesState })

    private companion object {
        const val SERVE_THREADS = 10
        const val PEER_THREADS = 4
        const val SERVE_WAITING = 64
        const val POSTERS = 4
        const val STACK_BYTES = 256L * 1024
        const val LEADERSHIP_MS = 1000L
        const val GREET_MS = 2000L
        const val HELLO_FRESH_MS = 6000L
        const val PASS_GAP_MS = 200L
        const val WRITE_GAP_MS = 80L
        const val WRITE_IDLE_MS = 500L
        const val FOLLOW_MS = 10_000L
        const val FOLLOW_GAP_MS = 150L
        const val CONFIRMED_MS = 2500L
        const val FLEET_MS = 1000L
        const val POST_WAIT_MS = 1000L
        const val POST_GAP_MS = 50L
        const val IDLE_MS = 250L
        const val FAILED_MS = 1000L
        const val TYPES_STEPS = 30
    }
}
