package mountmast.coordination.jobs

import kotlinx.serialization.json.decodeFromJsonElement
import kotlinx.serialization.json.encodeToJsonElement
import mountmast.protocol.JobId
import mountmast.protocol.WireJson
import mountmast.storage.Compare
import mountmast.storage.Entry
import mountmast.storage.JobRecord
import mountmast.storage.Keys
import mountmast.storage.StateStore
import mountmast.storage.Transaction
import mountmast.storage.TransactionResult
import mountmast.storage.Write

/** Cancels jobs in the state service; cancelling a job again changes nothing. Thread-safe. */
internal class JobCancellation(private val store: StateStore, private val statusReader: JobStatusReader, private val localNode: HostNode) {
    /**
     * Cancels [id] unless it is finished, and returns its status. Rejects the request if the job was never accepted, or if its record
     * changed between the read and the write at each of [MAX_COMMIT_ATTEMPTS] attempts. Throws `StoreException` if a request to the
     * state service fails; the cancellation may then be committed or not. Throws [IllegalArgumentException] if a stored record
     * cannot be decoded.
     */
    fun cancel(id: JobId): RequestOutcome {
        repeat(MAX_COMMIT_ATTEMPTS) {
            val entry = store.get(Keys.job(id)) ?: return statusReader.find(id).orReject(RequestRejection.JobNotFound)
            val record = WireJson.decodeFromJsonElement<JobRecord>(entry.value)
            if (record.cancelled || commitCancellation(entry, record) is TransactionResult.Committed) return broadcastAndCache(record)
        }
        return RequestOutcome.Rejected(RequestRejection.ConcurrentChange)
    }

    /** Writes [record] as cancelled, unless the key of [entry] was modified after [entry] was read. */
    private fun commitCancellation(entry: Entry, record: JobRecord): TransactionResult {
        // The leader's transaction that replaces a finished job's record by its final state compares the key of that record as well. So a
        // cancellation and a completion of the same job are never both committed.
        val transaction = Transaction(
            listOf(Compare(entry.key, entry.modRevision)),
            listOf(Write.Put(entry.key, WireJson.encodeToJsonElement(record.copy(cancelled = true)))),
        )
        return store.commit(transaction)
    }

    private fun broadcastAndCache(record: JobRecord): RequestOutcome {
        localNode.onCancelled(record.spec.id)
        return RequestOutcome.Existing(statusReader.cacheCancelled(record))
    }

    private companion object {
        const val MAX_COMMIT_ATTEMPTS = 3
    }
}
