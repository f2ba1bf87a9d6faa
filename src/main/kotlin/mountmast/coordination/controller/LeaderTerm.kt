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
 * The state and the parts of one leader's term. All of it is rebuilt by the next leader from the store and from the
 * workers' heartbeats.
 */
class LeaderTerm(
    /** The lease that stands for the term. */
    val leaderLease: LeaderLease,
    environment: LeaderTermEnvironment,
    teams: Map<TeamId, TeamQuota>,
    policy: SchedulingPolicy,
) : PersistenceContext,
    AutoscalingContext {
    private val store = environment.store
    private val workers = environment.workers
    private val timing = environment.timing
    private val clock = environment.clock
    private val prerequisiteLists = environment.prerequisiteLists
    private val jobKnowledge = environment.jobKnowledge
    private val losses = environment.diagnostics.losses
    private val invariants = environment.diagnostics.invariants

    /** Guards [cluster] and all parts of the term. Held for moments; never during I/O. */
    override val lock = ReentrantLock()

    /** The cluster as this leader knows it; guarded by [lock]. */
    override val cluster = ClusterState(policy.runDecay, losses).apply { assignments.beginTerm(leaderLease.token) }

    /** Where the journal stands in the store. */
    override val journal = JournalState()

    /** Wakes the threads that place tasks and commit changes; guarded by [lock]. */
    override val signals = TermSignals(lock)
    private val reachability = ReachabilityMonitor(cluster, leaderLease, timing)

    /** Machine types that the store does not hold yet. */
    override var pendingTypes: MachineTypes? = null

    private val dependencies = JobDependencies(cluster)

    /** Watches the jobs in the store. */
    override val jobs =
        JobInformer(
            JobInformerState(lock, cluster, dependencies, signals),
            JobInformerSources(store, prerequisiteLists),
            clock,
            leaderLease.watermark,
            JobsListener(),
        )

    private val workerContext = WorkerContext(lock, cluster, leaderLease, signals, timing, clock, invariants)
    private val outstandingCommands = OutstandingCommands(workerContext) { now -> jobs.stalenessMs(now) < timing.ttlMs }

    /** What the workers' heartbeats change, and the responses to them. */
    val heartbeats = HeartbeatHandler(workerContext, outstandingCommands, reachability)

    /** Lease expiry, and whether the workers' heartbeats reach this node. */
    val liveness = WorkerLivenessMonitor(workerContext, reachability)

    /** Delivers commands to the workers. */
    val dispatch = CommandDispatcher(workerContext, outstandingCommands, workers, heartbeats)

    private val snapshots = SnapshotCache(cluster, dependencies, teams, timing, clock)
    private val schedulingCycle = SchedulingCycle(cluster, snapshots, dispatch, signals, policy, clock)
    private val loader = StateLoader(lock, cluster, journal, jobs, store, clock)

    /** Whether the state that earlier leaders wrote is read, so that this one may act on it. */
    val isLoaded: Boolean get() = workerContext.readyAt != null

    /** Open tasks that found no machine in the last scheduling cycle; the caller holds [lock]. */
    override val unplacedTasks: List<UnplacedTasks> get() = schedulingCycle.unplacedTasks

    /** How long a machine may go unreached before it is scaled in, in milliseconds. */
    override val unreachableTimeoutMs: Long get() = 2 * timing.leaseExpiryMs

    /**
     * Reads what earlier leaders wrote, in two steps: first the state that is needed to go on, then hints. Returns false once
     * everything is read.
     *
     * @throws StoreException if the store fails; the step is then to be repeated.
     */
    fun load(): Boolean {
        if (isLoaded) return loader.loadHints() == HintsLoad.LOADED
        loader.loadState()
        lock.withLock {
            workerContext.markReady(clock.now())
            log.info(
                "term={} loaded: {} jobs, {} assignments on {} machines",
                leaderLease.token,
                cluster.jobs.size,
                cluster.machines.values.sumOf { it.live.size },
                cluster.machines.size,
            )
        }
        return true
    }

    /**
     * Whether workers' leases may be renewed, as far as cancellations go. A renewal of the leader's lease shows who leads, not
     * what users were told: a node that the store refuses, or whose watch hangs, learns of no cancellation. Each lease that a
     * response renews must expire before the first cancellation that may be unknown has to be carried out.
     */
    fun mayRenewWorkerLeases(): Boolean = lock.withLock {
        if (isLoaded) jobs.stalenessMs(clock.now()) < timing.maxStalenessMs else clock.wall() < timing.renewalUntil(leaderLease.watermark)
    }

    /** For how long cancellations may have gone unnoticed, in milliseconds, or null before the state is loaded. */
    fun uninformedMs(): Long? = lock.withLock { if (isLoaded) jobs.stalenessMs(clock.now()) else null }

    /** Runs one scheduling cycle, unless the state is not loaded yet. */
    fun runSchedulingCycle() = lock.withLock {
        workerContext.readyAt?.let(schedulingCycle::run)
    }

    override val leaderModRevision: ModRevision get() = leaderLease.modRevision

    override fun onStartCommitted(machine: MachineId) = dispatch.queue(machine)

    override fun areMostUnreached(): Boolean = reachability.areMostUnreached()

    private inner class JobsListener : JobInformerListener {
        override fun isCancelledElsewhere(id: JobId) = jobKnowledge.isCancelled(id)

        override fun onRecord(record: JobRecord, modRevision: ModRevision) = jobKnowledge.onJobRecord(record, modRevision)

        override fun onCommandsDue(assignment: Assignment) = dispatch.queue(assignment.machine)
    }
}
