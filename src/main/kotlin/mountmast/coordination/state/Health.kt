package mountmast.coordination.state

import mountmast.protocol.JobId
import mountmast.protocol.MachineId
import mountmast.protocol.MonotonicTime
import mountmast.storage.FailingJob
import org.slf4j.LoggerFactory

private val log = LoggerFactory.getLogger("mountmast.health")

/** Distinguishes sick and slow machines from jobs that fail or run long wherever they are. Guarded as its [ClusterState] is. */
class Health(private val cluster: ClusterState) {
    /** Records that a task of [job] failed on [machine] at [now]; quarantines a machine on which two in a row failed. */
    fun failed(machine: Machine, job: Job, now: MonotonicTime) {
        // One failure may be chance; but a sick machine, always empty, would draw task after task.
        machine.health.pausePlacementUntil(now + FAILED_PAUSE_MS)
        job.recentFailures.record(machine.id)
        if (job.isPoisoned) {
            backOff(job, now)
            log.info("job={} failed on {} machines; next attempt in {} ms", job.id, job.failedOn.size, job.notBefore - now)
        } else if (job.doneCount > 0 || job.id !in machine.strikes) {
            // A machine is not blamed for a job that may fail everywhere: such a one counts once.
            machine.health.addStrike(job.id)
        }
        if (machine.strikes.size >= SICK_STRIKES && !machine.isQuarantined) {
            machine.health.quarantine()
            log.info("machine={} quarantined: {} tasks failed in a row", machine.id, machine.strikes.size)
            dropFailuresOn(machine)
        }
    }

    private fun backOff(job: Job, now: MonotonicTime) {
        val doublings = minOf(job.failures - Job.POISON_MACHINES, MAX_DOUBLINGS)
        job.recentFailures.pausePlacementUntil(now + (POISON_PAUSE_MS shl maxOf(0, doublings)))
    }

    /**
     * The jobs that fail wherever they run, at most [most], for the next leader: it would start all of their tasks again. Only what
     * [recall] needs is recorded, so that the record soon changes no more.
     */
    fun failing(most: Int): Map<JobId, FailingJob> {
        val failing = LinkedHashMap<JobId, FailingJob>()
        for (job in cluster.jobs.values) {
            if (failing.size >= most) break
            if (!job.isPoisoned || job.cancelled) continue
            failing[job.id] = FailingJob(job.failedOn.take(MACHINES_RECORDED), minOf(job.failures, Job.POISON_MACHINES + MAX_DOUBLINGS))
        }
        return failing
    }

    /** Continues, at [now], to back off what the leader before recorded by [failing]. Called once the completed tasks are known. */
    fun recall(failing: Map<JobId, FailingJob>, now: MonotonicTime) {
        for ((id, recorded) in failing) {
            val job = cluster.jobs[id] ?: continue
            job.recentFailures.recall(recorded)
            if (job.isPoisoned) backOff(job, now)
        }
    }

    /** What failed on a sick machine says nothing of its jobs: they are not held to fail everywhere. */
    private fun dropFailuresOn(machine: Machine) {
        for (job in cluster.jobs.values) {
            if (!job.failedOn.remove(machine.id) || job.isPoisoned) continue
            job.recentFailures.recount()
        }
    }

    /** Records that the task of [assignment] completed on [machine] after [runS] seconds. */
    fun completedIn(machine: Machine, assignment: Assignment, runS: Double) {
        val job = assignment.job
        if (isSlow(job, machine.id, runS)) {
            markStraggler(machine, assignment)
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
        if (machine !in job.slowOn && job.slowOn.size >= MAX_SLOW_MACHINES) return false
        return runS > maxOf(job.runSumS / job.runs, job.spec.estimateS) * SLOW_FACTOR + SLOW_EXTRA_S
    }

    private fun markStraggler(machine: Machine, assignment: Assignment) {
        if (assignment.isStraggler) return
        assignment.markStraggler()
        assignment.job.runStatistics.recordSlow(machine.id)
        machine.health.addSlowStrike()
        if (machine.slowStrikes < SICK_STRIKES || machine.isQuarantined) return
        machine.health.quarantine()
        log.info(
            "machine={} quarantined: {} tasks in a row ran {} times as long as elsewhere",
            machine.id,
            machine.slowStrikes,
            SLOW_FACTOR,
        )
    }

    /**
     * Marks, as of [now], tasks that run on while others of the same jobs have long completed elsewhere; quarantines a machine with
     * several of them.
     */
    fun detectStragglers(now: MonotonicTime) {
        for (machine in cluster.machines.values) {
            if (machine.state != MachineState.UP) continue
            for (assignment in machine.live.values) {
                val since = assignment.runningSince ?: continue
                if (assignment.phase == Phase.COMMITTED &&
                    isSlow(assignment.job, machine.id, (now - since) / 1000.0)
                ) {
                    markStraggler(machine, assignment)
                }
            }
        }
    }

    private companion object {
        const val FAILED_PAUSE_MS = 2000L
        const val POISON_PAUSE_MS = 5000L
        const val MAX_DOUBLINGS = 4
        const val MACHINES_RECORDED = 5
        const val SICK_STRIKES = 2
        const val RUNS_TO_COMPARE = 2
        const val SLOW_FACTOR = 2.5
        const val MAX_SLOW_MACHINES = 2
        const val SLOW_EXTRA_S = 5.0
    }
}
