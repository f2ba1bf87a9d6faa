package mountmast.coordination.jobs

import kotlinx.serialization.encodeToString
import mountmast.protocol.JobAnswer
import mountmast.protocol.WireJson
import mountmast.transport.UserAnswer

/** The result of a user's request. */
internal sealed interface RequestOutcome {
    /** The request accepted a new job. */
    class Accepted(val job: JobAnswer) : RequestOutcome

    /** The job was accepted before; [job] is its status after the request. */
    class Existing(val job: JobAnswer) : RequestOutcome

    class Rejected(val reason: RequestRejection) : RequestOutcome

    fun toUserAnswer(): UserAnswer = when (this) {
        is Accepted -> UserAnswer(201, WireJson.encodeToString(job))
        is Existing -> UserAnswer(200, WireJson.encodeToString(job))
        is Rejected -> reason.toUserAnswer()
    }
}

/** Whether a job was ever accepted, and its status if so. */
internal sealed interface JobLookup {
    class Found(val job: JobAnswer) : JobLookup

    data object NotFound : JobLookup

    /** Returns the status of the job if it was accepted, even if the request is invalid; otherwise returns [rejection]. */
    fun orReject(rejection: RequestRejection): RequestOutcome = when (this) {
        is Found -> RequestOutcome.Existing(job)
        NotFound -> RequestOutcome.Rejected(rejection)
    }
}
