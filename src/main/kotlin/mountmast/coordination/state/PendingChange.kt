package mountmast.coordination.state

import mountmast.protocol.JobId
import mountmast.protocol.MachineId

/** A change of the cluster state that the journal does not hold yet. Immutable; what it refers to is guarded as the [ClusterState] is. */
sealed interface PendingChange {
    /** The [assignment] was decided; its start may be sent once this is written. */
    class Started(val assignment: Assignment) : PendingChange

    /** The [assignment] is off its machine; it counts until this is written. */
    class Ended(val assignment: Assignment) : PendingChange

    /** The [machine] is reserved for [job], and the tasks named by [victims] are preempted for that. */
    class Reserved(val machine: MachineId, val job: JobId, val victims: List<String>) : PendingChange
}
