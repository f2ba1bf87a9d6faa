package mountmast.coordination.controller

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
import mountmast.coordination.state.Invariants
import mountmast.coordination.state.TaskLosses
import mountmast.coordination.workers.LeaseRenewalDelegate
import mountmast.protocol.Clock
import mountmast.protocol.Heartbeat
import mountmast.protocol.JobId
import mountmast.protocol.ModRevision
import mountmast.protocol.PeerHeartbeat
import mountmast.protocol.Settings
import mountmast.storage.JobRecord
import mountmast.storage.PrerequisiteLists
import mountmast.transport.HeartbeatOutcome
import mountmast.transport.HeartbeatService
import mountmast.transport.MetricNames
import mountmast.transport.Metrics
import mountmast.transport.PeerService
import mountmast.transport.UserService

/**
 * All that one controller node does, as steps that somebody else calls: [Node] from threads, tests in virtual time.
 * This class only composes the parts. Thread-safe where each step is called by one thread at a time; those of [leaderWork] that
 * announce and deliver may run on several. Each step returns after at most one exchange with each of the systems around the node.
 */
class Controller(
    settings: Settings,
    operators: OperatorSettings,
    systems: ExternalSystems,
    clock: Clock,
    /** Drawn at each start, so that no two processes are ever taken for one another. */
    run: String,
    metrics: Metrics = Metrics(),
) : HeartbeatService,
    PeerService {
    private val store = systems.store
    private val peers = systems.peers
    private val timing = LeaseTiming.of(settings.leaseS, settings.cancelS, settings.clockOffMs, settings.heartbeatIntervalS)
    private val losses = TaskLosses(metrics)
    private val invariants = Invariants(metrics)
    private val wakeLag = metrics.timing(MetricNames.WAKE_LAG)
    private val election = LeaderElection(store, settings.node, run, timing, clock, metrics)
    private val cancellations = CancellationBroadcast(settings.members.map { it.node }, clock, timing.cancellationRetentionMs)
    private val leaseRenewalDelegate = LeaseRenewalDelegate(election, cancellations)

    /** Whether every node of the deployment reads the current forms. */
    val formats = FormatNegotiation(store, settings.members.map { it.node })
    private val leader = CurrentLeaderComponents()
    private val localState = LocalPeerState(settings.node, election, cancellations, formats, leader, ::canServe)
    private val membership = PeerMembership(settings.members, peers, cancellations, clock, localState)
    private val readiness = ReadinessMonitor(election, membership, settings.members.size, wakeLag, clock, ::canServe)
    private val announcer = CancellationAnnouncer(cancellations, leader, election, membership)
    private val prerequisiteLists = PrerequisiteLists(store, settings.stateLimits)
    private val jobService = JobService(
        store,
        settings.teams,
        clock,
        settings.stateLimits,
        HostNode.of(membership::forward, readiness::isReady, announcer::announce) { formats.isCurrent },
    )

    /** What users may ask of this node. */
    val users: UserService get() = jobService

    private val jobPrefetcher = JobRecordPrefetcher(store, jobService::cacheRecord)
    private val heartbeatRouter = HeartbeatRouter(election, leader, leaseRenewalDelegate, clock)
    private val refresh = PeriodicRefresh(jobService, formats)
    private val environment = LeaderTermEnvironment(
        store,
        systems.workers,
        timing,
        clock,
        prerequisiteLists,
        JobKnowledge(),
        LeaderTermEnvironment.Diagnostics(losses, invariants),
    )
    private val components = LeaderComponentsFactory(settings, operators, run, systems.cloud, environment, election, formats)
    private val electionLoop =
        ElectionLoop(election, membership, leader, components, ResignationCheck(election, timing, clock), readiness, store)

    /** The steps that only a leader does. */
    val leaderWork = LeaderWork(leader, election, clock)

    /** What this node measures of its own load. */
    internal val loadMonitor = LoadMonitor(metrics, losses, election, leaderWork::leaderTerm, clock)

    /** The term to work in, or null while this node does not lead or has not loaded its state. */
    fun leaderTerm(): LeaderTerm? = leaderWork.leaderTerm()

    /** Renews the lease, observes the leader or tries to be elected; about once a second. */
    fun electionStep() = electionLoop.step()

    /** Waits up to [waitMs] for the leader's key to fall vacant, while another node leads; idle if there is nothing to wait for. */
    fun awaitVacancy(waitMs: Long): StepResult = StepResult.of(election.awaitVacancy(waitMs) == VacancyWait.WATCHED)

    /** Reads from the store what seldom changes; about once a second. */
    fun refreshSharedData() = refresh.step()

    /** Records that a sleep took [ms] longer than asked for: the process gets less of the processor than it needs. */
    fun recordWakeLag(ms: Long) = readiness.recordWakeLag(ms)

    /** Prefetches the records of jobs that other nodes accept, while this node does not lead; waits up to [waitMs] for the next. */
    fun prefetchJobs(waitMs: Long): StepResult =
        StepResult.of(leader.get() == null && jobPrefetcher.prefetch(waitMs) == PrefetchResult.WATCHED)

    /** Exchanges heartbeats with each of the other nodes. */
    fun exchangePeerHeartbeats() = membership.exchangeHeartbeats()

    override fun onHeartbeat(heartbeat: Heartbeat): HeartbeatOutcome = heartbeatRouter.onHeartbeat(heartbeat)

    override fun onPeerHeartbeat(from: PeerHeartbeat): PeerHeartbeat = membership.onHeartbeat(from)

    private fun canServe(): Boolean = jobService.knowsTypes && store.isReachable

    private inner class JobKnowledge : NodeJobKnowledge {
        override fun isCancelled(id: JobId) = id in cancellations

        override fun onJobRecord(record: JobRecord, modRevision: ModRevision) = jobService.cacheRecord(record, modRevision)
    }
}
