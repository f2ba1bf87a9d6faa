package mountmast.coordination.state

import mountmast.protocol.JobId
import mountmast.protocol.ModRevision
import mountmast.storage.JobRecord

/** Receives the calls of a [JobInformer], each with the lock of the leader's term held. */
interface JobInformerListener {
    /** Returns whether another node has broadcast the cancellation of the job [id]. */
    fun isCancelledElsewhere(id: JobId): Boolean

    /** Called when the [record] of a live job was read, with the modification revision [modRevision]. */
    fun onRecord(record: JobRecord, modRevision: ModRevision)

    /** Called when there are commands to send to the worker that runs [assignment]. */
    fun onCommandsDue(assignment: Assignment)
}
