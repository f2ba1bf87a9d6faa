package mountmast.coordination.jobs

import mountmast.storage.FinishedJobRecord
import mountmast.storage.JobRecord

/** What the state service holds of a job at the moment of a read. */
internal sealed interface JobState {
    /** Accepted and not finished; [record] may say that it is cancelled. */
    class Live(val record: JobRecord) : JobState

    /** Done or cancelled, for ever. */
    class Finished(val record: FinishedJobRecord) : JobState

    /** Never accepted. */
    data object Unknown : JobState
}
