package mountmast.coordination.controller

import mountmast.coordination.scheduling.UnplacedTasks
import mountmast.coordination.state.ClusterState
import mountmast.coordination.state.Job
import mountmast.protocol.MonotonicTime
import org.slf4j.LoggerFactory

private val log = LoggerFactory.getLogger("mountmast.leader")

/** Logs for operators which jobs are stalled or late. Guarded by the lock of its [ClusterState]. */
internal class StalledJobReporter(private val cluster: ClusterState) {
    /** Logs each job whose deadline has passed, once; [secondsUntilDue] returns the time left, negative after the deadline. */
    fun logLateJobs(secondsUntilDue: (Job) -> Double) {
        for (job in cluster.jobs.values) {
            if (job.isReportedLate || job.isCancelled || secondsUntilDue(job) >= 0) continue
            job.recordLateReport()
            if (job.isReleased) logLate(job) else logLateDependent(job)
        }
    }

    private fun logLate(job: Job) = log.info(
        "job={} is late: {} of {} tasks are done, {} placed",
        job.id,
        job.doneCount,
        job.spec.tasks,
        job.unreleasedAssignments.size,
    )

    private fun logLateDependent(job: Job) {
        val open = job.unmetDependencies.open
        log.info("job={} is late: it waits for {} prerequisites, among them {}", job.id, open.size, open.take(MAX_PREREQUISITES_LOGGED))
    }

    /**
     * Logs each job of [unplacedTasks] without progress for [STALL_TIMEOUT_MS]: for how long, and the resources it needs. A job is logged
     * at most once in [MIN_REPORT_INTERVAL_MS].
     */
    fun logStalledJobs(unplacedTasks: List<UnplacedTasks>, now: MonotonicTime) {
        for (unplaced in unplacedTasks) {
            val job = cluster.jobs[unplaced.job] ?: continue
            val stalledMs = now - job.lastProgressAt
            val loggedAt = job.lastStallReport
            if (stalledMs < STALL_TIMEOUT_MS || (loggedAt != null && now - loggedAt < MIN_REPORT_INTERVAL_MS)) continue
            job.recordStallReport(now)
            log.info(
                "job={} has been stalled for {} s: {} tasks of {} CPUs and {} GB wait for a machine with free capacity",
                job.id,
                stalledMs / 1000,
                unplaced.count,
                job.spec.cpus,
                job.spec.memoryGb,
            )
        }
    }

    private companion object {
        const val MAX_PREREQUISITES_LOGGED = 5
        const val STALL_TIMEOUT_MS = 30_000L
        const val MIN_REPORT_INTERVAL_MS = 60_000L
    }
}
