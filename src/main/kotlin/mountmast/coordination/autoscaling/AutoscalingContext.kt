package mountmast.coordination.autoscaling

import mountmast.coordination.scheduling.UnplacedTasks
import mountmast.coordination.state.ClusterState
import mountmast.coordination.state.TermSignals
import mountmast.protocol.MachineTypes
import java.util.concurrent.locks.ReentrantLock

/** What the autoscaler needs of the leader's term in which it runs. Guarded by [lock]. */
interface AutoscalingContext {
    /** The lock of the leader's term, which guards all other properties. Held only briefly, and never during I/O. */
    val lock: ReentrantLock
    val cluster: ClusterState

    /** Wakes the thread that writes the journal, after a change that has to be stored. */
    val signals: TermSignals

    /** The machine types to write to the store, or null if the store holds the current ones. */
    var pendingMachineTypes: MachineTypes?

    /** The open tasks that found no machine in the last scheduling cycle. */
    val unplacedTasks: List<UnplacedTasks>

    /** For how long a machine may be unreachable before it is scaled in, in milliseconds. */
    val unreachableTimeoutMs: Long

    /** Whether so many machines are unreachable that the fault must lie with this node. */
    fun areMostMachinesUnreachable(): Boolean
}
