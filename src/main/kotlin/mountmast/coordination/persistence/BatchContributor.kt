package mountmast.coordination.persistence

import mountmast.protocol.ModRevision

/**
 * How a batch is filled.
 *
 * @property limits sizes up to which values are filled
 * @property journalSize how many slots the journal may use
 * @property isCompact whether every node reads the compressed forms
 * @property isScarce whether the leader's share of the store's writes is nearly used up, so that what can wait should
 * @property maySplitTypes whether machine types that do not fit into one value may be written in parts
 */
internal class BatchOptions(
    val limits: WriteLimits,
    val journalSize: JournalSize,
    val isCompact: Boolean,
    val isScarce: Boolean,
    val maySplitTypes: Boolean,
)

/** Writes one kind of value in the leader's transactions. Called with the lock of [PersistenceContext] held; does no I/O. */
internal interface BatchContributor {
    /** Adds what is due to [batch], as far as it has operations left. */
    fun contribute(batch: WriteBatch, options: BatchOptions)

    /** Makes the contributor write again what it added last, which may not be in the store. Does nothing for values that can be lost. */
    fun requeue() = Unit

    /** Updates the contributor's state once [batch] was committed at [modRevision]. */
    fun onCommitted(batch: WriteBatch, modRevision: ModRevision) = Unit
}
