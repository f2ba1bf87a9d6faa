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
import mountmast.coordination.workers.ForgottenAttempts
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
import mountmast.transport.Metrics
import mountmast.transport.PeerService
import mountmast.transport.UserService

/**
 * One controller node, as steps that a caller repeats: [Node] on threads, tests in virtual time. This class only composes the
 * parts of the node.
 *
 * Different steps may run concurrently, but each step is called by one thread at a time; only [LeaderWork.deliverCommands] and
 * [LeaderWork.announceLeader] may be called by several. [electionStep] and [awaitVacancy] are called by the same thread.
 * [onHeartbeat], [onPeerHeartbeat] and [users] are called by any thread. Each step returns after at most one exchange with each
 * external system.
 */
class Controller(
    settings: Settings,
    operatorSettings: OperatorSettings,
    systems: ExternalSystems,
    clock: Clock,
    /** Identifies this process; drawn at each start, so that a restarted node is not taken for its earlier process. */
    runId: String,
    metrics: Metrics = Metrics(),
) : HeartbeatService,
    PeerService {
    private val store = systems.store
    private val peerClient = systems.peerClient
    private val timing = LeaseTiming.of(settings.leaseS, settings.cancelS, settings.clockOffMs, settings.heartbeatIntervalS)
    private val taskLosses = TaskLosses(metrics)
    private val invariantChecker = Invariants(metrics)
    private val election = LeaderElection(store, settings.node, runId, timing, clock, metrics)
    private val cancellations = CancellationBroadcast(settings.members.map { it.node }, clock, timing.cancellationRetentionMs)
    private val leaseRenewalDelegate = LeaseRenewalDelegate(election, cancellations)

    /** Negotiates whether every node of the deployment reads the current format of stored records and sent messages. */
    val formats = FormatNegotiation(store, settings.members.map { it.node })
    private val leaderComponents = CurrentLeaderComponents()
    private val localState = LocalPeerState(settings.node, election, cancellations, formats, leaderComponents, ::canServe)
    private val membership = PeerMembership(settings.members, peerClient, cancellations, clock, localState)
    private val readiness = ReadinessMonitor(election, membership, settings.members.size, metrics, clock, ::canServe)
    private val announcer = CancellationAnnouncer(cancellations, leaderComponents, election, membership)
    private val prerequisiteLists = PrerequisiteLists(store, settings.stateLimits)
    private val jobService = JobService(
        store,
        settings.teams,
        clock,
        settings.stateLimits,
        HostNode.of(membership::forward, readiness::isReady, announcer::announce) { formats.isCurrent },
    )

    /** Serves the requests of users. */
    val users: UserService get() = jobService

    private val jobPrefetcher = JobRecordPrefetcher(store, jobService::cacheRecord)
    private val heartbeatRouter = HeartbeatRouter(election, leaderComponents, leaseRenewalDelegate, clock)
    private val periodicRefresh = PeriodicRefresh(jobService, formats)
    private val environment = LeaderTermEnvironment(
        store,
        systems.workerClient,
        timing,
        clock,
        prerequisiteLists,
        BroadcastJobCache(),
        LeaderTermEnvironment.Diagnostics(taskLosses, invariantChecker, ForgottenAttempts(metrics)),
    )
    private val componentsFactory =
        LeaderComponentsFactory(settings, operatorSettings, runId, systems.cloud, environment, election, formats)
    private val electionLoop =
        ElectionLoop(election, leaderComponents, componentsFactory, ResignationCheck(election, membership, timing, clock), readiness, store)

    /** The steps that do nothing unless this node leads. */
    val leaderWork = LeaderWork(leaderComponents, election, clock)

    /** Measures and logs the load of this node. */
    internal val loadMonitor = LoadMonitor(metrics, taskLosses, election, leaderWork::leaderTerm, clock)

    /** Returns the current term, or null while this node does not lead or has not loaded the cluster state. */
    fun leaderTerm(): LeaderTerm? = leaderWork.leaderTerm()

    /** Renews the leader lease, observes another leader or attempts to be elected. Called about once a second. */
    fun electionStep() = electionLoop.step()

    /** Waits up to [waitMs] while another node leads, until the leader key changes; [StepResult.IDLE] if it was not watched. */
    fun awaitVacancy(waitMs: Long): StepResult = StepResult.didWorkIf(election.awaitVacancy(waitMs) == VacancyWait.WATCHED)

    /** Refreshes the machine types and the negotiated format from the store. Called about once a second. */
    fun refreshSharedData() = periodicRefresh.refreshTypesAndFormat()

    /** Records that a sleep ended [ms] late, a sign that the process gets too little processor time. */
    fun recordWakeLag(ms: Long) = readiness.recordWakeLag(ms)

    /** Prefetches the records of jobs that other nodes accept, unless this node leads; waits up to [waitMs] for the next change. */
    fun prefetchJobs(waitMs: Long): StepResult =
        StepResult.didWorkIf(leaderComponents.get() == null && jobPrefetcher.prefetch(waitMs) == PrefetchResult.WATCHED)

    /** Exchanges heartbeats with each of the other nodes, one after another. */
    fun exchangePeerHeartbeats() = membership.exchangeHeartbeats()

    override fun onHeartbeat(heartbeat: Heartbeat): HeartbeatOutcome = heartbeatRouter.onHeartbeat(heartbeat)

    override fun onPeerHeartbeat(from: PeerHeartbeat): PeerHeartbeat = membership.onHeartbeat(from)

    private fun canServe(): Boolean = jobService.knowsMachineTypes && store.isReachable

    private inner class BroadcastJobCache : NodeJobCache {
        override fun isCancelled(id: JobId) = id in cancellations

        override fun onJobRecord(record: JobRecord, modRevision: ModRevision) = jobService.cacheRecord(record, modRevision)
    }
}
