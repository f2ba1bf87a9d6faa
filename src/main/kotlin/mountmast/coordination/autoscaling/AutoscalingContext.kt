package mountmast.coordination.autoscaling

import mountmast.coordination.scheduling.UnplacedTasks
import mountmast.coordination.state.ClusterState
import mountmast.coordination.state.TermSignals
import mountmast.protocol.MachineTypes
import java.util.concurrent.locks.ReentrantLock

/** What the autoscaler needs of the leader's term that it works for. Guarded by [lock]. */
interface AutoscalingContext {
    /** Guards everything named here. Held for moments; never during I/O. */
    val lock: ReentrantLock
    val cluster: ClusterState
    val signals: TermSignals

    /** Machine types that the store does not hold yet, or null. */
    var pendingTypes: MachineTypes?

    /** Open tasks that found no machine in the last scheduling cycle. */
    val unplacedTasks: List<UnplacedTasks>

    /** How long a worker may be unreachable before its machine is scaled in, in milliseconds. */
    val unreachableTimeoutMs: Long

    /** Whether so many workers are unreachable that the fault must be this node's. */
    fun areMostUnreached(): Boolean
}
