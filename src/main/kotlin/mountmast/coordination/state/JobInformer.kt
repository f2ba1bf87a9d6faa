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

/**
 * The jobs that are not over, as the leader takes them in from the state service, with all that follows from a job's
 * cancellation or end. Knows up to which moment all changes of jobs are taken in, on which the bound on cancellations rests.
 * Guarded by [lock], which is never held during a call.
 */
class JobInformer(
    private val lock: ReentrantLock,
    private val cluster: ClusterState,
    private val dependencies: JobDependencies,
    private val signals: TermSignals,
    private val store: StateStore,
    private val prerequisiteLists: PrerequisiteLists,
    private val clock: Clock,
    knownBefore: WallTime,
    /** What else wants to know of jobs. */
    private val listener: JobInformerListener,
) {
    private var watchFrom = Revision(0u)

    /** All changes of jobs before this are taken in, on this node's steady clock and by its time of day. */
    private var knownUpTo = MonotonicTime(0)
    private var knownUpToWall = knownBefore

    /** How long ago the jobs were last known; the caller holds the lock. */
    fun unknownForMs(now: MonotonicTime): Long = now - knownUpTo

    /** The low watermark of cancellations; the caller holds the lock. */
    fun watermark(): WallTime = cluster.watermark(knownUpToWall)

    /** Learns of new and cancelled jobs; waits up to [waitMs] for them. */
    fun watch(waitMs: Long) {
        val asked = clock.now()
        val askedWall = clock.wall()
        when (val outcome = store.watch(Keys.JOBS, watchFrom, waitMs)) {
            is WatchResult.Changes -> lock.withLock {
                for (change in outcome.changes) change.value?.let { takeInNews(Entry(change.key, it, change.modRevision)) }
                watchFrom = outcome.upTo
                known(asked, askedWall)
            }
            WatchResult.Compacted -> {
                val (entries, revision) = store.listAll(Keys.JOBS)
                lock.withLock { takeInAll(entries, revision, asked, askedWall) }
            }
        }
    }

    /** The stamp shows whether a change is news: what was written first may be seen last. */
    private fun takeInNews(entry: Entry) {
        val id = Keys.jobOfKey(entry.key) ?: return
        val record = RecordDecoder.decode<JobRecord>(entry.key, entry.value) ?: return
        listener.onRecord(record, entry.modRevision)
        val known = cluster.jobs[id]
        if (known == null || entry.modRevision.number > known.modRevision.number) takeIn(record, entry.modRevision)
    }

    /** Takes in all live jobs as they were at [revision] or later, asked for at [asked]; the caller holds the lock. */
    fun takeInAll(entries: List<Entry>, revision: Revision, asked: MonotonicTime, askedWall: WallTime) {
        for (entry in entries) RecordDecoder.decode<JobRecord>(entry.key, entry.value)?.let { takeIn(it, entry.modRevision) }
        watchFrom = revision
        known(asked, askedWall)
    }

    /** An answer holds all changes that were made before it was asked for. */
    private fun known(upTo: MonotonicTime, upToWall: WallTime) {
        knownUpTo = upTo
        knownUpToWall = upToWall
    }

    /** Takes in a job record; the caller holds the lock. */
    fun takeIn(record: JobRecord, modRevision: ModRevision) {
        val id = record.spec.id
        if (dependencies.isRememberedAsFinished(id)) return
        val isNew = id !in cluster.jobs
        val now = clock.now()
        val job = cluster.putJob(record, modRevision, now, knownUpToWall)
        if (isNew) dependencies.added(job, record, now)
        if (job.cancelRecorded) dependencies.cancelled(job)
        if (job.cancelled || listener.isCancelledElsewhere(job.id)) {
            stop(job, record.cancelled)
            signals.wakeWriter()
        } else {
            signals.wakePlacement()
        }
    }

    /** Another node committed these cancellations; their records may be seen much later. */
    fun cancellationsHeard(ids: List<JobId>) = lock.withLock {
        for (id in ids) cluster.jobs[id]?.let { stop(it, recorded = false) }
    }

    private fun stop(job: Job, recorded: Boolean) {
        job.cancel(knownUpToWall, recorded)
        job.live.values.forEach { listener.onCommandsDue(it) }
    }

    /** Removes a job whose final state is in the state service; the caller holds the lock. */
    fun finished(job: Job, record: FinishedJobRecord) {
        dependencies.removed(job)
        cluster.removeJob(job, clock.now())
        prerequisiteEnded(job.id, record)
        signals.wakePlacement()
    }

    /** What [id] ended as is known; the caller holds the lock. */
    private fun prerequisiteEnded(id: JobId, record: FinishedJobRecord) {
        if (dependencies.ended(id, record, clock.now())) signals.wakePlacement()
        if (cluster.finishing.isNotEmpty()) signals.wakeWriter()
    }

    /**
     * Looks up final states and long lists of prerequisites that live jobs name and this leader does not know; false
     * where there were none to look up. Until then those jobs wait.
     */
    fun resolvePrerequisites(): Boolean {
        val lists = lock.withLock { dependencies.unreadLists() }
        for (record in lists) {
            val prerequisites = prerequisiteLists.read(record)
            lock.withLock { dependencies.listRead(record.spec.id, prerequisites, clock.now()) }
        }
        val unresolved = lock.withLock { dependencies.takeUnresolved(MAX_RESOLVED_AT_ONCE, clock.now()) }
        for (id in unresolved) {
            val entry = store.get(Keys.finished(id)) ?: continue
            val record = RecordDecoder.decode<FinishedJobRecord>(entry.key, entry.value) ?: continue
            lock.withLock { prerequisiteEnded(id, record) }
        }
        return lists.isNotEmpty() || unresolved.isNotEmpty()
    }

    private companion object {
        const val MAX_RESOLVED_AT_ONCE = 100
    }
}

/** What [JobInformer] tells and asks others; called with the lock held. */
interface JobInformerListener {
    /** Whether another node told of a job's cancellation. */
    fun isCancelledElsewhere(id: JobId): Boolean

    /** A record of a live job was read. */
    fun onRecord(record: JobRecord, modRevision: ModRevision)

    /** The worker that [assignment] is with has to be told something. */
    fun onCommandsDue(assignment: Assignment)
}
