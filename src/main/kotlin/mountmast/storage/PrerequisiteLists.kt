package mountmast.storage

import kotlinx.serialization.json.decodeFromJsonElement
import kotlinx.serialization.json.encodeToJsonElement
import mountmast.protocol.JobId
import mountmast.protocol.ModRevision
import mountmast.protocol.StateLimits
import mountmast.protocol.WireJson
import java.security.MessageDigest

/**
 * Stores lists of prerequisites that are too long for one value of the state service, in parts. The parts are written before the
 * job's record, which names them by a digest of the list: a job counts as accepted only when all parts are there, and
 * parts that a submission left behind before it failed are never taken for those of another list. Thread-safe.
 */
class PrerequisiteLists(private val store: StateStore, private val limits: StateLimits) {
    /**
     * Returns the record to store for [record], whose spec names all prerequisites. If it does not fit into one value, its list is
     * written to keys of its own, and the record returned refers to them. Throws [StoreException] if they cannot be written; parts
     * written until then do no harm.
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

    /** Whether [record] can be stored: all of it but its prerequisites fits into one value. */
    fun fitsWithoutPrerequisites(record: JobRecord): Boolean =
        fits(record.copy(spec = record.spec.copy(prerequisites = emptyList()), prerequisiteList = LONGEST_REFERENCE))

    private fun fits(record: JobRecord): Boolean = jsonSize(WireJson.encodeToJsonElement(record)) <= limits.valueBytes

    private fun writeParts(job: JobId, reference: PrerequisiteListRef, numbers: List<Int>, parts: List<List<JobId>>) {
        val writes = numbers.map { number ->
            val value = WireJson.encodeToJsonElement(PrerequisiteListPart(parts[number]))
            Write.Put(Keys.prerequisiteList(job, reference.digest, number), value)
        }
        // An earlier write of these keys wrote the same values, as the digest is part of the keys.
        val compares = writes.map { Compare(it.key, ModRevision.ABSENT) }
        if (store.commit(Transaction(compares, writes)) is TransactionResult.Committed) return
        // An earlier submission wrote some of them before it failed: those missing are written one by one.
        for ((write, compare) in writes.zip(compares)) {
            if (store.get(write.key) == null) store.commit(Transaction(listOf(compare), listOf(write)))
        }
    }

    /**
     * All prerequisites that [record] names or refers to. Throws [StoreException] if they cannot be read, and
     * [IllegalArgumentException] if a part cannot be decoded.
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
        /** The longest id, in quotes, with a comma and a space. */
        const val BYTES_PER_ID = 24

        /** The JSON around the ids of a part. */
        const val PART_OVERHEAD_BYTES = 16
        const val DIGEST_BYTES = 8
        val LONGEST_REFERENCE = PrerequisiteListRef("0".repeat(2 * DIGEST_BYTES), 99_999)
    }
}
