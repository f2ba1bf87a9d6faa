package mountmast.coordination.state

import mountmast.protocol.JobId
import mountmast.protocol.MachineId
import mountmast.protocol.MonotonicTime
import mountmast.storage.FailingJob
import org.slf4j.LoggerFactory

private val log = LoggerFactory.getLogger("mountmast.health")

/** Tells sick and slow machines from jobs that fail or run long wherever they are. Guarded as its [ClusterState] is. */
class Health(private val cluster: ClusterState) {
    /** A task of [job] failed on [machine]. */
    fun failed(machine: Machine, job: Job, now: MonotonicTime) {
        // One failure may be chance; but a sick machine, always empty, would draw task after task.
        machine.health.pausePlacementUntil(now + FAILED_PAUSE_MS)
        job.recentFailures.record(machine.id)
        if (job.poisoned) {
            backOff(job, now)
            log.info("job {} failed on {} machines; next try in {} ms", job.id, job.failedOn.size, job.notBefore - now)
        } else if (job.doneCount > 0 || job.id !in machine.strikes) {
            // A machine is not blamed for a job that may fail everywhere: such a one counts once.
            machine.health.addStrike(job.id)
        }
        if (machine.strikes.size >= SICK_STRIKES && !machine.quarantined) {
            machine.health.quarantine()
            log.info("machine {} quarantined: {} tasks failed in a row", machine.id, machine.strikes.size)
            withdrawFailuresOn(machine)
        }
    }

    private fun backOff(job: Job, now: MonotonicTime) {
        val doublings = minOf(job.failures - Job.POISON_MACHINES, MAX_DOUBLINGS)
        job.recentFailures.pausePlacementUntil(now + (POISON_PAUSE_MS shl maxOf(0, doublings)))
    }

    /**
     * The jobs that fail wherever they run, for the next leader: it would start all of their tasks again. Of [most] jobs at most,
     * and only what recalling them needs, so that the record soon changes no more.
     */
    fun failing(most: Int): Map<JobId, FailingJob> {
        val failing = LinkedHashMap<JobId, FailingJob>()
        for (job in cluster.jobs.values) {
            if (failing.size >= most) break
            if (!job.poisoned || job.cancelled) continue
            failing[job.id] = FailingJob(job.failedOn.take(MACHINES_NOTED), minOf(job.failures, Job.POISON_MACHINES + MAX_DOUBLINGS))
        }
        return failing
    }

    /** Goes on backing off what the leader before noted by [failing]. Called once the completed tasks are known. */
    fun recall(failing: Map<JobId, FailingJob>, now: MonotonicTime) {
        for ((id, noted) in failing) {
            val job = cluster.jobs[id] ?: continue
            job.recentFailures.recall(noted)
            if (job.poisoned) backOff(job, now)
        }
    }

    /** What failed on a sick machine failed in bad company: its jobs are not held to fail everywhere. */
    private fun withdrawFailuresOn(machine: Machine) {
        for (job in cluster.jobs.values) {
            if (!job.failedOn.remove(machine.id) || job.poisoned) continue
            job.recentFailures.recount()
        }
    }

    /** A task completed on [machine] after [runS]. */
    fun completedIn(machine: Machine, assignment: Assignment, runS: Double) {
        val job = assignment.job
        if (isSlow(job, machine.id, runS)) {
            slowTask(machine, assignment)
        } else if (!assignment.isStraggler) {
            machine.health.clearSlowStrikes()
        }
        // A slow machine's run says nothing of what the job takes elsewhere.
        if (!assignment.isStraggler) {
            job.runStatistics.recordRun(runS)
        }
    }

    /**
     * Whether a run is far beyond what the job's tasks take elsewhere. The owner's estimate counts too, as a task that
     * was seen running late seems short; and a job that finds every machine slow is simply long.
     */
    private fun isSlow(job: Job, machine: MachineId, runS: Double): Boolean {
        if (job.runs < RUNS_TO_COMPARE) return false
        if (machine !in job.slowOn && job.slowOn.size >= MAX_CALLED_SLOW) return false
        return runS > maxOf(job.runSumS / job.runs, job.spec.estimateS) * SLOW_TIMES + SLOW_EXTRA_S
    }

    private fun slowTask(machine: Machine, assignment: Assignment) {
        if (assignment.isStraggler) return
        assignment.isStraggler = true
        assignment.job.runStatistics.recordSlow(machine.id)
        machine.health.addSlowStrike()
        if (machine.slowStrikes < SICK_STRIKES || machine.quarantined) return
        machine.health.quarantine()
        log.info("machine {} quarantined: {} tasks in a row ran {} times as long as elsewhere", machine.id, machine.slowStrikes, SLOW_TIMES)
    }

    /** Notices machines whose tasks run on and on while others of the same jobs have long completed elsewhere. */
    fun detectStragglers(now: MonotonicTime) {
        for (machine in cluster.machines.values) {
            if (machine.state != MachineState.UP) continue
            for (assignment in machine.live.values) {
                val since = assignment.runningSince ?: continue
                if (assignment.phase == Phase.COMMITTED &&
                    isSlow(assignment.job, machine.id, (now - since) / 1000.0)
                ) {
                    slowTask(machine, assignment)
                }
            }
        }
    }

    private companion object {
        const val FAILED_PAUSE_MS = 2000L
        const val POISON_PAUSE_MS = 5000L
        const val MAX_DOUBLINGS = 4
        const val MACHINES_NOTED = 5
        const val SICK_STRIKES = 2
        const val RUNS_TO_COMPARE = 2
        const val SLOW_TIMES = 2.5
        const val MAX_CALLED_SLOW = 2
        const val SLOW_EXTRA_S = 5.0
    }
}
