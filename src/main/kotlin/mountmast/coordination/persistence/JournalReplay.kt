package mountmast.coordination.persistence

import mountmast.coordination.state.ClusterState
import mountmast.coordination.state.Placement
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
 * Rebuilds [cluster] from the snapshot and the journal of earlier leaders, entry by entry. Up to [now], an earlier leader may have
 * received and answered heartbeats of the machines that the entries name. Guarded as [cluster] is.
 */
class JournalReplay(private val cluster: ClusterState, private val now: MonotonicTime) : JournalReader {
    override fun done(job: JobId, ranges: String) {
        val knownJob = cluster.jobs[job] ?: return
        val completed = BitSet()
        if (!Ranges.decodeInto(ranges, completed, knownJob.spec.tasks)) log.error("unreadable ranges of tasks of job={}: {}", job, ranges)
        completed.stream().forEach(knownJob::setDone)
        cluster.finishIfComplete(knownJob)
    }

    override fun preemptedBefore(task: TaskId, times: Int) {
        cluster.jobs[task.job]?.restorePreemptions(task.index, times)
    }

    override fun started(task: TaskId, machine: MachineId, incarnation: WorkerIncarnation, attempt: Attempt, zone: Zone) {
        // A job that is not known finished after the entry was written: its live record is deleted, and none of its tasks runs.
        val job = cluster.jobs[task.job] ?: return
        if (task.index >= job.spec.tasks || job.done.get(task.index)) return
        job.unreleasedAssignments.get(task.index)?.let { older ->
            log.error("task={} has two live assignments: machine={} and machine={}", task, older.machine, machine)
            cluster.assignments.release(older, now)
        }
        cluster.assignments.restore(job, task.index, Placement(machine, incarnation, zone), attempt, now)
    }

    override fun ended(task: TaskId, end: TaskEnd) {
        val job = cluster.jobs[task.job] ?: return
        if (end == TaskEnd.DONE && task.index < job.spec.tasks) cluster.completeTask(job, task.index)
        if (end == TaskEnd.PREEMPTED) job.countPreemption(task.index)
        job.unreleasedAssignments.get(task.index)?.let { cluster.assignments.release(it, now) }
    }

    override fun reserved(machine: MachineId, job: JobId, victims: List<TaskId>) {
        for (victim in victims) cluster.jobs[victim.job]?.unreleasedAssignments?.get(victim.index)?.preempt()
    }
}
