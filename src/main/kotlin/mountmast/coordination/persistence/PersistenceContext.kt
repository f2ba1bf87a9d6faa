package mountmast.coordination.persistence

import mountmast.coordination.state.ClusterState
import mountmast.coordination.state.JobInformer
import mountmast.coordination.state.TermSignals
import mountmast.protocol.MachineId
import mountmast.protocol.MachineTypes
import mountmast.protocol.ModRevision
import java.util.concurrent.locks.ReentrantLock

/** The leader's term, as far as the classes that persist its cluster state need it. Guarded by [lock]. */
interface PersistenceContext {
    /** Guards all that is named here. Held for moments; never during I/O. */
    val lock: ReentrantLock

    /** Modification revision of the leader's key, on which every transaction of the term depends. */
    val leaderModRevision: ModRevision

    /** The state to persist. */
    val cluster: ClusterState

    /** What the store holds of it. */
    val journal: JournalState

    /** The live jobs as the leader knows them. */
    val jobs: JobInformer

    /** Wakes the scheduler once capacity is free. */
    val signals: TermSignals

    /** Machine types that the store does not hold yet; null once it does. */
    var pendingTypes: MachineTypes?

    /** Called, with [lock] held, once the start of a task on [machine] is in the store, so that it may be sent. */
    fun onStartCommitted(machine: MachineId)
}
