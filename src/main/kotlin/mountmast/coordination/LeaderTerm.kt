package mountmast.coordination

import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.decodeFromJsonElement
import mountmast.protocol.Clock
import mountmast.protocol.HeartbeatResponse
import mountmast.protocol.JobId
import mountmast.protocol.MachineId
import mountmast.protocol.MachineTypes
import mountmast.protocol.MonotonicTime
import mountmast.protocol.Revision
import mountmast.protocol.Stamp
import mountmast.protocol.TeamId
import mountmast.protocol.TeamQuota
import mountmast.protocol.WallTime
import mountmast.protocol.WireJson
import mountmast.protocol.WorkerReport
import mountmast.storage.Entry
import mountmast.storage.FailingRecord
import mountmast.storage.FollowOutcome
import mountmast.storage.ImagesRecord
import mountmast.storage.JobRecord
import mountmast.storage.JournalReader
import mountmast.storage.JournalRecord
import mountmast.storage.JournalText
import mountmast.storage.Keys
import mountmast.storage.OverRecord
import mountmast.storage.PrerequisiteLists
import mountmast.storage.SnapshotPart
import mountmast.storage.SnapshotRecord
import mountmast.storage.StateStore
import mountmast.storage.TypesForm
import mountmast.storage.UnreadableText
import mountmast.transport.Workers
import org.slf4j.LoggerFactory
import java.util.concurrent.locks.Condition
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

private val log = LoggerFactory.getLogger("mountmast.leader")

/** What one node does while it leads. All of its state is rebuilt by the next leader. */
class LeaderTerm(
    val grant: LeadershipGrant,
    private val store: StateStore,
    workers: Workers,
    private val teams: Map<TeamId, TeamQuota>,
    private val policy: Policy,
    private val timing: Timing,
    private val clock: Clock,
    /** Whether another node told of a job's cancellation. */
    private val isCancelled: (JobId) -> Boolean = { false },
    private val prerequisiteLists: PrerequisiteLists,
    /** Told of each record of a live job that is read. */
    private val onJobRecord: (JobRecord, Stamp) -> Unit = { _, _ -> },
) {
    /** Guards the ledger and everything below. Held for moments; never during I/O. */
    val lock = ReentrantLock()
    val ledger = Ledger(policy.runDecay).apply { beginTerm(grant.term) }

    /** Where the journal stands in the store. */
    val journal = JournalState()

    /** Signalled when there is something to write, and when there is something to place. */
    private val writable: Condition = lock.newCondition()
    private val placeable: Condition = lock.newCondition()
    private val scheduler = Scheduler(policy)
    private val delays = DelayReports(ledger)

    /** Which jobs wait for which. */
    private val dependencies = JobDependencies(ledger)
    private val snapshots = SchedulingSnapshots(ledger, dependencies, teams, timing, clock)
    val reachability = ReachabilityMonitor(ledger, grant, timing)
    private var assurance: Map<TeamId, Double> = emptyMap()
    private var followFrom = Revision(0u)

    /** All changes of jobs before this are taken in, on this node's steady clock and by its time of day. */
    private var knownUpTo = MonotonicTime(0)
    private var knownUpToWall = grant.watermark
    private var placeSoon = false

    /** Commands to the workers. */
    val dispatch =
        CommandDispatcher(lock, ledger, grant, workers, timing, clock, { now ->
            now - knownUpTo < timing.ttlMs
        }) { report, now -> takeReport(report, now, isHeartbeat = false) }

    /** Machine types that the store does not hold yet. */
    var pendingTypes: MachineTypes? = null

    /** Open tasks that found no machine in the last pass. */
    var waiting: List<Waiting> = emptyList()
        private set

    @Volatile
    var ready = false
        private set
    private var readyAt = MonotonicTime(0)
    private var imagesRead = false
    private var tidiedAt = MonotonicTime(Long.MIN_VALUE / 2)

    /**
     * Reads everything from the store, in two steps: first what is needed to go on, then hints. Only a leader changes
     * what is read here, and the one before can no more. False once all is read.
     */
    fun load(): Boolean {
        if (imagesRead) return false
        if (ready) {
            val (images, _) = store.listAll(Keys.IMAGES)
            imagesRead = true
            lock.withLock { for (entry in images) decode<ImagesRecord>(entry.key, entry.value)?.let(::recallImages) }
            return true
        }
        val asked = clock.now()
        val askedWall = clock.wall()
        val types = readTypes()
        val (jobs, revision) = store.listAll(Keys.JOBS)
        val pointer = store.get(Keys.SNAPSHOT)
        val snapshot = pointer?.let { decode<SnapshotRecord>(it.key, it.value) }
        val parts = if (snapshot == null) emptyList() else store.listAll(Keys.snapshotParts(snapshot.generation)).first
        val (slots, _) = store.listAll(Keys.JOURNAL)
        val failing = store.get(Keys.FAILING)
        lock.withLock {
            val now = clock.now()
            types?.let(::setTypes)
            for (entry in jobs) decode<JobRecord>(entry.key, entry.value)?.let { takeIn(it, entry.stamp) }
            journal.snapshotStamp = pointer?.stamp ?: Stamp.ABSENT
            replay(snapshot, parts, slots, now)
            failing?.let { entry -> decode<FailingRecord>(entry.key, entry.value)?.let { ledger.health.recall(it.jobs, now) } }
            followFrom = revision
            knownUpTo = asked
            knownUpToWall = askedWall
            readyAt = now
            ready = true
            log.info(
                "term {}: {} jobs, {} assignments on {} machines",
                grant.term,
                ledger.jobs.size,
                ledger.machines.values.sumOf { it.live.size },
                ledger.machines.size,
            )
        }
        return true
    }

    private fun recallImages(record: ImagesRecord) {
        for ((id, images) in record.images) {
            val machine = ledger.machines[id]
            if (machine?.type != null) machine.recallImages(images) else ledger.recalledImages[id] = images
        }
    }

    private fun replay(snapshot: SnapshotRecord?, parts: List<Entry>, slots: List<Entry>, now: MonotonicTime) {
        val reader = ledger.replay(now)
        var unreadable = 0
        if (snapshot != null) {
            journal.generation = snapshot.generation
            journal.snapshotUpTo = snapshot.upTo
            for (entry in parts.take(snapshot.parts)) {
                decode<SnapshotPart>(entry.key, entry.value)?.let { unreadable += replayText(entry.key, reader, it::text) }
            }
        }
        val records = ArrayList<JournalRecord>()
        for (entry in slots) {
            val slot = Keys.slotOfKey(entry.key) ?: continue
            val record = decode<JournalRecord>(entry.key, entry.value)
            // What cannot be read is written over.
            journal.note(slot, record?.number ?: 0, entry.stamp)
            record?.let { records += it }
        }
        records.sortBy { it.number }
        journal.next = maxOf(journal.snapshotUpTo, records.lastOrNull()?.number ?: 0) + 1
        for (record in records) {
            if (record.number > journal.snapshotUpTo) unreadable += replayText("record ${record.number}", reader, record::text)
        }
        if (unreadable > 0) log.error("{} entries of the journal cannot be read", unreadable)
    }

    /** Returns how many entries could not be read. */
    private fun replayText(name: String, reader: JournalReader, text: () -> String): Int = try {
        JournalText.read(text(), reader)
    } catch (e: UnreadableText) {
        log.error("unreadable text in {}: {}", name, e.message)
        1
    }

    private fun readTypes(): MachineTypes? = try {
        TypesForm.read(store)
    } catch (e: IllegalArgumentException) {
        log.error("unreadable machine types: {}", e.message)
        null
    }

    fun setTypes(types: MachineTypes) = lock.withLock {
        ledger.types.clear()
        for (type in types.types) ledger.types[type.id] = type
    }

    /** Learns of new and cancelled jobs; waits up to [waitMs] for them. */
    fun followJobs(waitMs: Long) {
        val asked = clock.now()
        val askedWall = clock.wall()
        when (val outcome = store.follow(Keys.JOBS, followFrom, waitMs)) {
            is FollowOutcome.Changes -> lock.withLock {
                for (change in outcome.changes) {
                    val value = change.value ?: continue
                    val id = Keys.jobOfKey(change.key) ?: continue
                    val record = decode<JobRecord>(change.key, value) ?: continue
                    onJobRecord(record, change.stamp)
                    // The stamp shows whether this is news: what was written first may be seen last.
                    val known = ledger.jobs[id]
                    if (known == null || change.stamp.number > known.stamp.number) takeIn(record, change.stamp)
                }
                followFrom = outcome.upTo
                known(asked, askedWall)
            }
            FollowOutcome.TooOld -> {
                val (entries, revision) = store.listAll(Keys.JOBS)
                lock.withLock {
                    for (entry in entries) decode<JobRecord>(entry.key, entry.value)?.let { takeIn(it, entry.stamp) }
                    followFrom = revision
                    known(asked, askedWall)
                }
            }
        }
    }

    /** An answer holds all changes that were made before it was asked for. */
    private fun known(upTo: MonotonicTime, upToWall: WallTime) {
        knownUpTo = upTo
        knownUpToWall = upToWall
    }

    /**
     * Whether workers may be answered, as far as cancellations go. A renewal shows who leads, not what users were told: a
     * node that the state service refuses, or whose reading hangs, does not hear of cancellations. Each lease that an answer
     * renews must run out before the first that may be unknown has to be carried out.
     */
    fun mayAnswerWorkers(): Boolean = lock.withLock {
        if (ready) clock.now() - knownUpTo < timing.informedMs else clock.wall() < timing.uninformedUntil(grant.watermark)
    }

    /** How long ago the jobs were last known, or null before they are. */
    fun uninformedMs(): Long? = lock.withLock { if (ready) clock.now() - knownUpTo else null }

    /** The low watermark of cancellations; the caller holds the lock. */
    fun watermark(): WallTime = ledger.watermark(knownUpToWall)

    /** Another node committed these cancellations; their records may be seen much later. */
    fun cancellationsHeard(ids: List<JobId>) = lock.withLock {
        for (id in ids) ledger.jobs[id]?.let { stopCancelled(it, recorded = false) }
    }

    private fun stopCancelled(job: Job, recorded: Boolean) {
        job.cancel(knownUpToWall, recorded)
        job.live.values.forEach { dispatch.queue(it.machine) }
    }

    /** Takes in a job record; the caller holds the lock. */
    fun takeIn(record: JobRecord, stamp: Stamp) {
        val id = record.spec.id
        if (dependencies.isRememberedAsOver(id)) return
        val isNew = id !in ledger.jobs
        val now = clock.now()
        val job = ledger.putJob(record, stamp, now, knownUpToWall)
        if (isNew) dependencies.added(job, record, now)
        if (job.cancelRecorded) dependencies.cancelled(job)
        if (job.cancelled || isCancelled(job.id)) {
            stopCancelled(job, record.cancelled)
            writable.signalAll()
        } else {
            wakePlacement()
        }
    }

    /** Removes a job whose final state is in the state service; the caller holds the lock. */
    fun jobOver(job: Job, record: OverRecord) {
        dependencies.removed(job)
        ledger.dropJob(job, clock.now())
        prerequisiteEnded(job.id, record)
        wakePlacement()
    }

    /** What [id] ended as is known; the caller holds the lock. */
    private fun prerequisiteEnded(id: JobId, record: OverRecord) {
        if (dependencies.ended(id, record, clock.now())) wakePlacement()
        if (ledger.finishing.isNotEmpty()) writable.signalAll()
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
            val entry = store.get(Keys.over(id)) ?: continue
            val record = decode<OverRecord>(entry.key, entry.value) ?: continue
            lock.withLock { prerequisiteEnded(id, record) }
        }
        return lists.isNotEmpty() || unresolved.isNotEmpty()
    }

    /** Takes a worker's report and tells the worker what is outstanding. */
    fun heartbeat(report: WorkerReport): HeartbeatResponse = lock.withLock {
        val now = clock.now()
        val nothing = HeartbeatResponse(maxOf(grant.term, report.term), emptyList())
        if (!ready) return nothing
        // A copy that comes late renews no lease: whoever sent it has long dropped the answer.
        if (!takeReport(report, now, isHeartbeat = true)) return nothing
        val machine = ledger.machines[report.machine] ?: return nothing
        if (reachability.note(machine, report, now, readyAt)) wakePlacement()
        machine.answeredAt = now
        machine.answeredReport = report.reportNumber
        val orders = dispatch.outstanding(machine, inHeartbeat = report.reportNumber)
        dispatch.fenceOffStopped(machine)
        HeartbeatResponse(dispatch.token(machine), orders)
    }

    private fun takeReport(report: WorkerReport, now: MonotonicTime, isHeartbeat: Boolean): Boolean {
        val before = ledger.machines[report.machine]
        val wasUsable = before?.usable(now) == true
        // A worker that is answered keeps its session, so a new one after an answer means that it did not arrive.
        val lostAnswers = before?.session?.let { report.session > it } == true && before.answeredReport != null
        val lostInLease = lostAnswers && now - checkNotNull(before).answeredAt < timing.leaseMs
        if (!ledger.report(report, now)) return false
        val machine = ledger.machines[report.machine] ?: return false
        if (lostAnswers &&
            isHeartbeat
        ) {
            machine.unacknowledgedReports += if (lostInLease) ReachabilityMonitor.MAX_UNACKNOWLEDGED_REPORTS else 1
        }
        if (isHeartbeat) machine.reportedAt = now
        val isOurs = report.term.election == grant.term.election
        if (isOurs) machine.hasSeenTerm = true
        dispatch.noteToken(machine, report.term)
        if (isHeartbeat && isOurs) withdrawStopped(machine, report)
        if (ledger.unwritten.isNotEmpty()) writable.signalAll()
        if (!wasUsable && machine.usable(now)) wakePlacement()
        return true
    }

    /**
     * Ends assignments that are to be stopped and never got to the worker: its report under our token lacks them,
     * and no start of them can be under way any more.
     */
    private fun withdrawStopped(machine: Machine, report: WorkerReport) {
        for (assignment in machine.live.values) {
            if (assignment.phase != Phase.COMMITTED || assignment.stopGraceS == null || assignment.reported != null) continue
            val inHeartbeat = assignment.startedInHeartbeat
            val mayArrive = assignment.postsOut > 0 ||
                assignment.key in machine.mayStillStart ||
                (inHeartbeat != null && report.reportNumber <= inHeartbeat)
            // What the report lists has been noted as reported by now.
            if (!mayArrive) ledger.end(assignment, completed = false)
        }
    }

    /**
     * Calls dead the workers whose lease has provably run out. A leader that was cut off knows nothing of what its
     * successor answered: silence counts only as far as it is certain that nobody else led, [ledUntil].
     */
    fun expireSilent(ledUntil: MonotonicTime) = lock.withLock {
        if (!ready) return
        val now = clock.now()
        // Others may have answered in our name until then.
        val helpedUntil = grant.electedAt + timing.helpMs
        for (machine in ledger.machines.values.toList()) {
            if (machine.state != MachineState.UP && machine.state != MachineState.SILENT) continue
            if (ledUntil - maxOf(machine.answeredAt, helpedUntil) < timing.leaseOverMs) continue
            // Until the worker has shown our token, the leader before us may have answered it during its grace.
            if (!machine.hasSeenTerm && ledUntil - readyAt < timing.formerLeaderMs + timing.leaseOverMs) continue
            log.info("machine {} silent: its lease is over, {} tasks lost", machine.id, machine.live.size)
            ledger.endSession(machine, null)
            machine.state = MachineState.EXPIRED
            machine.expiredAt = now
            writable.signalAll()
        }
    }

    /** Why this node had better not lead although the state service lets it, or null. */
    fun unfit(): String? = lock.withLock {
        val now = clock.now()
        val up = ledger.machines.values.filter { it.state == MachineState.UP && !it.deleting }
        if (!ready || now - readyAt < timing.quietMs || up.size < ReachabilityMonitor.MIN_MACHINES_TO_JUDGE_NODE) return null
        when {
            up.count { now - it.heardAt < timing.quietMs } * 2 < up.size -> "hardly any worker gets through to this node"
            reachability.areMostUnreached() -> "this node reaches hardly any worker"
            else -> null
        }
    }

    /** How long a machine may hear nothing before it is returned. */
    val unreachedPatienceMs: Long get() = 2 * timing.leaseOverMs

    /** One pass of the scheduler. */
    fun pass() = lock.withLock {
        if (!ready) return
        placeSoon = false
        val now = clock.now()
        releaseReservations(now)
        if (now - tidiedAt >= TIDY_MS) tidy(now)
        val plan = scheduler.plan(snapshots.take(now, assurance))
        assurance = plan.assurance
        waiting = plan.waiting
        for (start in plan.starts) {
            val job = ledger.jobs[start.job]?.takeIf { it.isReleased } ?: continue
            val machine = ledger.machines[start.machine] ?: continue
            if (log.isDebugEnabled) tellStart(start, job, machine, plan)
            ledger.assign(job, start.index, machine, now)
        }
        for (eviction in plan.evictions) evict(eviction, now)
        for (hold in plan.reservations) reserve(hold.machine, hold.forJob, now)
        if (ledger.unwritten.isNotEmpty()) writable.signalAll()
    }

    private fun tellStart(start: Start, job: Job, machine: Machine, plan: Plan) = log.debug(
        "{}/{} to {}, which {} its image; team {} has degree {}",
        start.job,
        start.index,
        start.machine,
        if (job.spec.image in machine.images) "holds" else "must fetch",
        job.spec.team,
        plan.assurance[job.spec.team],
    )

    /** What need not be looked at in each pass. */
    private fun tidy(now: MonotonicTime) {
        tidiedAt = now
        emptyNoticed(now)
        ledger.health.noticeSlow(now)
        emptyQuarantined()
        dispatch.callWorkers(readyAt, now)
        delays.tellStalls(waiting, now)
        delays.tellLate { job -> snapshots.untilS(job.ownDue) }
    }

    private fun reserve(id: MachineId, job: JobId, now: MonotonicTime) {
        val machine = ledger.machines[id] ?: return
        machine.reservedFor = job
        machine.reservedUntil = now + RESERVATION_MS
    }

    private fun evict(eviction: Eviction, now: MonotonicTime) {
        val machine = ledger.machines[eviction.machine] ?: return
        reserve(machine.id, eviction.forJob, now)
        log.info("machine {} emptied for {}: {} tasks stopped", machine.id, eviction.forJob, eviction.victims.size)
        val victims = ArrayList<String>()
        for (assignment in machine.live.values) {
            if (assignment.stopGraceS != null) continue
            assignment.stopGraceS = assignment.job.spec.saveS
            assignment.evicted = true
            victims += assignment.taskName
        }
        // The pass's evictions go out in one state write, together with its starts.
        victims.chunked(VICTIMS_PER_ENTRY).forEach { ledger.unwritten += Unwritten.Reserved(machine.id, eviction.forJob, it) }
        dispatch.queue(machine.id)
    }

    /** Stops what would not complete before the cloud takes its machine, so that it saves and goes on elsewhere. */
    private fun emptyNoticed(now: MonotonicTime) {
        for (machine in ledger.machines.values) {
            if (machine.noticed) stopOn(machine) { snapshots.remainingS(it, now) >= machine.noticeS }
        }
    }

    /** A sick or slow machine's tasks are better begun again elsewhere; it is returned once it is empty. */
    private fun emptyQuarantined() {
        for (machine in ledger.machines.values) if (machine.quarantined) stopOn(machine) { true }
    }

    private inline fun stopOn(machine: Machine, which: (Assignment) -> Boolean) {
        if (machine.state != MachineState.UP) return
        for (assignment in machine.live.values) {
            if (assignment.stopGraceS != null || assignment.phase != Phase.COMMITTED || !which(assignment)) continue
            assignment.stopGraceS = assignment.job.spec.saveS
            dispatch.queue(machine.id)
        }
    }

    private fun releaseReservations(now: MonotonicTime) {
        for (machine in ledger.machines.values) {
            val job = machine.reservedFor ?: continue
            val state = ledger.jobs[job]
            if (state == null || state.cancelled || state.openCount == 0 || now > machine.reservedUntil) machine.reservedFor = null
        }
    }

    /** Has the next pass come soon; the caller holds the lock. */
    fun wakePlacement() {
        placeSoon = true
        placeable.signalAll()
    }

    /** Wakes whoever writes; the caller holds the lock. */
    fun wakeWriter() = writable.signalAll()

    /** Waits until a pass is due or asked for. */
    fun awaitPlacement(ms: Long) {
        lock.withLock { if (!placeSoon) placeable.await(ms, java.util.concurrent.TimeUnit.MILLISECONDS) }
    }

    fun awaitWritable(ms: Long) {
        lock.withLock { writable.await(ms, java.util.concurrent.TimeUnit.MILLISECONDS) }
    }

    private inline fun <reified T> decode(key: String, value: JsonElement): T? = try {
        WireJson.decodeFromJsonElement<T>(value)
    } catch (e: IllegalArgumentException) {
        log.error("unreadable record {}: {}", key, e.message)
        null
    }

    private companion object {
        const val RESERVATION_MS = 30_000L
        const val TIDY_MS = 1000L
        const val VICTIMS_PER_ENTRY = 16
        const val MAX_RESOLVED_AT_ONCE = 100
    }
}
