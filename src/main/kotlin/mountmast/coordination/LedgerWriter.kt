package mountmast.coordination

import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.decodeFromJsonElement
import kotlinx.serialization.json.encodeToJsonElement
import mountmast.protocol.Clock
import mountmast.protocol.ImageId
import mountmast.protocol.JobId
import mountmast.protocol.JobStatus
import mountmast.protocol.MachineId
import mountmast.protocol.MachineTypes
import mountmast.protocol.Moment
import mountmast.protocol.Stamp
import mountmast.protocol.WallTime
import mountmast.protocol.WireJson
import mountmast.storage.CommitOutcome
import mountmast.storage.Condition
import mountmast.storage.FailingJob
import mountmast.storage.FailingRecord
import mountmast.storage.ImagesRecord
import mountmast.storage.JobRecord
import mountmast.storage.JournalRecord
import mountmast.storage.JournalText
import mountmast.storage.Keys
import mountmast.storage.OverRecord
import mountmast.storage.ProgressRecord
import mountmast.storage.Ranges
import mountmast.storage.SnapshotPart
import mountmast.storage.SnapshotRecord
import mountmast.storage.StateStore
import mountmast.storage.StoreSilent
import mountmast.storage.StoreTrouble
import mountmast.storage.TaskEnd
import mountmast.storage.Transaction
import mountmast.storage.WatermarkRecord
import mountmast.storage.Write
import org.slf4j.LoggerFactory
import kotlin.concurrent.withLock

private val log = LoggerFactory.getLogger("mountmast.writer")

/** How much the state service takes at once. */
data class WriteLimits(val valueKb: Double, val txnOps: Int) {
    /** Characters of text per value, with room for the JSON around them. */
    val textPerValue: Int = (valueKb * BYTES_PER_KB * VALUE_SHARE).toInt()

    private companion object {
        const val BYTES_PER_KB = 1024
        const val VALUE_SHARE = 0.9
    }
}

/**
 * Brings the ledger's changes into the store: group commit into a journal of few, large records, since the state
 * service counts writes. Now and then the whole ledger is written as a snapshot, in parts, and the journal's slots
 * are used again from then on.
 *
 * Every transaction depends on the leader's key, and on the slot that it writes: one that is applied late, by this
 * leader or a former one, changes nothing that was written since.
 */
class LedgerWriter(
    private val reign: Reign,
    private val store: StateStore,
    private val limits: WriteLimits,
    private val clock: Clock,
    private val onDeposed: () -> Unit,
) {
    private val ledger get() = reign.ledger
    private var watermarkNotBefore = Moment(0)
    private var imagesNotBefore = Moment(0)
    private var nextBucket = 0
    private val writtenImages = HashMap<Int, Map<MachineId, Map<ImageId, Double>>>()
    private var writtenWatermark: WallTime? = null
    private var failingNotBefore = Moment(0)
    private var writtenFailing: Map<JobId, FailingJob>? = null
    private var progressNotBefore = Moment(0)
    private val writtenProgress = ArrayList<String>()

    /** Parts of the snapshot that is being written, first those still to be written. */
    private var snapshotParts = ArrayDeque<String>()
    private var nextPart = 0
    private var snapshotting: SnapshotRecord? = null

    /** A batch that got no answer: asked again word for word until its fate is known. */
    private var unsettled: Batch? = null

    private class Batch {
        val conditions = ArrayList<Condition>()
        val writes = ArrayList<Write>()
        val written = ArrayList<Unwritten>()
        val over = ArrayList<Job>()
        var records = 0
        var bytes = 0L
        var types: MachineTypes? = null
        var parts = 0
        var snapshot: SnapshotRecord? = null
    }

    /** Writes one transaction if there is anything to write; false where there was nothing, or it failed. */
    fun step(): Boolean {
        val batch = unsettled ?: reign.lock.withLock { collect() } ?: return false
        val outcome = try {
            store.commit(Transaction(batch.conditions, batch.writes))
        } catch (e: StoreSilent) {
            log.debug("commit of {} writes: {}", batch.writes.size, e.message)
            unsettled = batch
            return false
        } catch (e: StoreTrouble) {
            log.debug("commit of {} writes: {}", batch.writes.size, e.message)
            // What was refused was not executed; but an earlier try of the same may have been.
            if (unsettled == null) reign.lock.withLock { putBack(batch) }
            return false
        }
        return when (outcome) {
            is CommitOutcome.Committed -> {
                unsettled = null
                reign.lock.withLock { committed(batch, Stamp(outcome.revision.number)) }
                true
            }
            is CommitOutcome.Conflict -> resolve(outcome.failed, batch)
        }
    }

    private fun collect(): Batch? {
        val batch = Batch()
        batch.conditions += Condition(Keys.LEADER, reign.mandate.stamp)
        addJournal(batch)
        addWatermark(batch)
        for (job in ledger.finishing.toList()) {
            if (batch.writes.size + 2 > limits.txnOps) break
            if (job.nothingLives()) addOver(batch, job)
        }
        reign.pendingTypes?.let { types ->
            if (batch.writes.size < limits.txnOps) {
                batch.types = types
                put(batch, Keys.TYPES, WireJson.encodeToJsonElement(types))
            }
        }
        addSnapshot(batch)
        addProgress(batch)
        addFailing(batch)
        addImages(batch)
        return batch.takeIf { it.writes.isNotEmpty() }
    }

    /** As many changes as the transaction and the free slots hold, in the order in which they happened. */
    private fun addJournal(batch: Batch) {
        val text = JournalText()
        val free = JOURNAL_SLOTS - (reign.journal.next - reign.journal.snapshotUpTo).toInt()
        val most = minOf(free, limits.txnOps - RESERVED_OPS, (MOST_BYTES / limits.textPerValue).coerceAtLeast(1))
        while (batch.records < most && ledger.unwritten.isNotEmpty()) {
            while (text.length < limits.textPerValue - LONGEST_ENTRY) {
                val change = ledger.unwritten.removeFirstOrNull() ?: break
                if (describe(change, text)) batch.written += change
            }
            if (text.length > 0) addRecord(batch, text.take())
        }
    }

    private fun addRecord(batch: Batch, text: String) {
        val journal = reign.journal
        val number = journal.next + batch.records++
        val slot = (number % JOURNAL_SLOTS).toInt()
        batch.conditions += Condition(Keys.journalSlot(slot), journal.stamps[slot])
        put(batch, Keys.journalSlot(slot), WireJson.encodeToJsonElement(JournalRecord(number, text)), text.length)
    }

    /** Writes [change] into [text]; false where it came to nothing before it was written. */
    private fun describe(change: Unwritten, text: JournalText): Boolean {
        when (change) {
            is Unwritten.Started -> {
                val assignment = change.assignment
                // Ended or cancelled before anybody could be told: it was never sent, nor will be.
                if (assignment.phase != Phase.INTENDED || assignment.job.cancelled) {
                    ledger.release(assignment, clock.now())
                    return false
                }
                assignment.beingWritten = true
                text.started(assignment.taskName, assignment.machine, assignment.session, assignment.attempt, assignment.zone)
            }
            is Unwritten.Ended -> {
                val assignment = change.assignment
                val end = if (assignment.completed) TaskEnd.DONE else if (assignment.evicted) TaskEnd.EVICTED else TaskEnd.UNDONE
                text.ended(assignment.taskName, end)
            }
            is Unwritten.Reserved -> text.reserved(change.machine, change.job, change.victims)
        }
        return true
    }

    private fun putBack(batch: Batch) {
        for (change in batch.written.asReversed()) {
            if (change is Unwritten.Started) change.assignment.beingWritten = false
            // An end that was noticed meanwhile stands in the queue behind it; such a start comes to nothing there.
            ledger.unwritten.addFirst(change)
        }
        // What users are told went with it.
        writtenProgress.replaceAll { UNKNOWN }
        progressNotBefore = Moment(0)
        watermarkNotBefore = Moment(0)
        writtenWatermark = null
        failingNotBefore = Moment(0)
        writtenFailing = null
    }

    private fun addOver(batch: Batch, job: Job) {
        val status = if (job.cancelRecorded) JobStatus.CANCELLED else JobStatus.DONE
        batch.conditions += Condition(Keys.job(job.id), job.stamp)
        put(batch, Keys.over(job.id), WireJson.encodeToJsonElement(OverRecord(status, job.spec.tasks)))
        batch.writes += Write.Delete(Keys.job(job.id))
        batch.over += job
    }

    private fun addSnapshot(batch: Batch) {
        val journal = reign.journal
        if (snapshotting == null) {
            if (journal.next - journal.snapshotUpTo <= SNAPSHOT_AFTER) return
            // It holds what was committed; what is in this batch or later is replayed on top of it.
            snapshotParts = ArrayDeque(reign.ledger.describe(limits.textPerValue - LONGEST_ENTRY))
            snapshotting = SnapshotRecord(journal.generation + 1, journal.next - 1, snapshotParts.size)
            nextPart = 0
        }
        val snapshot = checkNotNull(snapshotting)
        // Parts are written while the pointer still names the snapshot before: late ones then change nothing.
        batch.conditions += Condition(Keys.SNAPSHOT, journal.snapshotStamp)
        while (batch.parts < snapshotParts.size && batch.parts < PARTS_PER_BATCH && batch.bytes < MOST_BYTES && batch.writes.size < limits.txnOps) {
            val text = snapshotParts[batch.parts]
            val key = Keys.snapshotPart(snapshot.generation, nextPart + batch.parts++)
            put(batch, key, WireJson.encodeToJsonElement(SnapshotPart(text)), text.length)
        }
        if (snapshotParts.isEmpty() && batch.writes.size < limits.txnOps) {
            put(batch, Keys.SNAPSHOT, WireJson.encodeToJsonElement(snapshot))
            batch.snapshot = snapshot
        }
    }

    /** Tells the next leader, and those who help it, from when on there may be cancellations that no worker was told of. */
    private fun addWatermark(batch: Batch) {
        val now = clock.now()
        if (now < watermarkNotBefore) return
        watermarkNotBefore = now + WATERMARK_EVERY_MS
        val watermark = reign.watermark()
        if (watermark == writtenWatermark) return
        writtenWatermark = watermark
        put(batch, Keys.WATERMARK, WireJson.encodeToJsonElement(WatermarkRecord(watermark)))
    }

    /** Tells the nodes that users ask how far the running jobs have come. */
    private fun addProgress(batch: Batch) {
        val now = clock.now()
        if (now < progressNotBefore) return
        val texts = ArrayList<String>()
        val text = StringBuilder()
        for (job in ledger.jobs.values) {
            if (job.live.isEmpty() && job.doneCount == 0) continue
            text.append(job.id.text).append(' ').append(job.doneCount).append(' ').append(job.live.size).append(';')
            if (text.length >= limits.textPerValue - LONGEST_ENTRY) {
                texts += text.toString()
                text.setLength(0)
            }
        }
        if (text.isNotEmpty()) texts += text.toString()
        while (texts.size < writtenProgress.size) texts += ""
        for ((part, it) in texts.withIndex()) {
            if (batch.writes.size >= limits.txnOps || batch.bytes + it.length > MOST_BYTES) return
            if (part < writtenProgress.size && writtenProgress[part] == it) continue
            put(batch, Keys.progress(part), WireJson.encodeToJsonElement(ProgressRecord(it)), it.length)
            if (part < writtenProgress.size) writtenProgress[part] = it else writtenProgress += it
        }
        progressNotBefore = now + PROGRESS_EVERY_MS
    }

    /** Notes which jobs fail wherever they run: each new leader would start all of their tasks again, and evict others for them. */
    private fun addFailing(batch: Batch) {
        val now = clock.now()
        if (now < failingNotBefore || batch.writes.size >= limits.txnOps) return
        failingNotBefore = now + FAILING_EVERY_MS
        val failing = ledger.health.failing(most = limits.textPerValue / FAILING_LENGTH)
        if (failing == writtenFailing) return
        writtenFailing = failing
        put(batch, Keys.FAILING, WireJson.encodeToJsonElement(FailingRecord(failing)))
    }

    /**
     * Notes now and then which images machines hold: reports do not say, and a new leader that does not know sends
     * urgent work to machines that must fetch first.
     */
    private fun addImages(batch: Batch) {
        val now = clock.now()
        if (now < imagesNotBefore || batch.writes.size >= limits.txnOps) return
        imagesNotBefore = now + IMAGES_EVERY_MS
        val bucket = nextBucket
        nextBucket = (nextBucket + 1) % IMAGE_BUCKETS
        val held = LinkedHashMap<MachineId, Map<ImageId, Double>>()
        var length = 0
        for (machine in ledger.machines.values) {
            if (machine.id.hashCode().mod(IMAGE_BUCKETS) != bucket || machine.images.isEmpty()) continue
            length += machine.images.keys.sumOf { it.text.length + NUMBER_LENGTH } + machine.id.text.length
            if (length > limits.textPerValue || batch.bytes + length > MOST_BYTES) break
            held[machine.id] = LinkedHashMap(machine.images)
        }
        if (held == writtenImages[bucket] || (held.isEmpty() && bucket !in writtenImages)) return
        writtenImages[bucket] = held
        put(batch, Keys.IMAGES + bucket, WireJson.encodeToJsonElement(ImagesRecord(held)))
    }

    private fun put(batch: Batch, key: String, value: JsonElement, length: Int = value.toString().length) {
        batch.writes += Write.Put(key, value)
        batch.bytes += length
    }

    private fun committed(batch: Batch, stamp: Stamp) {
        val now = clock.now()
        val journal = reign.journal
        for (number in journal.next until journal.next + batch.records) journal.stamps[(number % JOURNAL_SLOTS).toInt()] = stamp
        journal.next += batch.records
        var freed = false
        for (change in batch.written) {
            when (change) {
                is Unwritten.Started -> started(change.assignment)
                is Unwritten.Ended -> {
                    ledger.release(change.assignment, now)
                    freed = true
                }
                is Unwritten.Reserved -> {}
            }
        }
        if (freed) reign.wakePlacement()
        repeat(batch.parts) { snapshotParts.removeFirst() }
        nextPart += batch.parts
        batch.snapshot?.let {
            journal.snapshotUpTo = it.upTo
            journal.generation = it.generation
            journal.snapshotStamp = stamp
            snapshotting = null
        }
        for (job in batch.over) {
            log.debug("job {} is over", job.id)
            reign.jobOver(job)
        }
        if (reign.pendingTypes === batch.types) reign.pendingTypes = null
        buryEmptied()
    }

    private fun started(assignment: Assignment) {
        assignment.beingWritten = false
        assignment.written = true
        if (assignment.phase != Phase.INTENDED) return
        assignment.phase = Phase.COMMITTED
        reign.dispatch.queue(assignment.machine)
    }

    /** Deleted machines whose assignments are released now are forgotten. */
    private fun buryEmptied() {
        ledger.machines.values.removeAll { it.deleting && it.live.isEmpty() && it.id in ledger.tombstones }
    }

    /** Learns what the store has instead of what was expected; true where the batch turns out to be in it. */
    private fun resolve(failed: List<String>, batch: Batch): Boolean {
        if (Keys.LEADER in failed) {
            onDeposed()
            return false
        }
        try {
            if (batch.records > 0 && unsettled != null) {
                val first = reign.journal.next
                val entry = store.get(Keys.journalSlot((first % JOURNAL_SLOTS).toInt()))
                val record = entry?.let { WireJson.decodeFromJsonElement<JournalRecord>(it.value) }
                if (entry != null && record?.number == first) {
                    // An earlier try was carried out although no answer came: only we write in this term.
                    unsettled = null
                    reign.lock.withLock { committed(batch, entry.stamp) }
                    return true
                }
            }
            unsettled = null
            reign.lock.withLock { putBack(batch) }
            for (key in failed) {
                when {
                    key.startsWith(Keys.JOBS) -> resolveJob(key)
                    // A snapshot's last step may have been carried out without an answer.
                    key == Keys.SNAPSHOT -> resolveSnapshot()
                    else -> log.error("{} was changed by somebody else", key)
                }
            }
        } catch (e: StoreTrouble) {
            log.debug("reading again: {}", e.message)
        } catch (e: IllegalArgumentException) {
            log.error("unreadable record among {}: {}", failed, e.message)
        }
        return false
    }

    private fun resolveJob(key: String) {
        val id = Keys.jobOfKey(key) ?: return
        val entry = store.get(key)
        val over = if (entry == null) store.get(Keys.over(id)) else null
        reign.lock.withLock {
            val job = ledger.jobs[id] ?: return
            when {
                entry != null -> reign.takeIn(WireJson.decodeFromJsonElement<JobRecord>(entry.value), entry.stamp)
                over != null -> reign.jobOver(job)
                else -> log.error("job {} is in the store no more", id)
            }
        }
    }

    private fun resolveSnapshot() {
        val entry = store.get(Keys.SNAPSHOT) ?: return
        val record = WireJson.decodeFromJsonElement<SnapshotRecord>(entry.value)
        reign.lock.withLock {
            reign.journal.snapshotUpTo = record.upTo
            reign.journal.generation = record.generation
            reign.journal.snapshotStamp = entry.stamp
            snapshotting = null
        }
    }

    companion object {
        /** Slots of the journal. A new leader reads them all, so they are few. */
        const val JOURNAL_SLOTS = 128

        /** A snapshot is begun after this many records. */
        private const val SNAPSHOT_AFTER = 48L
        private const val PARTS_PER_BATCH = 4

        /** Kept free in a transaction beside the journal, so that jobs can go over. */
        private const val RESERVED_OPS = 4

        /** Below the 64 KiB that a transaction may have, with room for conditions and names. */
        private const val MOST_BYTES = 40 * 1024

        /** No entry of the journal is longer, save evictions of very full machines. */
        private const val LONGEST_ENTRY = 400
        private const val WATERMARK_EVERY_MS = 2000L
        private const val PROGRESS_EVERY_MS = 1000L
        private const val FAILING_EVERY_MS = 1000L

        /** About what a job takes in the record of those that fail. */
        private const val FAILING_LENGTH = 200
        private const val IMAGES_EVERY_MS = 1500L
        private const val IMAGE_BUCKETS = 8
        private const val NUMBER_LENGTH = 24
        private const val UNKNOWN = "?"
    }
}
