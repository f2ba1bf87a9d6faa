package mountmast.coordination.persistence

import kotlinx.serialization.json.decodeFromJsonElement
import mountmast.protocol.ModRevision
import mountmast.protocol.WireJson
import mountmast.storage.JournalRecord
import mountmast.storage.StateStore

/** Outcome of the earlier attempts at a batch, as found after a compare of the latest attempt failed. */
internal sealed interface EarlierOutcome {
    /** An earlier attempt committed the batch, at [modRevision]. */
    class BatchCommitted(val modRevision: ModRevision) : EarlierOutcome

    /** An earlier attempt committed the tombstone, at [modRevision]: the batch was not committed and cannot be any more. */
    class TombstoneCommitted(val modRevision: ModRevision) : EarlierOutcome

    /**
     * No earlier attempt wrote the batch's journal records, nor will one: the compare that failed cannot hold again. A batch without
     * journal records may have been committed all the same; then its contents are written again, or its failed compares are resolved.
     */
    data object NotCommitted : EarlierOutcome
}

/**
 * Determines the outcome of a batch in doubt, that is, one whose transaction got no answer. Only the leader writes to the journal in its
 * term, so the slot of the batch's first journal record shows whether the batch was committed.
 */
internal class InDoubtResolver(private val store: StateStore) {
    /**
     * Returns the outcome of the attempts before [attempt], of which a compare failed. Throws `StoreException` if the store cannot be
     * read, and `IllegalArgumentException` if the journal record cannot be decoded.
     */
    fun findOutcome(attempt: CommitAttempt): EarlierOutcome {
        if (attempt is CommitAttempt.First) return EarlierOutcome.NotCommitted
        val firstRecord = attempt.batch.journalRecords.firstOrNull() ?: return EarlierOutcome.NotCommitted
        val entry = store.get(firstRecord.key) ?: return EarlierOutcome.NotCommitted
        val stored = WireJson.decodeFromJsonElement<JournalRecord>(entry.value)
        return when {
            stored.number != firstRecord.number -> EarlierOutcome.NotCommitted
            attempt is CommitAttempt.Tombstone && attempt.isStoredIn(entry) -> EarlierOutcome.TombstoneCommitted(entry.modRevision)
            else -> EarlierOutcome.BatchCommitted(entry.modRevision)
        }
    }
}
