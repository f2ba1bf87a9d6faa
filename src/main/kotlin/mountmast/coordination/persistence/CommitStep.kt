package mountmast.coordination.persistence

/** What one step of [JournalCommitter] did. */
sealed interface CommitStep {
    /** Nothing was sent: there was nothing to write, or nothing may be written yet. */
    data object NothingToWrite : CommitStep

    /** A transaction was committed; there may be more to write at once. */
    data object Written : CommitStep

    /** A transaction was not committed, or its outcome is unknown; the next step continues from there. */
    data object Failed : CommitStep
}
