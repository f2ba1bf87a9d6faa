package mountmast.coordination.state

import mountmast.protocol.JobId
import mountmast.protocol.MachineId
import mountmast.protocol.MonotonicTime
import mountmast.storage.FailingJob
import org.slf4j.LoggerFactory
import kotlin.math.ceil

private val log = LoggerFactory.getLogger("mountmast.health")

/** Tells faulty and slow machines from jobs that fail or run long on every machine. Guarded by the lock of the leader's term. */
class Health(private val cluster: ClusterState) {
    /**
     * Records that an attempt of [job] failed on [machine] at [now], after running for [ranS] seconds. Quarantines the machine after
     * [QUARANTINE_THRESHOLD] consecutive failures on it.
     */
    fun recordFailure(machine: Machine, job: Job, ranS: Double, now: MonotonicTime) {
        // One failure may be chance, but a faulty machine is always empty and would therefore get one task after the other.
        machine.health.pausePlacementUntil(now + FAILURE_PAUSE_MS)
        val isFirstOnMachine = job.recentFailures.record(machine.id, ranS)
        if (job.isOnTrial) {
            backOff(job, now, isFirstOnMachine)
        } else if (job.doneCount > 0 || job.id !in machine.consecutiveFailures) {
            // A job without a completed task may fail on every machine, so its failures count only once against this machine.
            machine.health.addFailure(job.id)
        }
        if (machine.consecutiveFailures.size >= QUARANTINE_THRESHOLD && !machine.isQuarantined) {
            machine.health.quarantine()
            log.info("machine={} quarantined: {} tasks failed in a row", machine.id, machine.consecutiveFailures.size)
            disregardFailuresOn(machine)
        }
    }

    /**
     * Delays the next attempt of [job], which is on trial. Attempts that began before may fail during the delay, and do not prolong it.
     * The delays double with each machine on which the job fails, and so do those between requests for machines: a job that fails on
     * every machine would otherwise have one machine after the other rented. [isFirstOnMachine] tells whether the machine is a new one.
     */
    private fun backOff(job: Job, now: MonotonicTime, isFirstOnMachine: Boolean) {
        val failures = job.recentFailures
        val trials = failures.machineCount - Job.MIN_FAILED_MACHINES
        if (isFirstOnMachine) failures.pauseRentalsUntil(now + rentalDelayMs(trials))
        if (now < failures.notBefore) return
        failures.pausePlacementUntil(now + (MIN_BACKOFF_MS shl minOf(trials, MAX_BACKOFF_DOUBLINGS)))
        log.info(
            "job={} failed on {} machines; next attempt in {} ms, next machine in {} ms",
            job.id,
            failures.machineCount,
            failures.notBefore - now,
            maxOf(0, failures.rentalNotBefore - now),
        )
    }

    /** Returns the delay before a machine may be requested for a job of which [trials] trials failed, in milliseconds. */
    private fun rentalDelayMs(trials: Int): Long =
        if (trials == 0) 0 else MIN_RENTAL_DELAY_MS shl minOf(trials - 1, MAX_RENTAL_DELAY_DOUBLINGS)

    /**
     * Ends the trial of the job of [assignment] if a heartbeat received at [now] shows that the attempt is running for far longer than the
     * attempts that failed: the machines were at fault, then. A service never completes a task that would show the same.
     */
    fun recordRunning(assignment: Assignment, now: MonotonicTime) {
        val job = assignment.job
        if (!job.isOnTrial) return
        val since = assignment.runningSince ?: return
        val failures = job.recentFailures
        if ((now - since) / MS_PER_S <= failures.longestRunS * TRIAL_RUN_FACTOR + TRIAL_RUN_EXTRA_S) return
        log.info("job={} runs on machine={}, after failures on {} machines", job.id, assignment.machine, failures.machineCount)
        failures.acquit()
    }

    /**
     * The jobs on trial, at most [limit] of them. They are stored for the next leader, which would otherwise start all of their tasks
     * again. Holds only as much as [restoreFailingJobs] needs, so that the stored record soon stops changing.
     */
    fun failingJobs(limit: Int): Map<JobId, FailingJob> {
        val failing = LinkedHashMap<JobId, FailingJob>()
        for (job in cluster.jobs.values) {
            if (failing.size >= limit) break
            if (!job.isOnTrial || job.isCancelled) continue
            failing[job.id] = FailingJob(
                job.failedMachines.take(MAX_RECORDED_MACHINES),
                minOf(job.recentFailures.machineCount, Job.MIN_FAILED_MACHINES + MAX_RENTAL_DELAY_DOUBLINGS + 1),
                ceil(job.recentFailures.longestRunS),
            )
        }
        return failing
    }

    /** Backs off, from [now] on, the jobs that the previous leader recorded by [failingJobs]. Completed tasks must be known already. */
    fun restoreFailingJobs(failing: Map<JobId, FailingJob>, now: MonotonicTime) {
        for ((id, recorded) in failing) {
            val job = cluster.jobs[id] ?: continue
            job.recentFailures.restore(recorded)
            if (job.isOnTrial) backOff(job, now, isFirstOnMachine = true)
        }
    }

    /** Removes [machine] from the failures of all jobs: a failure on a faulty machine is no evidence against the job. */
    private fun disregardFailuresOn(machine: Machine) {
        for (job in cluster.jobs.values) {
            if (job.recentFailures.disregard(machine.id) && !job.isOnTrial) job.recentFailures.endPauses()
        }
    }

    /** Removes the machines that are deleted, or are about to be, from the failures of all jobs. */
    fun dropRemovedMachines() {
        for (job in cluster.jobs.values) {
            job.recentFailures.dropMachines { id -> cluster.machines[id].let { it == null || it.isDeleting } }
        }
    }

    /** Records that the task of [assignment] completed on [machine] after running for [runS] seconds. */
    fun recordCompletion(machine: Machine, assignment: Assignment, runS: Double) {
        val job = assignment.job
        if (isSlow(job, machine.id, runS)) {
            markStraggler(machine, assignment)
        } else if (!assignment.isStraggler) {
            machine.health.clearStragglers()
        }
        // The run time on a slow machine does not show how long the job's tasks take on other machines.
        if (!assignment.isStraggler) {
            job.runStatistics.recordRun(runS)
        }
    }

    /**
     * Whether a run of [runS] seconds is far longer than the job's tasks take on other machines. The owner's estimate is a lower
     * bound for the comparison, since a task that was first reported late in its run seems short. A job that was slow on
     * [MAX_SLOW_MACHINES] machines is taken to be long, and no further machine counts as slow for it.
     */
    private fun isSlow(job: Job, machine: MachineId, runS: Double): Boolean {
        if (job.runCount < MIN_RUNS_TO_COMPARE) return false
        if (machine !in job.slowMachines && job.slowMachines.size >= MAX_SLOW_MACHINES) return false
        return runS > maxOf(job.totalRunS / job.runCount, job.spec.estimateS) * SLOW_FACTOR + SLOW_EXTRA_S
    }

    private fun markStraggler(machine: Machine, assignment: Assignment) {
        if (assignment.isStraggler) return
        assignment.markStraggler()
        assignment.job.runStatistics.recordStraggler(machine.id)
        machine.health.addStraggler()
        if (machine.consecutiveStragglers < QUARANTINE_THRESHOLD || machine.isQuarantined) return
        machine.health.quarantine()
        log.info(
            "machine={} quarantined: {} tasks in a row ran {} times as long as elsewhere",
            machine.id,
            machine.consecutiveStragglers,
            SLOW_FACTOR,
        )
    }

    /**
     * Marks the tasks that have run for far longer, at [now], than completed tasks of the same job took on other machines.
     * Quarantines a machine with [QUARANTINE_THRESHOLD] such tasks in a row.
     */
    fun detectStragglers(now: MonotonicTime) {
        for (machine in cluster.machines.values) {
            if (machine.state != MachineState.UP) continue
            for (assignment in machine.unreleasedAssignments.values) {
                val since = assignment.runningSince ?: continue
                if (assignment.phase == Phase.COMMITTED &&
                    isSlow(assignment.job, machine.id, (now - since) / MS_PER_S)
                ) {
                    markStraggler(machine, assignment)
                }
            }
        }
    }

    private companion object {
        const val FAILURE_PAUSE_MS = 2000L
        const val MIN_BACKOFF_MS = 5000L
        const val MAX_BACKOFF_DOUBLINGS = 4

        /** The delay between the failure of a trial and the next request for a machine, in milliseconds, before it doubles. */
        const val MIN_RENTAL_DELAY_MS = 60_000L
        const val MAX_RENTAL_DELAY_DOUBLINGS = 10

        /** An attempt ends a trial once it has run for this multiple of the longest failed attempt, plus [TRIAL_RUN_EXTRA_S]. */
        const val TRIAL_RUN_FACTOR = 2.0

        /** Covers the time between two heartbeats, during which a failed attempt may have run unnoticed, in seconds. */
        const val TRIAL_RUN_EXTRA_S = 5.0
        const val MS_PER_S = 1000.0
        const val MAX_RECORDED_MACHINES = 5
        const val QUARANTINE_THRESHOLD = 2
        const val MIN_RUNS_TO_COMPARE = 2
        const val SLOW_FACTOR = 2.5
        const val MAX_SLOW_MACHINES = 2
        const val SLOW_EXTRA_S = 5.0
    }
}
