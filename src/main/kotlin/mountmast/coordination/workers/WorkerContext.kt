package mountmast.coordination.workers

import mountmast.coordination.election.LeaderLease
import mountmast.coordination.election.LeaseTiming
import mountmast.coordination.state.ClusterState
import mountmast.coordination.state.Invariants
import mountmast.coordination.state.TermSignals
import mountmast.protocol.Clock
import mountmast.protocol.MonotonicTime
import java.util.concurrent.locks.ReentrantLock

/**
 * Dependencies shared by the classes of a leader's term that communicate with workers. [cluster] and [signals] are guarded by [lock], the
 * lock of the leader's term, which is never held during I/O.
 */
class WorkerContext(
    val lock: ReentrantLock,
    val cluster: ClusterState,
    val leaderLease: LeaderLease,
    val signals: TermSignals,
    val timing: LeaseTiming,
    val clock: Clock,
    val invariantChecker: Invariants = Invariants(),
    val forgottenAttempts: ForgottenAttempts = ForgottenAttempts(),
) {
    /** When this leader had loaded its state, or null before that. While it is null, no heartbeat is reconciled and no lease expires. */
    @Volatile
    var readyAt: MonotonicTime? = null
        private set

    /** Sets [readyAt] to [now]: from then on heartbeats are reconciled. The caller holds [lock]. */
    fun markReady(now: MonotonicTime) {
        readyAt = now
    }
}
