package mountmast.coordination.autoscaling

import mountmast.coordination.scheduling.UnplacedTasks
import mountmast.coordination.state.ClusterState
import mountmast.coordination.state.TermSignals
import mountmast.protocol.MachineTypes
import java.util.concurrent.locks.ReentrantLock

/** What the classes that rent and return machines need of the leader's term that they work for. Guarded by [lock]. */
interface AutoscalingContext {
    /** Guards all that is named here. Held for moments; never during I/O. */
    val lock: ReentrantLock
    val cluster: ClusterState
    val signals: TermSignals

    /** Machine types that the store does not hold yet. */
    var pendingTypes: MachineTypes?

    /** Open tasks that found no machine when tasks were last placed. */
    val unplacedTasks: List<UnplacedTasks>

    /** How long a machine may hear nothing before it is returned, in milliseconds. */
    val unreachedPatienceMs: Long

    /** Whether so many workers hear nothing that the fault must be this node's. */
    fun areMostUnreached(): Boolean
}
