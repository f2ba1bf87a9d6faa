package mountmast.coordination.jobs

import mountmast.protocol.JobId
import mountmast.transport.UserAnswer
import mountmast.transport.errorBody

/**
 * Why a user's request is not carried out.
 *
 * @property status the HTTP status code
 * @property text the error message for the user, in the body
 * @property retryAfterS after how many seconds the user may send the same request again; 0 if that would not help
 */
internal sealed class RequestRejection(val status: Int, val text: String, val retryAfterS: Int = 0) {
    /** The body violates the protocol; [detail] says how. */
    class MalformedBody(detail: String?) : RequestRejection(400, detail ?: "malformed")

    /** The job's record without its prerequisites is larger than one value of the state service. */
    data object RecordTooLarge : RequestRejection(400, "names are too long")

    data object JobNotFound : RequestRejection(404, "no such job")

    /** The job could never run; [reason] names what prevents it, such as that a task fits no machine type or the job exceeds a quota. */
    class NeverRuns(reason: String) : RequestRejection(422, reason)

    class PrerequisiteNeverAccepted(id: JobId) : RequestRejection(422, "waitsOn: $id was never accepted")

    class PrerequisiteIsService(id: JobId) : RequestRejection(422, "waitsOn: $id is a service")

    /** The leader has not stored the machine types, or this node has not read them. */
    data object MachineTypesUnknown : RequestRejection(503, "machine types are not known yet", RETRY_AFTER_S)

    /** A node that cannot read prerequisites may still run, and would start the job before its prerequisites are done. */
    data object PrerequisitesUnsupported : RequestRejection(503, "a node of an earlier version may still be running", RETRY_AFTER_S)

    /** At each attempt, the job's key was modified between the read and the write. */
    data object ConcurrentChange : RequestRejection(503, "try again", RETRY_AFTER_S)

    data object RecordRejectedByStore : RequestRejection(503, "the state service does not take the record", RETRY_AFTER_S)

    /** Neither this node nor another could reach the state service. */
    data object StoreUnavailable : RequestRejection(503, "the state service does not answer", RETRY_AFTER_S)

    data object RecordUnreadable : RequestRejection(503, "the job's record cannot be read", RETRY_AFTER_S)

    fun toUserAnswer() = UserAnswer(status, errorBody(text), retryAfterS)

    private companion object {
        const val RETRY_AFTER_S = 1
    }
}
