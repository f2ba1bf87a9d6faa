package mountmast.coordination.controller

import mountmast.coordination.autoscaling.Autoscaler
import mountmast.coordination.autoscaling.AutoscalingPolicy
import mountmast.coordination.election.LeaderElection
import mountmast.coordination.election.LeaseTiming
import mountmast.coordination.election.VacancyWait
import mountmast.coordination.jobs.HostNode
import mountmast.coordination.jobs.JobRecordPrefetcher
import mountmast.coordination.jobs.JobService
import mountmast.coordination.jobs.PrefetchResult
import mountmast.coordination.membership.CancellationBroadcast
import mountmast.coordination.membership.FormatNegotiation
import mountmast.coordination.membership.PeerMembership
import mountmast.coordination.persistence.CommitStep
import mountmast.coordination.persistence.JournalCommitter
import mountmast.coordination.scheduling.SchedulingPolicy
import mountmast.coordination.state.Invariants
import mountmast.coordination.state.TaskLosses
import mountmast.coordination.workers.DeliveryStep
import mountmast.coordination.workers.LeaseRenewalDelegate
import mountmast.protocol.Clock
import mountmast.protocol.FencingToken
import mountmast.protocol.Heartbeat
import mountmast.protocol.HeartbeatResponse
import mountmast.protocol.JobId
import mountmast.protocol.NodeId
import mountmast.protocol.PeerHeartbeat
import mountmast.protocol.Settings
import mountmast.storage.FORMAT_VERSION
import mountmast.storage.PrerequisiteLists
import mountmast.storage.StateStore
import mountmast.storage.StoreException
import mountmast.transport.Cloud
import mountmast.transport.HeartbeatOutcome
import mountmast.transport.HeartbeatService
import mountmast.transport.MetricNames
import mountmast.transport.Metrics
import mountmast.transport.PeerClient
import mountmast.transport.PeerService
import mountmast.transport.UserService
import mountmast.transport.WorkerClient
import org.slf4j.LoggerFactory
import java.util.concurrent.atomic.AtomicReference

private val log = LoggerFactory.getLogger("mountmast.controller")

/**
 * All that one controller node does, as steps that somebody else calls: [Node] from threads, tests in virtual time.
 * Each step returns after at most one exchange with each of the systems around it.
 */
class Controller(
    private val settings: Settings,
    private val policy: SchedulingPolicy,
    private val autoscalingPolicy: AutoscalingPolicy,
    private val store: StateStore,
    private val cloud: Cloud,
    private val workers: WorkerClient,
    private val peers: PeerClient,
    private val clock: Clock,
    /** Drawn at each start, so that no two processes are ever taken for one another. */
    private val run: String,
    metrics: Metrics = Metrics(),
) : HeartbeatService,
    PeerService {
    private val timing = LeaseTiming.of(settings.leaseS, settings.cancelS, settings.clockOffMs, settings.heartbeatIntervalS)
    private val losses = TaskLosses(metrics)
    private val invariants = Invariants(metrics)
    private val wakeLag = metrics.timing(MetricNames.WAKE_LAG)
    private val election = LeaderElection(store, settings.node, run, timing, clock, metrics)
    private val cancellations = CancellationBroadcast(settings.members.map { it.node }, clock, timing.cancellationBroadcastMs)
    private val leaseRenewalDelegate = LeaseRenewalDelegate(election, cancellations)

    /** Whether every node of the deployment reads the current forms. */
    val formats = FormatNegotiation(store, settings.members.map { it.node })
    private val membership = PeerMembership(settings.members, peers, cancellations, clock, OwnState())
    private val prerequisiteLists = PrerequisiteLists(store, settings.stateLimits)
    private val hostNode = HostNode.of(membership::forward, ::ready, ::tellCancelled) { formats.isCurrent }
    private val jobService = JobService(store, settings.teams, clock, settings.stateLimits, hostNode)

    /** What users may ask of this node. */
    val users: UserService get() = jobService

    private val jobPrefetcher = JobRecordPrefetcher(store, jobService::cacheRecord)

    private class LeaderComponents(val leaderTerm: LeaderTerm, val writer: JournalCommitter, val autoscaler: Autoscaler)

    private val leaderComponents = AtomicReference<LeaderComponents?>()

    /** What this node measures of its own load. */
    val loadReport = LoadReport(metrics, losses, election, ::leaderTerm, clock)
    private var stepsSinceTypes = 0
    private var uninformedSteps = 0

    /** How late this process wakes from short sleeps, as a mean that forgets within seconds. */
    @Volatile
    private var lagMs = 0.0

    @Volatile
    private var declinesUsers = false

    /** The term to work in, or null while this node does not lead. */
    fun leaderTerm(): LeaderTerm? = leaderComponents.get()?.leaderTerm?.takeIf { it.ready }

    /**
     * Renews, follows or tries to lead; about once a second. Nothing else is asked of the state service here: on a cold node, with
     * all workers and users upon it, each call took a second, and the hold ran out between two renewals.
     */
    fun electionStep() {
        election.step()
        val leaderTerm = leaderComponents.get()?.leaderTerm
        // Cut off from the workers alone, in either direction, this node would renew for ever while their leases run out.
        val why = leaderTerm?.liveness?.resignationReason() ?: leaderTerm?.let(::whyUninformed)
        if (leaderTerm != null && why != null && membership.countServing() > 0) election.resign(leaderTerm.leaderLease, why)
        syncLeaderComponents()
        weighUsers()
    }

    /** Reads now and then what seldom changes; about once a second. */
    fun refresh() {
        try {
            if (!jobService.knowsTypes || stepsSinceTypes++ >= TYPES_STEPS) {
                jobService.refreshTypes()
                stepsSinceTypes = 0
            }
        } catch (e: StoreException) {
            log.debug("machine types: {}", e.message)
        }
        formats.step()
    }

    /** A leader that renews but learns of no cancellation may soon answer no worker any more; an outage is no such case. */
    private fun whyUninformed(leaderTerm: LeaderTerm): String? {
        val renews = election.confirmedUntil(leaderTerm.leaderLease)?.let { clock.now() - it < CONFIRMED_MS } == true
        uninformedSteps = if (renews && (leaderTerm.uninformedMs() ?: 0) > timing.ttlMs) uninformedSteps + 1 else 0
        return if (uninformedSteps > MAX_UNINFORMED_STEPS) "the jobs cannot be followed" else null
    }

    /** Notes that a sleep was [ms] too long: this process falls behind its share of the processor. */
    fun noteLag(ms: Long) {
        wakeLag.note(ms)
        lagMs += (ms - lagMs) * LAG_WEIGHT
    }

    /**
     * A leader that falls behind leaves users to the others, as long as all of those serve. It stays so until it leads
     * no more or one of the others is missing: the load balancer takes a node back ever more slowly.
     */
    private fun weighUsers() {
        val leaderLease = election.leaderLease
        val others = membership.countServing()
        declinesUsers = when {
            leaderLease == null || others < maxOf(MIN_OTHERS, settings.members.size) -> false
            else -> declinesUsers || (lagMs > BUSY_LAG_MS && clock.now() - leaderLease.electedAt > SETTLING_MS)
        }
    }

    /** Waits up to [waitMs] while another node leads. */
    fun awaitVacancy(waitMs: Long): VacancyWait = election.awaitVacancy(waitMs)

    private fun syncLeaderComponents() {
        val leaderLease = election.leaderLease
        val current = leaderComponents.get()
        if (leaderLease == null) {
            if (current != null) {
                leaderComponents.set(null)
                store.setRole(leader = false)
            }
            return
        }
        if (current?.leaderTerm?.leaderLease === leaderLease) return
        store.setRole(leader = true)
        val leaderTerm =
            LeaderTerm(
                leaderLease, store, workers, settings.teams, policy, timing, clock, { it in cancellations }, prerequisiteLists, jobService::cacheRecord,
                losses, invariants,
            )
        val writer = JournalCommitter(leaderTerm, store, settings.stateLimits, clock, { formats.isCurrent }) { election.stepDown() }
        val autoscaler =
            Autoscaler(leaderTerm, cloud, clock, "${settings.node}-$run-${leaderLease.token}", autoscalingPolicy, timing, settings.cloudRps)
        leaderComponents.set(LeaderComponents(leaderTerm, writer, autoscaler))
    }

    /**
     * Reads what earlier leaders wrote, if this node has just begun to lead; false where there is nothing to read.
     * Not part of [electionStep]: reading takes seconds after a start, and the hold must be renewed meanwhile.
     */
    fun load(): Boolean {
        val leaderTerm = leaderComponents.get()?.leaderTerm ?: return false
        return try {
            leaderTerm.load()
        } catch (e: StoreException) {
            log.debug("loading: {}", e.message)
            false
        }
    }

    /** One pass of the scheduler. */
    fun runSchedulingCycle() {
        val leaderTerm = leaderTerm() ?: return
        leaderTerm.runSchedulingCycle()
        election.confirmedUntil(leaderTerm.leaderLease)?.let { leaderTerm.liveness.expireLeases(it) }
    }

    /** Writes what the ledger changed; false where there was nothing to write. */
    fun write(): Boolean = leaderComponents.get()?.takeIf { it.leaderTerm.ready }?.writer?.commitNext() == CommitStep.Written

    /** Learns of new and cancelled jobs; false where the state service did not tell. */
    fun watch(waitMs: Long): Boolean {
        val leaderTerm = leaderTerm() ?: return false
        return try {
            leaderTerm.jobs.watch(waitMs)
            true
        } catch (e: StoreException) {
            log.debug("following jobs: {}", e.message)
            false
        }
    }

    /** Hears of the jobs that other nodes accept, while this node does not lead; false where there is nothing to wait for. */
    fun watchJobs(waitMs: Long): Boolean = leaderComponents.get() == null && jobPrefetcher.prefetch(waitMs) == PrefetchResult.WATCHED

    /** Learns what became of jobs that others wait for; false where there was nothing to learn. */
    fun resolvePrerequisites(): Boolean {
        val leaderTerm = leaderTerm() ?: return false
        return try {
            leaderTerm.jobs.resolvePrerequisites()
        } catch (e: StoreException) {
            log.debug("looking up prerequisites: {}", e.message)
            false
        }
    }

    /** Renting and returning cannot be taken back, so only a leader that was confirmed just now does either. */
    fun autoscale() {
        val current = leaderComponents.get()?.takeIf { it.leaderTerm.ready } ?: return
        val confirmed = election.confirmedUntil(current.leaderTerm.leaderLease) ?: return
        if (clock.now() - confirmed < CONFIRMED_MS) current.autoscaler.runRound()
    }

    /** Sends commands to one worker; false where there were none to send. */
    fun deliverCommands(waitMs: Long): Boolean = leaderTerm()?.dispatch?.deliverNext(waitMs) == DeliveryStep.DONE

    /** Calls one worker that may still be with a former leader; false where there was none to call. */
    fun announceLeader(): Boolean = leaderTerm()?.dispatch?.announceNext() == DeliveryStep.DONE

    override fun onHeartbeat(heartbeat: Heartbeat): HeartbeatOutcome {
        election.observeToken(heartbeat.token)
        val leaderLease = election.leaderLease ?: return leaseRenewalDelegate.renewOnBehalf(heartbeat)
        val leaderTerm = leaderComponents.get()?.leaderTerm
        if (!election.mayRenewWorkerLeases() || heartbeat.token.term > leaderLease.token.term) return HeartbeatOutcome.Elsewhere(null)
        if (leaderTerm == null || leaderTerm.leaderLease !== leaderLease ||
            !leaderTerm.mayRenewWorkerLeases()
        ) {
            return HeartbeatOutcome.Elsewhere(null)
        }
        val receivedAt = clock.now()
        val answer = if (leaderTerm.ready) {
            leaderTerm.heartbeats.onHeartbeat(heartbeat)
        } else {
            HeartbeatResponse(maxOf(leaderLease.token, heartbeat.token), leaseRenewalDelegate.stopCommandsFor(heartbeat))
        }
        if (answer.token.number > 0u) leaderTerm.liveness.renewals.record(heartbeat.machine, receivedAt)
        return HeartbeatOutcome.Accepted(answer)
    }

    /** Before a user is told of a cancellation the leader is, if it can be reached, so that nothing of the job starts after it. */
    private fun tellCancelled(id: JobId) {
        cancellations.broadcast(id)
        val leaderTerm = leaderComponents.get()?.leaderTerm
        if (leaderTerm != null) return leaderTerm.jobs.cancellationsHeard(listOf(id))
        val leader = election.leader ?: return
        membership.exchangeHeartbeatIfAlive(leader)
    }

    /** Greets the other nodes. */
    fun exchangePeerHeartbeats() = membership.exchangeHeartbeats()

    override fun onPeerHeartbeat(from: PeerHeartbeat): PeerHeartbeat = membership.onHeartbeat(from)

    private inner class OwnState : PeerMembership.LocalNode {
        override fun ownHeartbeat() = PeerHeartbeat(
            settings.node.text,
            election.highestToken.number.toLong(),
            canServe(),
            election.leaderLease != null,
            formatVersion = FORMAT_VERSION,
        )

        override fun onPeerHeartbeat(peerHeartbeat: PeerHeartbeat) {
            formats.recordVersion(NodeId(peerHeartbeat.node), peerHeartbeat.formatVersion)
            election.observeToken(FencingToken(peerHeartbeat.token.toULong()))
            val cancelled = peerHeartbeat.cancelled.mapNotNull(JobId::parse)
            if (cancelled.isEmpty()) return
            cancellations.receive(cancelled)
            leaderComponents.get()?.leaderTerm?.jobs?.cancellationsHeard(cancelled)
        }
    }

    private fun canServe() = jobService.knowsTypes && store.isReachable

    /**
     * Users are sent elsewhere only if some other node can serve what this one cannot. Where all are blocked alike,
     * a node that called itself unready would only be passed over for longer once the trouble is past; and one that
     * has not asked the others yet cannot tell.
     */
    private fun ready(): Boolean = if (canServe()) !declinesUsers else membership.hasExchangedHeartbeats && membership.countServing() == 0

    private companion object {
        const val CONFIRMED_MS = 2500L
        const val TYPES_STEPS = 30
        const val MAX_UNINFORMED_STEPS = 8
        const val LAG_WEIGHT = 0.03
        const val BUSY_LAG_MS = 25.0
        const val SETTLING_MS = 10_000L
        const val MIN_OTHERS = 2
    }
}
