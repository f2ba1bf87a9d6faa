package mountmast.coordination.state

import mountmast.storage.JournalText
import mountmast.storage.Ranges

/** Writes the tasks and machines of a [ClusterState] as a snapshot holds them, in the journal's form. */
internal object ClusterStateText {
    private const val LONGEST_RANGES = 300

    /**
     * What the store holds by now of [jobs]. What ended since is listed as live, and what is only intended is left out: the
     * journal tells of both from here on.
     */
    fun of(jobs: Collection<Job>): String {
        val text = JournalText()
        for (job in jobs) {
            for (ranges in Ranges.encode(job.done, LONGEST_RANGES)) text.done(job.id, ranges)
            for (times in job.preemptions.int2IntEntrySet()) text.preemptedBefore("${job.id}/${times.intKey}", times.intValue)
            for (it in job.live.values) if (it.written) text.started(it.taskName, it.machine, it.incarnation, it.attempt, it.zone)
        }
        return text.take()
    }
}
