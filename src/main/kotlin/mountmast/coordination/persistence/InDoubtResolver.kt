package mountmast.coordination.persistence

import kotlinx.serialization.json.decodeFromJsonElement
import mountmast.protocol.ModRevision
import mountmast.protocol.WireJson
import mountmast.storage.JournalRecord
import mountmast.storage.StateStore

/** What became of the earlier attempts of a transaction whose compares fail now. */
internal sealed interface EarlierOutcome {
    /** One of them committed the batch, at [modRevision]. */
    class BatchCommitted(val modRevision: ModRevision) : EarlierOutcome

    /** One of them wrote the tombstone record, at [modRevision]: the batch was not committed and cannot be any more. */
    class TombstoneCommitted(val modRevision: ModRevision) : EarlierOutcome

    /** None of them was committed, nor will be. */
    data object NotCommitted : EarlierOutcome
}

/**
 * Finds out what became of a transaction that got no answer: only this leader writes in its term, so the slot of the journal that the
 * transaction depends on shows whether it was committed.
 */
internal class InDoubtResolver(private val store: StateStore) {
    /**
     * Returns what became of the attempts before [attempt], whose compares failed. Throws `StoreException` if the store cannot be
     * read, and `IllegalArgumentException` if the journal record is unreadable.
     */
    fun resolve(attempt: CommitAttempt): EarlierOutcome {
        if (attempt is CommitAttempt.First) return EarlierOutcome.NotCommitted
        val first = attempt.batch.journalRecords.firstOrNull() ?: return EarlierOutcome.NotCommitted
        val entry = store.get(first.key) ?: return EarlierOutcome.NotCommitted
        val stored = WireJson.decodeFromJsonElement<JournalRecord>(entry.value)
        return when {
            stored.number != first.number -> EarlierOutcome.NotCommitted
            attempt is CommitAttempt.Tombstone && attempt.isStoredAs(entry) -> EarlierOutcome.TombstoneCommitted(entry.modRevision)
            else -> EarlierOutcome.BatchCommitted(entry.modRevision)
        }
    }
}
