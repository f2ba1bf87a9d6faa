package mountmast.coordination.controller

import mountmast.coordination.autoscaling.AutoscalingContext
import mountmast.coordination.election.LeaderLease
import mountmast.coordination.election.LeaseTiming
import mountmast.coordination.persistence.HintsLoad
import mountmast.coordination.persistence.JournalState
import mountmast.coordination.persistence.PersistenceContext
import mountmast.coordination.persistence.StateLoader
import mountmast.coordination.scheduling.SchedulingPolicy
import mountmast.coordination.scheduling.UnplacedTasks
import mountmast.coordination.state.Assignment
import mountmast.coordination.state.ClusterState
import mountmast.coordination.state.Invariants
import mountmast.coordination.state.JobDependencies
import mountmast.coordination.state.JobInformer
import mountmast.coordination.state.JobInformerListener
import mountmast.coordination.state.TaskLosses
import mountmast.coordination.state.TermSignals
import mountmast.coordination.workers.CommandDispatcher
import mountmast.coordination.workers.HeartbeatHandler
import mountmast.coordination.workers.OutstandingCommands
import mountmast.coordination.workers.ReachabilityMonitor
import mountmast.coordination.workers.WorkerContext
import mountmast.coordination.workers.WorkerLivenessMonitor
import mountmast.protocol.Clock
import mountmast.protocol.JobId
import mountmast.protocol.MachineId
import mountmast.protocol.MachineTypes
import mountmast.protocol.ModRevision
import mountmast.protocol.TeamId
import mountmast.protocol.TeamQuota
import mountmast.storage.JobRecord
import mountmast.storage.PrerequisiteLists
import mountmast.storage.StateStore
import mountmast.transport.WorkerClient
import org.slf4j.LoggerFactory
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

private val log = LoggerFactory.getLogger("mountmast.leader")

/** What one node does while it leads. All of its state is rebuilt by the next leader. */
class LeaderTerm(
    val leaderLease: LeaderLease,
    store: StateStore,
    workers: WorkerClient,
    teams: Map<TeamId, TeamQuota>,
    policy: SchedulingPolicy,
    private val timing: LeaseTiming,
    private val clock: Clock,
    /** Whether another node told of a job's cancellation. */
    private val isCancelled: (JobId) -> Boolean = { false },
    prerequisiteLists: PrerequisiteLists,
    /** Told of each record of a live job that is read. */
    private val onJobRecord: (JobRecord, ModRevision) -> Unit = { _, _ -> },
    losses: TaskLosses = TaskLosses(),
    invariants: Invariants = Invariants(),
) : PersistenceContext,
    AutoscalingContext {
    /** Guards the ledger and all parts of the term. Held for moments; never during I/O. */
    override val lock = ReentrantLock()
    override val cluster = ClusterState(policy.runDecay, losses).apply { beginTerm(leaderLease.token) }

    /** Where the journal stands in the store. */
    override val journal = JournalState()
    override val signals = TermSignals(lock)
    val reachability = ReachabilityMonitor(cluster, leaderLease, timing)

    /** Machine types that the store does not hold yet. */
    override var pendingTypes: MachineTypes? = null

    private val dependencies = JobDependencies(cluster)
    override val jobs =
        JobInformer(lock, cluster, dependencies, signals, store, prerequisiteLists, clock, leaderLease.watermark, JobsListener())

    private val workerContext = WorkerContext(lock, cluster, leaderLease, signals, timing, clock, invariants)
    private val outstandingCommands = OutstandingCommands(workerContext) { now -> jobs.unknownForMs(now) < timing.ttlMs }

    /** What the workers' heartbeats change, and the responses to them. */
    val heartbeats = HeartbeatHandler(workerContext, outstandingCommands, reachability)

    /** Lease expiry, and whether the workers' heartbeats reach this node. */
    val liveness = WorkerLivenessMonitor(workerContext, reachability)

    /** Delivers commands to the workers. */
    val dispatch = CommandDispatcher(workerContext, outstandingCommands, workers, heartbeats)

    private val snapshots = SnapshotCache(cluster, dependencies, teams, timing, clock)
    private val schedulingCycle = SchedulingCycle(cluster, snapshots, dispatch, signals, policy, clock)
    private val loader = StateLoader(lock, cluster, journal, jobs, store, clock)

    /** Whether what the leaders before wrote is read. */
    val ready: Boolean get() = workerContext.readyAt != null

    /** Open tasks that found no machine in the last pass; the caller holds the lock. */
    override val unplacedTasks: List<UnplacedTasks> get() = schedulingCycle.waiting

    /** How long a machine may hear nothing before it is returned. */
    override val unreachableTimeoutMs: Long get() = 2 * timing.leaseExpiryMs

    /** Reads everything from the store, in two steps: first what is needed to go on, then hints. False once all is read. */
    fun load(): Boolean {
        if (ready) return loader.loadHints() == HintsLoad.LOADED
        loader.loadState()
        lock.withLock {
            workerContext.markReady(clock.now())
            log.info(
                "term {}: {} jobs, {} assignments on {} machines",
                leaderLease.token,
                cluster.jobs.size,
                cluster.machines.values.sumOf { it.live.size },
                cluster.machines.size,
            )
        }
        return true
    }

    /**
     * Whether workers may be answered, as far as cancellations go. A renewal shows who leads, not what users were told: a
     * node that the state service refuses, or whose reading hangs, does not hear of cancellations. Each lease that an answer
     * renews must run out before the first that may be unknown has to be carried out.
     */
    fun mayRenewWorkerLeases(): Boolean = lock.withLock {
        if (ready) jobs.unknownForMs(clock.now()) < timing.informedMs else clock.wall() < timing.uninformedUntil(leaderLease.watermark)
    }

    /** How long ago the jobs were last known, or null before they are. */
    fun uninformedMs(): Long? = lock.withLock { if (ready) jobs.unknownForMs(clock.now()) else null }

    /** One pass of the scheduler. */
    fun runSchedulingCycle() = lock.withLock {
        workerContext.readyAt?.let(schedulingCycle::run)
    }

    override val leaderModRevision: ModRevision get() = leaderLease.modRevision

    override fun onStartCommitted(machine: MachineId) = dispatch.queue(machine)

    override fun areMostUnreached(): Boolean = reachability.areMostUnreached()

    private inner class JobsListener : JobInformerListener {
        override fun isCancelledElsewhere(id: JobId) = isCancelled(id)

        override fun onRecord(record: JobRecord, modRevision: ModRevision) = onJobRecord(record, modRevision)

        override fun onCommandsDue(assignment: Assignment) = dispatch.queue(assignment.machine)
    }
}
