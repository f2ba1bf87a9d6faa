package mountmast.coordination.jobs

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.encodeToJsonElement
import mountmast.protocol.Clock
import mountmast.protocol.JobAnswer
import mountmast.protocol.JobId
import mountmast.protocol.JobStatus
import mountmast.protocol.ModRevision
import mountmast.protocol.WireJson
import mountmast.storage.Compare
import mountmast.storage.JobRecord
import mountmast.storage.Keys
import mountmast.storage.PrerequisiteLists
import mountmast.storage.StateStore
import mountmast.storage.Transaction
import mountmast.storage.TransactionResult
import mountmast.storage.Write

/**
 * Accepts one job for each id: a submission of an id that was accepted before is answered with the status of that job, whatever else
 * the submission says. Thread-safe.
 */
internal class JobSubmission(
    private val store: StateStore,
    private val validator: SubmissionValidator,
    private val prerequisiteLists: PrerequisiteLists,
    private val recordCache: UnconfirmedRecordCache,
    private val statusReader: JobStatusReader,
    private val clock: Clock,
) {
    /**
     * Accepts the job [id] that [submission] describes, unless [id] was accepted before. Throws `StoreException` if a request to the
     * state service fails; the job may then be accepted or not. Throws [IllegalArgumentException] if a stored record cannot be
     * decoded.
     */
    fun submit(id: JobId, submission: JsonObject): RequestOutcome = when (val check = validator.check(submission)) {
        is SubmissionCheck.Invalid -> statusReader.find(id).orReject(check.reason)
        is SubmissionCheck.Valid -> accept(JobRecord(check.spec, clock.wall()))
    }

    private fun accept(record: JobRecord): RequestOutcome {
        val id = record.spec.id
        if (!prerequisiteLists.fitsWithoutPrerequisites(record)) return statusReader.find(id).orReject(RequestRejection.RecordTooLarge)
        val stored = prerequisiteLists.store(record)
        val transaction = Transaction(
            listOf(Compare(Keys.job(id), ModRevision.ABSENT), Compare(Keys.finished(id), ModRevision.ABSENT)),
            listOf(Write.Put(Keys.job(id), WireJson.encodeToJsonElement(stored))),
        )
        return when (val result = store.commit(transaction)) {
            is TransactionResult.Committed -> {
                // The next submission may name this job as a prerequisite, and then needs no read of it.
                recordCache.putIfNewer(stored, ModRevision(result.revision.number))
                RequestOutcome.Accepted(JobAnswer(id, JobStatus.PENDING))
            }
            is TransactionResult.CompareFailed -> statusReader.find(id).orReject(RequestRejection.ConcurrentChange)
        }
    }
}
