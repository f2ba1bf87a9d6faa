package mountmast.coordination.persistence

import mountmast.coordination.state.ClusterState
import mountmast.coordination.state.JobInformer
import mountmast.coordination.state.TermSignals
import mountmast.protocol.MachineId
import mountmast.protocol.MachineTypes
import mountmast.protocol.ModRevision
import java.util.concurrent.locks.ReentrantLock

/** What the persistence classes need of the leader's term. Guarded by [lock]. */
interface PersistenceContext {
    /** Guards all properties of this interface. Held only briefly, and never during I/O. */
    val lock: ReentrantLock

    /** Modification revision of the leader's key, which every transaction of the term compares. */
    val leaderModRevision: ModRevision

    /** The cluster state to persist. */
    val cluster: ClusterState

    /** Which part of the cluster state the journal and the snapshot in the store hold. */
    val journal: JournalState

    /** The informer that keeps the leader's live jobs up to date. */
    val jobs: JobInformer

    /** Wakes the thread that runs scheduling cycles, for example when committed changes have freed capacity. */
    val signals: TermSignals

    /** Machine types that the store does not hold yet; null once it holds the current ones. */
    var pendingMachineTypes: MachineTypes?

    /** Called, with [lock] held, when the start of a task on [machine] is committed: it may now be sent to the worker. */
    fun onStartCommitted(machine: MachineId)
}
