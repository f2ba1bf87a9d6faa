package mountmast.coordination.state

import mountmast.protocol.JobId
import mountmast.protocol.ModRevision
import mountmast.storage.JobRecord

/** What the [JobInformer] calls on others, with the lock of the leader's term held. */
interface JobInformerListener {
    /** Whether another node broadcast the cancellation of the job [id]. */
    fun isCancelledElsewhere(id: JobId): Boolean

    /** The [record] of a live job was read, at [modRevision]. */
    fun onRecord(record: JobRecord, modRevision: ModRevision)

    /** There are commands for the worker that [assignment] is with. */
    fun onCommandsDue(assignment: Assignment)
}
