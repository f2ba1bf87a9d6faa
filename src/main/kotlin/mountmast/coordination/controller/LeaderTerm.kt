package mountmast.coordination.controller

import mountmast.coordination.autoscaling.AutoscalingContext
import mountmast.coordination.election.LeaderLease
import mountmast.coordination.persistence.HintsLoad
import mountmast.coordination.persistence.JournalState
import mountmast.coordination.persistence.PersistenceContext
import mountmast.coordination.persistence.StateLoader
import mountmast.coordination.scheduling.SchedulingPolicy
import mountmast.coordination.scheduling.UnplacedTasks
import mountmast.coordination.state.Assignment
import mountmast.coordination.state.ClusterState
import mountmast.coordination.state.JobDependencies
import mountmast.coordination.state.JobInformer
import mountmast.coordination.state.JobInformerListener
import mountmast.coordination.state.JobInformerSources
import mountmast.coordination.state.JobInformerState
import mountmast.coordination.state.TermSignals
import mountmast.coordination.workers.CommandDispatcher
import mountmast.coordination.workers.HeartbeatHandler
import mountmast.coordination.workers.OutstandingCommands
import mountmast.coordination.workers.ReachabilityMonitor
import mountmast.coordination.workers.WorkerContext
import mountmast.coordination.workers.WorkerLivenessMonitor
import mountmast.protocol.JobId
import mountmast.protocol.MachineId
import mountmast.protocol.MachineTypes
import mountmast.protocol.ModRevision
import mountmast.protocol.TeamId
import mountmast.protocol.TeamQuota
import mountmast.storage.JobRecord
import mountmast.storage.StoreException
import org.slf4j.LoggerFactory
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

private val log = LoggerFactory.getLogger("mountmast.leader")

/**
 * The state and the components of one leader's term. The next leader rebuilds all of them from the store and from the workers'
 * heartbeats. Nothing is closed when the term ends: steps in progress finish, and each transaction of the journal compares the
 * revision of the leader key, so that a transaction executed after a successor's election changes nothing.
 * Thread-safe, except where a member needs [lock].
 */
class LeaderTerm(
    /** The lease by which this node leads for the term. */
    val leaderLease: LeaderLease,
    environment: LeaderTermEnvironment,
    teams: Map<TeamId, TeamQuota>,
    policy: SchedulingPolicy,
) : PersistenceContext,
    AutoscalingContext {
    private val store = environment.store
    private val workerClient = environment.workerClient
    private val timing = environment.timing
    private val clock = environment.clock
    private val prerequisiteLists = environment.prerequisiteLists
    private val jobCache = environment.jobCache
    private val taskLosses = environment.diagnostics.taskLosses

    /** Guards [cluster] and the components of the term. Held briefly, and never during I/O. */
    override val lock = ReentrantLock()

    /** The cluster state as this leader knows it; guarded by [lock]. */
    override val cluster = ClusterState(policy.runDecay, taskLosses).apply { assignments.beginTerm(leaderLease.token) }

    /** The journal and the snapshot as the store holds them; guarded by [lock]. */
    override val journal = JournalState()

    /** Wakes the threads that run scheduling cycles and commit changes; its conditions are those of [lock]. */
    override val signals = TermSignals(lock)
    private val reachabilityMonitor = ReachabilityMonitor(cluster, leaderLease, timing)

    /** Machine types that the store does not hold yet, or null; guarded by [lock]. */
    override var pendingMachineTypes: MachineTypes? = null

    private val jobDependencies = JobDependencies(cluster)

    /** Watches the jobs in the store. */
    override val jobs =
        JobInformer(
            JobInformerState(lock, cluster, jobDependencies, signals),
            JobInformerSources(store, prerequisiteLists),
            clock,
            leaderLease.watermark,
            JobsListener(),
        )

    private val workerContext = environment.diagnostics.let {
        WorkerContext(lock, cluster, leaderLease, signals, timing, clock, it.invariantChecker, it.forgottenAttempts)
    }
    private val outstandingCommands = OutstandingCommands(workerContext) { now -> jobs.stalenessMs(now) < timing.ttlMs }

    /** Applies the workers' heartbeats to the cluster state and creates the responses. */
    val heartbeatHandler = HeartbeatHandler(workerContext, outstandingCommands, reachabilityMonitor)

    /** Expires the workers' leases, and detects that this node and the workers cannot reach one another. */
    val livenessMonitor = WorkerLivenessMonitor(workerContext, reachabilityMonitor)

    /** Delivers commands to the workers, and announces this leader to them. */
    val commandDispatcher = CommandDispatcher(workerContext, outstandingCommands, workerClient, heartbeatHandler)

    private val snapshotCache = SnapshotCache(cluster, jobDependencies, teams, timing, clock)
    private val schedulingCycle = SchedulingCycle(cluster, snapshotCache, commandDispatcher, signals, policy, clock)
    private val stateLoader = StateLoader(lock, cluster, journal, jobs, store, clock)

    /** Whether the cluster state that earlier leaders wrote is loaded; until then this leader neither schedules nor writes. */
    val isLoaded: Boolean get() = workerContext.readyAt != null

    /** Open tasks that the last scheduling cycle could not place; the caller holds [lock]. */
    override val unplacedTasks: List<UnplacedTasks> get() = schedulingCycle.unplacedTasks

    /** How long a worker may be unreachable before its machine is scaled in, in milliseconds. */
    override val unreachableTimeoutMs: Long get() = 2 * timing.leaseExpiryMs

    /**
     * Loads what earlier leaders wrote. The first successful call loads the cluster state. The next one loads hints about which machines
     * have cached which images; this leader can schedule without them. Returns whether anything was loaded; false once nothing is left to
     * load. Called by one thread, which does not hold [lock].
     *
     * @throws StoreException if the store fails; the call is then to be repeated.
     */
    fun load(): Boolean {
        if (isLoaded) return stateLoader.loadHints() == HintsLoad.LOADED
        stateLoader.loadState()
        lock.withLock {
            workerContext.markReady(clock.now())
            log.info(
                "term={} loaded: {} jobs, {} assignments on {} machines",
                leaderLease.token,
                cluster.jobs.size,
                cluster.machines.values.sumOf { it.unreleasedAssignments.size },
                cluster.machines.size,
            )
        }
        return true
    }

    /**
     * Returns whether this leader knows of cancellations that are recent enough for it to renew workers' leases. Renewing the leader
     * lease does not show that: a leader that the store refuses, or whose watch hangs, learns of no cancellation. A worker's lease
     * that is renewed must expire before the first cancellation that may be unknown has to be carried out. Takes [lock].
     */
    fun mayRenewWorkerLeases(): Boolean = lock.withLock {
        if (isLoaded) jobs.stalenessMs(clock.now()) < timing.maxStalenessMs else clock.wall() < timing.renewalUntil(leaderLease.watermark)
    }

    /** Returns for how long cancellations may have gone unknown, in milliseconds, or null before the state is loaded. Takes [lock]. */
    fun cancellationStalenessMs(): Long? = lock.withLock { if (isLoaded) jobs.stalenessMs(clock.now()) else null }

    /** Runs one scheduling cycle if the cluster state is loaded. Holds [lock] throughout. */
    fun runSchedulingCycle() = lock.withLock {
        workerContext.readyAt?.let(schedulingCycle::run)
    }

    override val leaderModRevision: ModRevision get() = leaderLease.modRevision

    override fun onStartCommitted(machine: MachineId) = commandDispatcher.queueDelivery(machine)

    override fun areMostMachinesUnreachable(): Boolean = reachabilityMonitor.areMostMachinesUnreachable()

    private inner class JobsListener : JobInformerListener {
        override fun isCancelledElsewhere(id: JobId) = jobCache.isCancelled(id)

        override fun onRecord(record: JobRecord, modRevision: ModRevision) = jobCache.onJobRecord(record, modRevision)

        override fun onCommandsDue(assignment: Assignment) = commandDispatcher.queueDelivery(assignment.machine)
    }
}
