package mountmast.coordination.jobs

import kotlinx.serialization.encodeToString
import mountmast.protocol.JobAnswer
import mountmast.protocol.WireJson
import mountmast.transport.UserAnswer

/** What a user's request led to. */
internal sealed interface RequestOutcome {
    /** The request accepted a new job. */
    class Accepted(val job: JobAnswer) : RequestOutcome

    /** The job was accepted before; [job] is how it stands after the request. */
    class Existing(val job: JobAnswer) : RequestOutcome

    class Rejected(val reason: RequestRejection) : RequestOutcome

    fun toUserAnswer(): UserAnswer = when (this) {
        is Accepted -> UserAnswer(201, WireJson.encodeToString(job))
        is Existing -> UserAnswer(200, WireJson.encodeToString(job))
        is Rejected -> reason.toUserAnswer()
    }
}

/** Whether a job was ever accepted, and how it stands. */
internal sealed interface JobLookup {
    class Found(val job: JobAnswer) : JobLookup

    data object NotFound : JobLookup

    /** The job as it stands if it was accepted, else [rejection]: a job that exists is answered whatever is wrong with the request. */
    fun orReject(rejection: RequestRejection): RequestOutcome = when (this) {
        is Found -> RequestOutcome.Existing(job)
        NotFound -> RequestOutcome.Rejected(rejection)
    }
}
