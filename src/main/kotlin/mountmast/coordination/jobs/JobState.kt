package mountmast.coordination.jobs

import mountmast.storage.FinishedJobRecord
import mountmast.storage.JobRecord

/** The state of a job that the state service held at the moment of a read. */
internal sealed interface JobState {
    /** The job was accepted, and its final state is not written yet; [record] may say that the job is cancelled. */
    class Live(val record: JobRecord) : JobState

    /** The job is done or cancelled, which never changes. */
    class Finished(val record: FinishedJobRecord) : JobState

    /** The job was never accepted. */
    data object Unknown : JobState
}
