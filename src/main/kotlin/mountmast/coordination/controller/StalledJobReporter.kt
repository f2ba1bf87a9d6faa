package mountmast.coordination.controller

import mountmast.coordination.scheduling.UnplacedTasks
import mountmast.coordination.state.ClusterState
import mountmast.coordination.state.Job
import mountmast.protocol.MonotonicTime
import org.slf4j.LoggerFactory

private val log = LoggerFactory.getLogger("mountmast.leader")

/** Tells operators which jobs stall or are late. Guarded as its [ClusterState] is. */
class StalledJobReporter(private val cluster: ClusterState) {
    /** Tells operators once of each job whose deadline has passed. */
    fun tellLate(untilDueS: (Job) -> Double) {
        for (job in cluster.jobs.values) {
            if (job.calledLate || job.cancelled || untilDueS(job) >= 0) continue
            job.calledLate = true
            if (job.isReleased) tellLate(job) else tellWaiting(job)
        }
    }

    private fun tellLate(job: Job) =
        log.info("job {} is late: {} of {} tasks are done, {} placed", job.id, job.doneCount, job.spec.tasks, job.live.size)

    private fun tellWaiting(job: Job) {
        val open = job.unmetDependencies.open
        log.info("job {} is late: it waits for {} jobs, among them {}", job.id, open.size, open.take(MAX_NAMED))
    }

    /** Tells operators which jobs stall, for how long and what they wait for. */
    fun tellStalls(waiting: List<UnplacedTasks>, now: MonotonicTime) {
        for (waits in waiting) {
            val job = cluster.jobs[waits.job] ?: continue
            val since = now - job.lastProgress
            val told = job.lastStallReport
            if (since < STALL_MS || (told != null && now - told < STALL_REPEAT_MS)) continue
            job.lastStallReport = now
            log.info(
                "job {} stalls for {} s: {} tasks of {} CPUs and {} GB wait for a machine with room",
                job.id,
                since / 1000,
                waits.count,
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
