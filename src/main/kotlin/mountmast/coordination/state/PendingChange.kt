package mountmast.coordination.state

import mountmast.protocol.JobId
import mountmast.protocol.MachineId

/** What the journal does not say yet, in the order in which it happened. */
sealed interface PendingChange {
    /** [assignment] was decided; its start may be sent once this is written. */
    class Started(val assignment: Assignment) : PendingChange

    /** [assignment] is off its machine; it counts until this is written. */
    class Ended(val assignment: Assignment) : PendingChange

    /** [machine] is kept for [job], and [victims] are stopped for that. */
    class Reserved(val machine: MachineId, val job: JobId, val victims: List<String>) : PendingChange
}
