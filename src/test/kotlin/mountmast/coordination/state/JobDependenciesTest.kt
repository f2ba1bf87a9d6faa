package mountmast.coordination.state

import mountmast.protocol.JobId
import mountmast.protocol.JobSpec
import mountmast.protocol.JobStatus
import mountmast.protocol.ModRevision
import mountmast.protocol.MonotonicTime
import mountmast.protocol.Shape
import mountmast.protocol.Urgency
import mountmast.protocol.WallTime
import mountmast.standin.SimulatedCluster
import mountmast.storage.FinishedJobRecord
import mountmast.storage.JobRecord
import mountmast.storage.PrerequisiteListRef
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class JobDependenciesTest {
    private val cluster = ClusterState(0.7)
    private val dependencies = JobDependencies(cluster)
    private val world = SimulatedCluster(1)
    private val now = MonotonicTime(5000)

    private fun id(number: Int) = JobId("j-$number")

    private fun record(number: Int, prerequisites: List<JobId>, change: (JobSpec) -> JobSpec = { it }) = JobRecord(
        world.plainJob(number) {
            change(it.copy(id = id(number), shape = Shape.ARRAY, tasks = 1, estimateS = 10.0, prerequisites = prerequisites))
        },
        WallTime(0),
    )

    private fun add(number: Int, vararg prerequisites: Int, change: (JobSpec) -> JobSpec = { it }): Job {
        val record = record(number, prerequisites.map(::id), change)
        return cluster.putJob(record, ModRevision(1u), now).also { dependencies.addJob(it, record, now) }
    }

    private fun end(number: Int, status: JobStatus = JobStatus.DONE, at: Long = 0) {
        val record = FinishedJobRecord(status, 1, WallTime(at))
        cluster.jobs[id(number)]?.let { job ->
            dependencies.removeJob(job)
            cluster.removeJob(job, now)
        }
        dependencies.recordFinished(id(number), record, now)
    }

    @Test
    fun `a job is released by the last of its prerequisites, and its waiting time counts from then`() {
        add(1)
        add(2)
        val last = add(3, 1, 2)
        end(2, at = 7000)
        assertFalse(last.isReleased)
        end(1, at = 4000)
        assertTrue(last.isReleased)
        assertEquals(WallTime(7000), last.waitingFrom)
    }

    @Test
    fun `what is not known to be done is waited for and looked up`() {
        val job = add(2, 1)
        assertFalse(job.isReleased)
        assertEquals(listOf(id(1)), dependencies.nextUnresolvedPrerequisites(10, now))
        assertEquals(emptyList<JobId>(), dependencies.nextUnresolvedPrerequisites(10, now))
        assertEquals(listOf(id(1)), dependencies.nextUnresolvedPrerequisites(10, now + 1000))
        // A record that an earlier version wrote does not tell when the job ended.
        dependencies.recordFinished(id(1), FinishedJobRecord(JobStatus.DONE, 1), now)
        assertTrue(job.isReleased)
        assertEquals(job.submitted, job.waitingFrom)
    }

    @Test
    fun `a prerequisite that is read after its dependent is no longer looked up`() {
        val job = add(2, 1)
        add(1)
        assertEquals(emptyList<JobId>(), dependencies.nextUnresolvedPrerequisites(10, now))
        end(1)
        assertTrue(job.isReleased)
    }

    @Test
    fun `a job whose list is kept apart waits until the list is read`() {
        add(1)
        val record = record(2, emptyList()).copy(prerequisiteList = PrerequisiteListRef("d", 1))
        val job = cluster.putJob(record, ModRevision(1u), now)
        dependencies.addJob(job, record, now)
        assertFalse(job.isReleased)
        assertEquals(listOf(id(2)), dependencies.recordsWithUnreadList.map { it.spec.id })
        dependencies.addReadList(id(2), listOf(id(1)), now)
        assertFalse(job.isReleased)
        end(1)
        assertTrue(job.isReleased)
    }

    @Test
    fun `a cancellation reaches the end of a long chain and all of a wide fan-out`() {
        add(0)
        val chain = (1..2000).map { add(it, it - 1) }
        val fan = (3001..5000).map { add(it, 1000) }
        cluster.jobs.getValue(id(0)).cancel(WallTime(0), isRecorded = true)
        dependencies.cancelDependents(cluster.jobs.getValue(id(0)))
        assertTrue((chain + fan).all { it.isCancellationRecorded && it in cluster.finishingJobs })
    }

    @Test
    fun `a job that names a cancelled one is cancelled, whether that is live, just finished or long finished`() {
        add(1).cancel(WallTime(0), isRecorded = true)
        assertTrue(add(2, 1).isCancellationRecorded)
        end(1, JobStatus.CANCELLED)
        assertTrue(add(3, 1).isCancellationRecorded)
        val unknown = add(5, 4)
        assertFalse(unknown.isCancellationRecorded)
        dependencies.recordFinished(id(4), FinishedJobRecord(JobStatus.CANCELLED, 1), now)
        assertTrue(unknown.isCancellationRecorded)
    }

    @Test
    fun `a broadcast alone, which no record confirms, cancels no dependent`() {
        val first = add(1)
        val second = add(2, 1)
        first.cancel(WallTime(0), isRecorded = false)
        assertFalse(second.isCancelled)
        assertFalse(add(3, 1).isCancelled)
    }

    @Test
    fun `urgency and due time of the last job are inherited by all before it, less what runs in between`() {
        val first = add(1)
        val side = add(2, 1)
        val middle = add(3, 1)
        val last = add(4, 2, 3) { it.copy(urgency = Urgency.HIGH, deadlineS = 100.0) }
        assertEquals(listOf(100_000L, 90_000L, 90_000L, 80_000L), listOf(last, side, middle, first).map { it.effectiveDue?.ms })
        assertTrue(listOf(first, side, middle).all { it.schedulingSpec.urgency == Urgency.HIGH })
        assertEquals(Urgency.NORMAL, first.spec.urgency)
    }

    @Test
    fun `inherited priorities do not depend on the order in which jobs become known`() {
        for (order in listOf(listOf(1, 2, 3, 4), listOf(4, 3, 2, 1), listOf(3, 1, 4, 2))) {
            val cluster = ClusterState(0.7)
            val dependencies = JobDependencies(cluster)
            for (number in order) {
                val prerequisites = if (number == 1) emptyList() else listOf(id(number - 1))
                val record = record(number, prerequisites) { if (number == 4) it.copy(deadlineS = 100.0) else it }
                dependencies.addJob(cluster.putJob(record, ModRevision(1u), now), record, now)
            }
            assertEquals(70_000L, cluster.jobs.getValue(id(1)).effectiveDue?.ms, "$order")
        }
    }

    @Test
    fun `what a cancelled dependent required is required no more`() {
        val first = add(1)
        val second = add(2, 1)
        add(3, 2) { it.copy(urgency = Urgency.HIGH, deadlineS = 100.0) }
        add(4, 2) { it.copy(deadlineS = 200.0) }
        end(3, JobStatus.CANCELLED)
        dependencies.refreshInheritedPriorities()
        assertEquals(Urgency.NORMAL, second.effectiveUrgency)
        assertEquals(listOf(190_000L, 180_000L), listOf(second, first).map { it.effectiveDue?.ms })
    }

    @Test
    fun `nothing is kept of finished jobs that no live job names`() {
        repeat(3000) { number ->
            add(2 * number)
            add(2 * number + 1, 2 * number)
            end(2 * number)
            end(2 * number + 1)
        }
        assertTrue(cluster.jobs.isEmpty())
        assertFalse(dependencies.isRecentlyFinished(id(0)))
        assertEquals(emptyList<JobId>(), dependencies.nextUnresolvedPrerequisites(10, now + 10_000))
    }
}
