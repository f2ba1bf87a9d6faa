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

/** Cancels jobs in the state service; repeating a cancellation is harmless. Thread-safe. */
internal class JobCancellation(private val store: StateStore, private val statuses: JobStatusReader, private val node: HostNode) {
    /**
     * Cancels [id] unless it is finished. Throws `StoreException` if the state service fails, after which the job may be cancelled
     * or not, and [IllegalArgumentException] if its record cannot be decoded.
     */
    fun cancel(id: JobId): RequestOutcome {
        repeat(MAX_ATTEMPTS) {
            val entry = store.get(Keys.job(id)) ?: return statuses.find(id).orReject(RequestRejection.JobNotFound)
            val record = WireJson.decodeFromJsonElement<JobRecord>(entry.value)
            if (record.cancelled || commitCancellation(entry, record) is TransactionResult.Committed) return confirm(record)
        }
        return RequestOutcome.Rejected(RequestRejection.ConcurrentChange)
    }

    /** Writes that the job in [record] is cancelled, unless [entry] has changed since it was read. */
    private fun commitCancellation(entry: Entry, record: JobRecord): TransactionResult {
        // Done and cancelled race on this key: only one of them finds the revision it expects.
        val transaction = Transaction(
            listOf(Compare(entry.key, entry.modRevision)),
            listOf(Write.Put(entry.key, WireJson.encodeToJsonElement(record.copy(cancelled = true)))),
        )
        return store.commit(transaction)
    }

    private fun confirm(record: JobRecord): RequestOutcome {
        node.onCancelled(record.spec.id)
        return RequestOutcome.Existing(statuses.cacheCancelled(record))
    }

    private companion object {
        const val MAX_ATTEMPTS = 3
    }
}
