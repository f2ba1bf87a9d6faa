package mountmast.coordination.persistence

import mountmast.coordination.state.ClusterState
import mountmast.coordination.state.JobInformer
import mountmast.coordination.state.TermSignals
import mountmast.protocol.MachineId
import mountmast.protocol.MachineTypes
import mountmast.protocol.ModRevision
import java.util.concurrent.locks.ReentrantLock

/** What the classes that persist the cluster state need of the leader's term that they write for. Guarded by [lock]. */
interface PersistenceContext {
    /** Guards all that is named here. Held for moments; never during I/O. */
    val lock: ReentrantLock

    /** Version of the leader's key, on which every write of the term depends. */
    val leaderModRevision: ModRevision
    val cluster: ClusterState
    val journal: JournalState
    val jobs: JobInformer
    val signals: TermSignals

    /** Machine types that the store does not hold yet. */
    var pendingTypes: MachineTypes?

    /** Called once the start of a task on [machine] is in the store, so that it may be sent. */
    fun onStartCommitted(machine: MachineId)
}
