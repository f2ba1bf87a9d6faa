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
 * Notes which jobs fail wherever they run, as a hint: each new leader would start all of their tasks again, and stop
 * others for them. Guarded as the [ClusterState] is.
 */
class FailingJobsWriter(private val cluster: ClusterState, private val clock: Clock) {
    private var notBefore = MonotonicTime(Long.MIN_VALUE / 2)
    private var written: Map<JobId, FailingJob> = emptyMap()

    fun addTo(batch: WriteBatch, limits: WriteLimits) {
        val now = clock.now()
        if (batch.room <= 0 || now < notBefore) return
        notBefore = now + EVERY_MS
        val failing = cluster.health.failing(most = limits.valueBytes / BYTES_PER_JOB)
        if (failing == written) return
        val value = WireJson.encodeToJsonElement(FailingRecord(failing))
        if (jsonSize(value) > limits.valueBytes) return
        written = failing
        batch.put(Keys.FAILING, value)
    }

    /** What was added last may not have been written. */
    fun requeue() {
        notBefore = MonotonicTime(Long.MIN_VALUE / 2)
        written = emptyMap()
    }

    private companion object {
        const val EVERY_MS = 1000L

        /** About what a job takes in the record. */
        const val BYTES_PER_JOB = 200
    }
}
