package mountmast.coordination

import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.decodeFromJsonElement
import kotlinx.serialization.json.encodeToJsonElement
import mountmast.protocol.Clock
import mountmast.protocol.ImageId
import mountmast.protocol.JobStatus
import mountmast.protocol.MachineId
import mountmast.protocol.MachineTypes
import mountmast.protocol.Moment
import mountmast.protocol.Stamp
import mountmast.protocol.WireJson
import mountmast.storage.CommitOutcome
import mountmast.storage.Condition
import mountmast.storage.EvictionsRecord
import mountmast.storage.ImagesRecord
import mountmast.storage.JobRecord
import mountmast.storage.Keys
import mountmast.storage.OverRecord
import mountmast.storage.StateStore
import mountmast.storage.StoreTrouble
import mountmast.storage.Transaction
import mountmast.storage.Write
import org.slf4j.LoggerFactory
import kotlin.concurrent.withLock

private val log = LoggerFactory.getLogger("mountmast.writer")

/**
 * Brings the ledger's changes into the store, many in one transaction. Every transaction depends on the leader's
 * key and on each job's and chunk's version, so that one applied late, by this leader or a former one, changes
 * nothing that was written since.
 */
class LedgerWriter(
    private val reign: Reign,
    private val store: StateStore,
    private val txnOps: Int,
    private val clock: Clock,
    private val onDeposed: () -> Unit,
) {
    private val ledger get() = reign.ledger

    /** Chunks of jobs that are over and did not fit into the transaction that ended them. */
    private val garbage = ArrayDeque<String>()

    private var imagesNotBefore = Moment(0)
    private var nextBucket = 0
    private val writtenImages = HashMap<Int, Map<MachineId, Map<ImageId, Double>>>()

    private class ChunkWrite(val job: Job, val chunk: Chunk, val version: Long, val intended: List<Assignment>, val ended: List<Assignment>)

    private class Batch {
        val conditions = ArrayList<Condition>()
        val writes = ArrayList<Write>()
        val chunks = ArrayList<ChunkWrite>()
        val over = ArrayList<Job>()
        var evictions: EvictionsRecord? = null
        var types: MachineTypes? = null
        var bytes = 0
    }

    /** Writes one transaction if there is anything to write; false where there was nothing, or it failed. */
    fun step(): Boolean {
        val batch = reign.lock.withLock { collect() } ?: return false
        val outcome = try {
            store.commit(Transaction(batch.conditions, batch.writes))
        } catch (e: StoreTrouble) {
            // Where the store was silent this may still be applied; the retry then meets a changed version.
            log.debug("commit of {} writes: {}", batch.writes.size, e.message)
            return false
        }
        return when (outcome) {
            is CommitOutcome.Committed -> {
                reign.lock.withLock { committed(batch, Stamp(outcome.revision.number)) }
                true
            }
            is CommitOutcome.Conflict -> {
                resolve(outcome.failed, batch)
                false
            }
        }
    }

    private fun collect(): Batch? {
        val batch = Batch()
        batch.conditions += Condition(Keys.LEADER, reign.mandate.stamp)
        val dirty = ArrayList<Pair<Job, Chunk>>()
        for (job in ledger.jobs.values.toList()) {
            if (job.cancelled) {
                // The next leader stops a cancelled job's tasks instead of starting them, so nothing need be written;
                // and what was only intended was never sent, nor will be.
                job.live.values.filter { it.phase != Phase.COMMITTED }.forEach { ledger.release(it, clock.now()) }
            }
            val over = (job.isComplete || job.cancelled) && job.nothingLives()
            if (over) addOver(batch, job) else if (!job.cancelled) job.chunks.values.filter { it.dirty }.mapTo(dirty) { job to it }
        }
        dirty.sortBy { (_, chunk) -> chunk.dirtySince }
        for ((job, chunk) in dirty) {
            if (batch.writes.size >= txnOps || batch.conditions.size + 2 > 4 * txnOps || batch.bytes > MOST_BYTES) break
            addChunk(batch, job, chunk)
        }
        reign.pendingEvictions?.let { evictions ->
            if (batch.writes.size < txnOps) {
                batch.evictions = evictions
                put(batch, Keys.EVICTIONS, WireJson.encodeToJsonElement(evictions))
            }
        }
        reign.pendingTypes?.let { types ->
            if (batch.writes.size < txnOps) {
                batch.types = types
                put(batch, Keys.TYPES, WireJson.encodeToJsonElement(types))
            }
        }
        addImages(batch)
        garbage += reign.orphans
        reign.orphans.clear()
        while (garbage.isNotEmpty() && batch.writes.size < txnOps) batch.writes += Write.Delete(garbage.removeFirst())
        return batch.takeIf { it.writes.isNotEmpty() }
    }

    /**
     * Notes now and then which images machines hold: reports do not say, and a new leader that does not know sends
     * urgent work to machines that must fetch first.
     */
    private fun addImages(batch: Batch) {
        val now = clock.now()
        if (now < imagesNotBefore || batch.writes.size >= txnOps) return
        imagesNotBefore = now + IMAGES_EVERY_MS
        val bucket = nextBucket
        nextBucket = (nextBucket + 1) % IMAGE_BUCKETS
        val held = ledger.machines.values.filter { it.id.hashCode().mod(IMAGE_BUCKETS) == bucket && it.images.isNotEmpty() }
            .take(MOST_PER_BUCKET).associate { it.id to LinkedHashMap(it.images) }
        if (held == writtenImages[bucket] || (held.isEmpty() && bucket !in writtenImages)) return
        writtenImages[bucket] = held
        put(batch, Keys.IMAGES + bucket, WireJson.encodeToJsonElement(ImagesRecord(held)))
    }

    private fun addOver(batch: Batch, job: Job) {
        if (batch.writes.size + 2 > txnOps) return
        val status = if (job.cancelled) JobStatus.CANCELLED else JobStatus.DONE
        batch.conditions += Condition(Keys.job(job.id), job.stamp)
        put(batch, Keys.over(job.id), WireJson.encodeToJsonElement(OverRecord(status, job.spec.tasks)))
        batch.writes += Write.Delete(Keys.job(job.id))
        for (chunk in job.chunks.values) {
            val key = Keys.chunk(job.id, chunk.number)
            if (chunk.stamp == Stamp.ABSENT) continue
            if (batch.writes.size < txnOps) batch.writes += Write.Delete(key) else garbage += key
        }
        batch.over += job
    }

    private fun addChunk(batch: Batch, job: Job, chunk: Chunk) {
        val condition = Condition(Keys.job(job.id), job.stamp)
        if (condition !in batch.conditions) batch.conditions += condition
        batch.conditions += Condition(Keys.chunk(job.id, chunk.number), chunk.stamp)
        put(batch, Keys.chunk(job.id, chunk.number), WireJson.encodeToJsonElement(job.record(chunk)))
        val own = job.live.values.filter { job.chunkOf(it.index) === chunk }
        batch.chunks += ChunkWrite(
            job, chunk, chunk.version,
            own.filter { it.phase == Phase.INTENDED }, own.filter { it.phase == Phase.ENDED },
        )
    }

    private fun put(batch: Batch, key: String, value: JsonElement) {
        batch.writes += Write.Put(key, value)
        batch.bytes += value.toString().length
    }

    private fun committed(batch: Batch, stamp: Stamp) {
        val now = clock.now()
        for (write in batch.chunks) {
            write.chunk.stamp = stamp
            write.chunk.writtenVersion = write.version
            for (assignment in write.ended) ledger.release(assignment, now)
            for (assignment in write.intended) {
                if (assignment.phase != Phase.INTENDED) continue
                assignment.phase = Phase.COMMITTED
                reign.queuePost(assignment.machine)
            }
            if (write.ended.isNotEmpty()) reign.wakePlacement()
        }
        for (job in batch.over) {
            log.debug("job {} is over", job.id)
            reign.jobOver(job)
        }
        if (reign.pendingEvictions === batch.evictions) reign.pendingEvictions = null
        if (reign.pendingTypes === batch.types) reign.pendingTypes = null
        buryEmptied()
    }

    /** Deleted machines whose assignments are released now are forgotten. */
    private fun buryEmptied() {
        ledger.machines.values.removeAll { it.id in ledger.tombstones && it.live.isEmpty() }
    }

    /** Learns what the store has instead of what was expected. */
    private fun resolve(failed: List<String>, batch: Batch) {
        if (Keys.LEADER in failed) return onDeposed()
        for (key in failed) {
            try {
                if (key.startsWith(Keys.JOBS)) resolveJob(key) else resolveChunk(key, batch)
            } catch (e: StoreTrouble) {
                log.debug("reading {} again: {}", key, e.message)
            }
        }
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

    private fun resolveChunk(key: String, batch: Batch) {
        val entry = store.get(key)
        reign.lock.withLock {
            val write = batch.chunks.firstOrNull { Keys.chunk(it.job.id, it.chunk.number) == key } ?: return
            write.chunk.stamp = entry?.stamp ?: Stamp.ABSENT
        }
    }

    private companion object {
        const val MOST_BYTES = 40 * 1024
        const val IMAGES_EVERY_MS = 1500L
        const val IMAGE_BUCKETS = 8

        /** Keeps a bucket's record well within a value. */
        const val MOST_PER_BUCKET = 12
    }
}
