package mountmast.coordination.persistence

import mountmast.protocol.ModRevision

/**
 * The limits of one batch, and the stored forms that its values may have.
 *
 * @property limits sizes up to which values and the transaction are filled
 * @property journalSize how many slots the journal may use
 * @property mayCompress whether values may be compressed, since every node can read compressed values
 * @property areWritesScarce whether the leader's quota of the store's writes is nearly used up, so that writes that can wait are put off
 * @property maySplitTypes whether machine types that do not fit into one value may be written in parts
 */
internal class BatchOptions(
    val limits: WriteLimits,
    val journalSize: JournalSize,
    val mayCompress: Boolean,
    val areWritesScarce: Boolean,
    val maySplitTypes: Boolean,
)

/** Adds one kind of value to the leader's batches. Called with the lock of [PersistenceContext] held; does no I/O. */
internal interface BatchContributor {
    /** Adds to [batch] the values that are due, as far as the batch has operations left. */
    fun contribute(batch: WriteBatch, options: BatchOptions)

    /**
     * Makes the contributor add its latest values again, since the batch that held them may not be in the store. Does nothing in
     * contributors that add each value to every batch until the value is committed.
     */
    fun requeue() = Unit

    /** Updates the contributor's state once [batch] was committed at [modRevision]. */
    fun onCommitted(batch: WriteBatch, modRevision: ModRevision) = Unit
}
