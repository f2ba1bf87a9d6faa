package mountmast.coordination.persistence

import kotlinx.serialization.json.encodeToJsonElement
import mountmast.coordination.state.ClusterState
import mountmast.protocol.Clock
import mountmast.protocol.JobId
import mountmast.protocol.MonotonicTime
import mountmast.protocol.WireJson
import mountmast.storage.FailingJob
import mountmast.storage.FailingRecord
import mountmast.storage.Keys
import mountmast.storage.jsonSize

/**
 * Writes which jobs fail on every machine, as a hint for the next leader. Without the hint each new leader started all tasks of such
 * jobs again, and preempted other tasks for them (incident 10c7; test: `CombinedFailuresTest`, "a job that fails on every machine is
 * not started whole again by each new leader"). Guarded as its [ClusterState] is.
 */
internal class FailingJobsWriter(private val cluster: ClusterState, private val clock: Clock) : BatchContributor {
    private var nextWriteNotBefore = MonotonicTime(Long.MIN_VALUE / 2)
    private var lastAddedJobs: Map<JobId, FailingJob> = emptyMap()

    override fun contribute(batch: WriteBatch, options: BatchOptions) {
        val now = clock.now()
        if (batch.remainingOps <= 0 || now < nextWriteNotBefore) return
        nextWriteNotBefore = now + WRITE_INTERVAL_MS
        val maxBytes = options.limits.valueBytes
        val failing = cluster.health.failingJobs(limit = maxBytes / BYTES_PER_JOB)
        if (failing == lastAddedJobs) return
        val value = WireJson.encodeToJsonElement(FailingRecord(failing))
        if (jsonSize(value) > maxBytes) return
        lastAddedJobs = failing
        batch.put(Keys.FAILING, value)
    }

    override fun requeue() {
        nextWriteNotBefore = MonotonicTime(Long.MIN_VALUE / 2)
        lastAddedJobs = emptyMap()
    }

    private companion object {
        const val WRITE_INTERVAL_MS = 1000L

        /** Approximate size of one job in the record, in bytes of JSON. */
        const val BYTES_PER_JOB = 200
    }
}
