package mountmast.coordination.state

import mountmast.storage.JournalText
import mountmast.storage.Ranges

/** Writes the tasks and assignments of a [ClusterState] as the text of a snapshot, which has the same form as the journal. */
internal object ClusterStateText {
    private const val MAX_RANGES_LENGTH = 300

    /**
     * The tasks and assignments of [jobs] that the store lists now. An assignment that has ended but is still in the store is
     * listed, and one that is not in the store yet is left out: the journal entries after the snapshot record both changes.
     */
    fun of(jobs: Collection<Job>): String {
        val text = JournalText()
        for (job in jobs) {
            for (ranges in Ranges.encode(job.done, MAX_RANGES_LENGTH)) text.done(job.id, ranges)
            for (times in job.preemptions.int2IntEntrySet()) text.preemptedBefore("${job.id}/${times.intKey}", times.intValue)
            for (it in job.unreleasedAssignments.values) {
                if (it.isJournaled) text.started(it.taskName, it.machine, it.incarnation, it.attempt, it.zone)
            }
        }
        return text.take()
    }
}
