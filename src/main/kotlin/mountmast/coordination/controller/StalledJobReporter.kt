package mountmast.coordination.controller

import mountmast.coordination.scheduling.UnplacedTasks
import mountmast.coordination.state.ClusterState
import mountmast.coordination.state.Job
import mountmast.protocol.MonotonicTime
import org.slf4j.LoggerFactory

private val log = LoggerFactory.getLogger("mountmast.leader")

/** Logs which jobs are stalled or late, for operators. Guarded by the lock of its [ClusterState]. */
internal class StalledJobReporter(private val cluster: ClusterState) {
    /** Logs each job whose deadline has passed, once; [untilDueS] tells the seconds left. */
    fun logLateJobs(untilDueS: (Job) -> Double) {
        for (job in cluster.jobs.values) {
            if (job.isReportedLate || job.isCancelled || untilDueS(job) >= 0) continue
            job.recordLateReport()
            if (job.isReleased) logLate(job) else logLateDependent(job)
        }
    }

    private fun logLate(job: Job) =
        log.info("job={} is late: {} of {} tasks are done, {} placed", job.id, job.doneCount, job.spec.tasks, job.live.size)

    private fun logLateDependent(job: Job) {
        val open = job.unmetDependencies.open
        log.info("job={} is late: it waits for {} jobs, among them {}", job.id, open.size, open.take(MAX_NAMED))
    }

    /** Logs which of the jobs that wait for capacity are stalled, for how long and what they need; once a minute for each. */
    fun logStalledJobs(unplacedTasks: List<UnplacedTasks>, now: MonotonicTime) {
        for (demand in unplacedTasks) {
            val job = cluster.jobs[demand.job] ?: continue
            val stalledMs = now - job.lastProgress
            val loggedAt = job.lastStallReport
            if (stalledMs < STALL_MS || (loggedAt != null && now - loggedAt < STALL_REPEAT_MS)) continue
            job.recordStallReport(now)
            log.info(
                "job={} is stalled for {} s: {} tasks of {} CPUs and {} GB wait for a machine with free capacity",
                job.id,
                stalledMs / 1000,
                demand.count,
                job.spec.cpus,
                job.spec.memoryGb,
            )
        }
    }

    private companion object {
        const val MAX_NAMED = 5
        const val STALL_MS = 30_000L
        const val STALL_REPEAT_MS = 60_000L
    }
}
