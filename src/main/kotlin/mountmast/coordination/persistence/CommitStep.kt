package mountmast.coordination.persistence

/** Result of [JournalCommitter.commitNext]. */
sealed interface CommitStep {
    /** No transaction was sent: there was nothing to write, or nothing may be written yet. */
    data object NothingToWrite : CommitStep

    /** A transaction was committed; there may be more to write at once. */
    data object Written : CommitStep

    /** A transaction was not committed, or its outcome is unknown. While this node leads, a later call sends it or its contents again. */
    data object Failed : CommitStep
}
