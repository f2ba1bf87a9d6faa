package mountmast.coordination.state

import mountmast.protocol.Clock
import mountmast.protocol.JobId
import mountmast.protocol.ModRevision
import mountmast.protocol.MonotonicTime
import mountmast.protocol.Revision
import mountmast.protocol.WallTime
import mountmast.storage.Entry
import mountmast.storage.FinishedJobRecord
import mountmast.storage.JobRecord
import mountmast.storage.Keys
import mountmast.storage.PrerequisiteLists
import mountmast.storage.StateStore
import mountmast.storage.WatchResult
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/** The parts of a leader's term that a [JobInformer] updates: the state, guarded by [lock], and the [signals] that wake other threads. */
class JobInformerState(val lock: ReentrantLock, val cluster: ClusterState, val dependencies: JobDependencies, val signals: TermSignals)

/** The stores from which a [JobInformer] reads jobs and their lists of prerequisites. */
class JobInformerSources(val store: StateStore, val prerequisiteLists: PrerequisiteLists)

/**
 * Keeps the leader's live jobs in step with the state service by a watch on their keys, and applies the consequences of a job's
 * cancellation or end. Tracks up to which time all changes of jobs are known, from which the low watermark of cancellations is
 * derived. Guarded by the lock of the leader's term, which is never held during a call to the state service.
 */
class JobInformer(
    state: JobInformerState,
    sources: JobInformerSources,
    private val clock: Clock,
    knownBefore: WallTime,
    private val listener: JobInformerListener,
) {
    private val lock = state.lock
    private val cluster = state.cluster
    private val dependencies = state.dependencies
    private val signals = state.signals
    private val store = sources.store
    private val prerequisiteResolver = PrerequisiteResolver(lock, dependencies, store, sources.prerequisiteLists, clock, ::recordFinished)
    private var nextWatchRevision = Revision(0u)

    /** The time before which all changes of jobs are known. */
    private var knownUpTo = Moment(MonotonicTime(0), knownBefore)

    /** The age at [now], in milliseconds, of the oldest change of a job that may be unknown; the caller holds the lock. */
    fun stalenessMs(now: MonotonicTime): Long = now - knownUpTo.monotonic

    /** The low watermark of cancellations; the caller holds the lock. */
    fun watermark(): WallTime = cluster.watermark(knownUpTo.wall)

    /**
     * Reads the records of new and cancelled jobs, and waits up to [waitMs] milliseconds for them. Throws a `StoreException` if the
     * state service fails.
     */
    fun watch(waitMs: Long) {
        val requestedAt = Moment(clock.now(), clock.wall())
        when (val result = store.watch(Keys.JOBS, nextWatchRevision, waitMs)) {
            is WatchResult.Changes -> lock.withLock {
                for (change in result.changes) change.value?.let { applyChange(Entry(change.key, it, change.modRevision)) }
                nextWatchRevision = result.upTo
                // A response holds all changes that were made before it was requested.
                knownUpTo = requestedAt
            }
            WatchResult.Compacted -> {
                val (entries, revision) = store.listAll(Keys.JOBS)
                lock.withLock { applyAll(entries, revision, requestedAt.monotonic, requestedAt.wall) }
            }
        }
    }

    /** Applies [entry] unless a later revision of the job's record is known, since changes may arrive out of order. */
    private fun applyChange(entry: Entry) {
        val id = Keys.jobOfKey(entry.key) ?: return
        val record = RecordDecoder.decode<JobRecord>(entry.key, entry.value) ?: return
        listener.onRecord(record, entry.modRevision)
        val knownJob = cluster.jobs[id]
        if (knownJob == null || entry.modRevision.number > knownJob.modRevision.number) applyRecord(record, entry.modRevision)
    }

    /**
     * Applies the records of all live jobs, read at [revision] or later by a request that was sent at [requestedAt] (time of day:
     * [requestedWall]); the caller holds the lock.
     */
    fun applyAll(entries: List<Entry>, revision: Revision, requestedAt: MonotonicTime, requestedWall: WallTime) {
        for (entry in entries) RecordDecoder.decode<JobRecord>(entry.key, entry.value)?.let { applyRecord(it, entry.modRevision) }
        nextWatchRevision = revision
        knownUpTo = Moment(requestedAt, requestedWall)
    }

    /** Applies the record of a live job at [modRevision]; the caller holds the lock. */
    fun applyRecord(record: JobRecord, modRevision: ModRevision) {
        val id = record.spec.id
        if (dependencies.isRecentlyFinished(id)) return
        val isNew = id !in cluster.jobs
        val now = clock.now()
        val job = cluster.putJob(record, modRevision, now, knownUpTo.wall)
        if (isNew) dependencies.addJob(job, record, now)
        if (job.isCancellationRecorded) dependencies.cancelDependents(job)
        if (job.isCancelled || listener.isCancelledElsewhere(job.id)) {
            cancel(job, record.cancelled)
            signals.wakeWriter()
        } else {
            signals.requestSchedulingCycle()
        }
    }

    /** Cancels the jobs [ids], whose cancellation another node broadcast. Their cancelled records may be read much later. */
    fun cancelByBroadcast(ids: List<JobId>) = lock.withLock {
        for (id in ids) cluster.jobs[id]?.let { cancel(it, isRecorded = false) }
    }

    private fun cancel(job: Job, isRecorded: Boolean) {
        job.cancel(knownUpTo.wall, isRecorded)
        job.unreleasedAssignments.values.forEach { listener.onCommandsDue(it) }
    }

    /** Removes [job], whose final state [record] is committed in the state service; the caller holds the lock. */
    fun removeFinished(job: Job, record: FinishedJobRecord) {
        dependencies.removeJob(job)
        cluster.removeJob(job, clock.now())
        recordFinished(job.id, record)
        signals.requestSchedulingCycle()
    }

    private fun recordFinished(id: JobId, record: FinishedJobRecord) {
        if (dependencies.recordFinished(id, record, clock.now()).isNotEmpty()) signals.requestSchedulingCycle()
        if (cluster.finishingJobs.isNotEmpty()) signals.wakeWriter()
    }

    /**
     * Reads the final states and the lists of prerequisites that live jobs refer to and that this leader does not know. Returns
     * whether any read was due. Throws a `StoreException` if the state service fails.
     */
    fun resolvePrerequisites(): Boolean = prerequisiteResolver.resolveDue() > 0

    /** One moment, on this node's monotonic clock and as its time of day. */
    private class Moment(val monotonic: MonotonicTime, val wall: WallTime)
}
