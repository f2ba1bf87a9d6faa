package mountmast.coordination.state

import mountmast.protocol.JobId
import mountmast.protocol.MachineId

/**
 * A change of the [ClusterState] that is not in the journal yet. Immutable, but the objects that it refers to are guarded by the lock
 * of the leader's term.
 */
sealed interface PendingChange {
    /** The [assignment] was made. Its start command may be sent once this change is in the journal. */
    class Started(val assignment: Assignment) : PendingChange

    /** The [assignment] has ended. It keeps its resources until this change is in the journal. */
    class Ended(val assignment: Assignment) : PendingChange

    /** The [machine] is reserved for [job], and the tasks named by [victims] are preempted for the reservation. */
    class Reserved(val machine: MachineId, val job: JobId, val victims: List<String>) : PendingChange
}
