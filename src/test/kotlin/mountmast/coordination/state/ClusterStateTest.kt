package mountmast.coordination.state

import mountmast.coordination.persistence.JournalReplay
import mountmast.coordination.workers.HeartbeatReconciler
import mountmast.coordination.workers.HeartbeatReconciliation
import mountmast.protocol.Attempt
import mountmast.protocol.ExitCause
import mountmast.protocol.FencingToken
import mountmast.protocol.Heartbeat
import mountmast.protocol.HeartbeatSequence
import mountmast.protocol.MachineId
import mountmast.protocol.ModRevision
import mountmast.protocol.MonotonicTime
import mountmast.protocol.ReportedTask
import mountmast.protocol.Shape
import mountmast.protocol.TaskId
import mountmast.protocol.TaskState
import mountmast.protocol.TypeId
import mountmast.protocol.WallTime
import mountmast.protocol.WorkerIncarnation
import mountmast.protocol.Zone
import mountmast.standin.SimulatedCluster
import mountmast.storage.JobRecord
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class ClusterStateTest {
    private val cluster = ClusterState(0.7)
    private val spec = SimulatedCluster(1).job(1) { it.copy(shape = Shape.ARRAY, tasks = 20, estimateS = 1.0) }
    private val job = cluster.putJob(JobRecord(spec, WallTime(0)), ModRevision(1u), MonotonicTime(0))
    private var sequence = 0uL

    private fun heartbeat(machine: String, at: Long, vararg tasks: ReportedTask, incarnation: ULong = 1u): Boolean =
        HeartbeatReconciler(cluster).reconcile(
            Heartbeat(
                MachineId(
                    machine,
                ),
                "127.0.0.1:1",
                TypeId(
                    "s",
                ),
                Zone("a"), false, WorkerIncarnation(incarnation), HeartbeatSequence(++sequence), FencingToken(0u), null, tasks.toList(),
            ),
            MonotonicTime(at),
        ) is HeartbeatReconciliation.Applied

    private fun place(index: Int, machine: String, at: Long, of: Job = job): Assignment =
        cluster.assignments.assign(of, index, cluster.machines.getValue(MachineId(machine)), MonotonicTime(at)).apply { markJournaled() }

    private fun arrayJob(number: Int, tasks: Int): Job {
        val spec = SimulatedCluster(1).job(number) { it.copy(shape = Shape.ARRAY, tasks = tasks) }
        return cluster.putJob(JobRecord(spec, WallTime(0)), ModRevision(1u), MonotonicTime(0))
    }

    private fun Assignment.shown(state: TaskState, cause: ExitCause? = null) = ReportedTask(taskName, attempt, state, cause)

    @Test
    fun `a heartbeat that lacks a task, or is old, ends nothing`() {
        heartbeat("vm-1", 0)
        val assignment = place(0, "vm-1", 0)
        assertTrue(heartbeat("vm-1", 100))
        assertEquals(Phase.COMMITTED, assignment.phase)
        sequence = 0u
        assertFalse(heartbeat("vm-1", 200, assignment.shown(TaskState.EXITED, ExitCause.DONE)))
        assertEquals(Phase.COMMITTED, assignment.phase)
    }

    @Test
    fun `an ended assignment counts until the store has it`() {
        heartbeat("vm-1", 0)
        val assignment = place(0, "vm-1", 0)
        heartbeat("vm-1", 100, assignment.shown(TaskState.EXITED, ExitCause.STOPPED))
        assertEquals(Phase.ENDED, assignment.phase)
        assertEquals(spec.cpus, cluster.assignments.usageOf(spec.team).cpus)
        assertFalse(job.openTasks.get(0))
        cluster.assignments.release(assignment, MonotonicTime(200))
        assertEquals(0.0, cluster.assignments.usageOf(spec.team).cpus)
        assertTrue(job.openTasks.get(0))
        assertTrue(place(0, "vm-1", 300).attempt > assignment.attempt, "an attempt number was reused")
    }

    @Test
    fun `a new incarnation ends the tasks of the one before and has a lease of its own`() {
        // A worker's next incarnation may first appear in its answer to a direct command. Once, the lease of such an incarnation was
        // declared expired too early.
        heartbeat("vm-1", 0)
        val assignment = place(0, "vm-1", 0)
        heartbeat("vm-1", 50_000, incarnation = 2u)
        assertEquals(Phase.ENDED, assignment.phase)
        assertEquals(MonotonicTime(50_000), cluster.machines.getValue(MachineId("vm-1")).leaseRenewedAt)
    }

    @Test
    fun `a deleted machine is not brought back by a late heartbeat`() {
        heartbeat("vm-1", 0)
        cluster.markDeleted(MachineId("vm-1"), MonotonicTime(100))
        assertFalse(heartbeat("vm-1", 200))
        assertTrue(cluster.machines.isEmpty())
    }

    @Test
    fun `a job that finds every machine slow has only two of them replaced`() {
        fun runOn(machine: String, index: Int, ms: Long) {
            val from = index * 100_000L
            heartbeat(machine, from)
            val assignment = place(index, machine, from)
            heartbeat(machine, from, assignment.shown(TaskState.RUNNING))
            heartbeat(machine, from + ms, assignment.shown(TaskState.EXITED, ExitCause.DONE))
            cluster.assignments.release(assignment, MonotonicTime(from + ms))
        }
        repeat(2) { runOn("vm-0", it, 1000) }
        for (number in 1..4) repeat(2) { runOn("vm-$number", number * 2 + it, 60_000) }
        assertEquals(listOf("vm-1", "vm-2"), cluster.machines.values.filter { it.isQuarantined }.map { it.id.text })
    }

    @Test
    fun `an attempt that fails everywhere is the job's fault, not the machine's`() {
        for (number in 1..4) {
            heartbeat("vm-$number", number * 1000L)
            val assignment = place(number, "vm-$number", number * 1000L)
            heartbeat("vm-$number", number * 1000L + 10, assignment.shown(TaskState.EXITED, ExitCause.FAILED))
        }
        assertTrue(job.isPoisoned)
        assertTrue(job.notBefore > MonotonicTime(4000))
        assertTrue(cluster.machines.values.none { it.isQuarantined })
        assertTrue(cluster.machines.getValue(MachineId("vm-4")).consecutiveFailures.isEmpty())
    }

    @Test
    fun `to a leader just elected a late copy of a heartbeat proves nothing`() {
        // A newly elected leader has received no heartbeat yet, so it cannot tell a late copy from a new heartbeat and must not act on
        // the difference.
        val replay = JournalReplay(cluster, MonotonicTime(0))
        replay.started(TaskId(spec.id, 3), MachineId("vm-7"), WorkerIncarnation(3u), Attempt(9u), Zone("a"))
        assertTrue(heartbeat("vm-7", 100, incarnation = 2u))
        val assignment = job.unreleasedAssignments.get(3)
        assertEquals(Phase.COMMITTED, assignment.phase, "a copy from an older incarnation ended a newer one's task")
        val machine = cluster.machines.getValue(MachineId("vm-7"))
        assertFalse(machine.isUsable(MonotonicTime(200)), "a machine that may have been deleted long ago would get tasks")
        assertTrue(heartbeat("vm-7", 300, assignment.shown(TaskState.RUNNING), incarnation = 3u))
        assertEquals(Phase.COMMITTED, assignment.phase)
        assertFalse(heartbeat("vm-7", 400, incarnation = 2u), "a late copy was applied although a newer heartbeat had arrived")
        assertEquals(WorkerIncarnation(3u), machine.incarnation)
    }

    @Test
    fun `failures on a machine that proves sick are not held against its jobs`() {
        val others = (2..4).map { number -> arrayJob(number, tasks = 9) }
        fun failTask(of: Job, index: Int, machine: String, at: Long) {
            heartbeat(machine, at)
            val assignment = place(index, machine, at, of)
            heartbeat(machine, at + 10, assignment.shown(TaskState.EXITED, ExitCause.FAILED))
            cluster.assignments.release(assignment, MonotonicTime(at + 20))
        }
        for ((i, machine) in listOf("vm-1", "vm-2", "vm-3").withIndex()) failTask(job, i, machine, i * 5000L)
        assertTrue(job.isPoisoned)
        for ((i, machine) in listOf("vm-1", "vm-2", "vm-3").withIndex()) {
            failTask(others[i], 0, machine, 20_000L + i * 10_000)
            failTask(others[(i + 1) % 3], 1, machine, 25_000L + i * 10_000)
        }
        assertEquals(3, cluster.machines.values.count { it.isQuarantined })
        assertFalse(job.isPoisoned)
        assertTrue(job.notBefore <= MonotonicTime(0), "the job is still backed off for failures on a faulty machine")
    }
}
