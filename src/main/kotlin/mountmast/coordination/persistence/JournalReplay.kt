package mountmast.coordination.persistence

import mountmast.coordination.state.Assignment
import mountmast.coordination.state.ClusterState
import mountmast.coordination.state.Machine
import mountmast.coordination.state.MachineState
import mountmast.coordination.state.Phase
import mountmast.protocol.Attempt
import mountmast.protocol.JobId
import mountmast.protocol.MachineId
import mountmast.protocol.MonotonicTime
import mountmast.protocol.TaskId
import mountmast.protocol.WorkerIncarnation
import mountmast.protocol.Zone
import mountmast.storage.JournalReader
import mountmast.storage.Ranges
import mountmast.storage.TaskEnd
import org.slf4j.LoggerFactory
import java.util.BitSet

private val log = LoggerFactory.getLogger("mountmast.ledger")

/**
 * Rebuilds [cluster] from the snapshot and the journal of earlier leaders, entry by entry. Machines that are named there count as
 * heard at [now], until their workers' leases can have expired. Guarded as [cluster] is.
 */
class JournalReplay(private val cluster: ClusterState, private val now: MonotonicTime) : JournalReader {
    override fun done(job: JobId, ranges: String) {
        val known = cluster.jobs[job] ?: return
        val completed = BitSet()
        if (!Ranges.decodeInto(ranges, completed, known.spec.tasks)) log.error("unreadable ranges of job={}: {}", job, ranges)
        completed.stream().forEach(known::setDone)
        if (known.isComplete) cluster.finishing += known
    }

    override fun preemptedBefore(task: TaskId, times: Int) {
        cluster.jobs[task.job]?.preemptions?.put(task.index, times)
    }

    override fun started(task: TaskId, machine: MachineId, incarnation: WorkerIncarnation, attempt: Attempt, zone: Zone) {
        // A job that has finished since has no record any more, and nothing of it runs.
        val job = cluster.jobs[task.job] ?: return
        if (task.index >= job.spec.tasks || job.done.get(task.index)) return
        job.live.get(task.index)?.let { older ->
            log.error("task={} is listed twice: machine={} and machine={}", task, older.machine, machine)
            cluster.release(older, now)
        }
        val known = cluster.machines.getOrPut(machine) {
            Machine(machine, null, null, false, MachineState.SILENT).apply {
                leaseRenewedAt = now
                heardAt = now
            }
        }
        val assignment = Assignment(job, task.index, machine, incarnation, attempt, zone, Phase.COMMITTED, now)
        assignment.written = true
        if (job.cancelled) assignment.terminationGraceS = 0.0
        cluster.place(assignment, known)
    }

    override fun ended(task: TaskId, end: TaskEnd) {
        val job = cluster.jobs[task.job] ?: return
        if (end == TaskEnd.DONE && task.index < job.spec.tasks) {
            job.setDone(task.index)
            if (job.isComplete) cluster.finishing += job
        }
        if (end == TaskEnd.PREEMPTED) job.preemptions.addTo(task.index, 1)
        job.live.get(task.index)?.let { cluster.release(it, now) }
    }

    override fun reserved(machine: MachineId, job: JobId, victims: List<TaskId>) {
        for (victim in victims) {
            val assignment = cluster.jobs[victim.job]?.live?.get(victim.index) ?: continue
            assignment.terminationGraceS = assignment.terminationGraceS ?: assignment.job.spec.checkpointSaveS
            assignment.preempted = true
        }
    }
}
