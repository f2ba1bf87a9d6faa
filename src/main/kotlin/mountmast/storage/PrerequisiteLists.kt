package mountmast.storage

import kotlinx.serialization.json.decodeFromJsonElement
import kotlinx.serialization.json.encodeToJsonElement
import mountmast.protocol.JobId
import mountmast.protocol.ModRevision
import mountmast.protocol.StateLimits
import mountmast.protocol.WireJson
import java.security.MessageDigest

/**
 * Stores lists of prerequisites that are too long for one value of the state service, divided into parts. The parts are written
 * before the job's record, so a job is accepted only once all of them are stored. The record and the keys of the parts contain a
 * digest of the list, so the parts of a submission that failed are never read as those of another list. Thread-safe.
 */
class PrerequisiteLists(private val store: StateStore, private val limits: StateLimits) {
    /**
     * Returns the record to store for [record], whose spec names all prerequisites. If [record] does not fit into one value, its list
     * of prerequisites is written to separate keys, to which the returned record refers. Throws [StoreException] if the list cannot be
     * written; parts that were written before the failure are harmless.
     */
    fun store(record: JobRecord): JobRecord {
        if (fits(record)) return record
        val prerequisites = record.spec.prerequisites
        if (prerequisites.isEmpty()) return record
        val parts = prerequisites.chunked(idsPerValue())
        val reference = PrerequisiteListRef(digest(prerequisites), parts.size)
        parts.indices.chunked(limits.transactionOps).forEach { numbers -> writeParts(record.spec.id, reference, numbers, parts) }
        return record.copy(spec = record.spec.copy(prerequisites = emptyList()), prerequisiteList = reference)
    }

    /** Whether [record] can be stored: without its prerequisites it fits into one value. */
    fun fitsWithoutPrerequisites(record: JobRecord): Boolean =
        fits(record.copy(spec = record.spec.copy(prerequisites = emptyList()), prerequisiteList = LONGEST_REFERENCE))

    private fun fits(record: JobRecord): Boolean = jsonSize(WireJson.encodeToJsonElement(record)) <= limits.valueBytes

    private fun writeParts(job: JobId, reference: PrerequisiteListRef, numbers: List<Int>, parts: List<List<JobId>>) {
        val writes = numbers.map { number ->
            val value = WireJson.encodeToJsonElement(PrerequisiteListPart(parts[number]))
            Write.Put(Keys.prerequisiteList(job, reference.digest, number), value)
        }
        // The keys contain the digest of the list, so a key that exists already has the value to be written.
        val compares = writes.map { Compare(it.key, ModRevision.ABSENT) }
        if (store.commit(Transaction(compares, writes)) is TransactionResult.Committed) return
        // An earlier submission wrote some of these parts before it failed; the missing parts are written one by one.
        for ((write, compare) in writes.zip(compares)) {
            if (store.get(write.key) == null) store.commit(Transaction(listOf(compare), listOf(write)))
        }
    }

    /**
     * Returns all prerequisites that [record] names or refers to. Throws [StoreException] if a part is missing or the state service
     * fails, and [IllegalArgumentException] if a part cannot be decoded.
     */
    fun read(record: JobRecord): List<JobId> {
        val reference = record.prerequisiteList ?: return record.spec.prerequisites
        return (0 until reference.parts).flatMap { part -> readPart(record.spec.id, reference.digest, part) }
    }

    private fun readPart(job: JobId, digest: String, part: Int): List<JobId> {
        val key = Keys.prerequisiteList(job, digest, part)
        val entry = store.get(key) ?: throw StoreTimeoutException("$key is missing")
        return WireJson.decodeFromJsonElement<PrerequisiteListPart>(entry.value).jobs
    }

    private fun idsPerValue() = maxOf(1, (limits.valueBytes - PART_OVERHEAD_BYTES) / BYTES_PER_ID)

    private fun digest(prerequisites: List<JobId>): String {
        val hash = MessageDigest.getInstance("SHA-256").digest(prerequisites.joinToString(",").encodeToByteArray())
        return hash.take(DIGEST_BYTES).joinToString("") { "%02x".format(it) }
    }

    private companion object {
        /** The longest job id (20 characters), in quotes, with a comma and a space. */
        const val BYTES_PER_ID = 24

        /** Bytes reserved for the JSON around the ids of a part. */
        const val PART_OVERHEAD_BYTES = 16
        const val DIGEST_BYTES = 8
        val LONGEST_REFERENCE = PrerequisiteListRef("0".repeat(2 * DIGEST_BYTES), 99_999)
    }
}
