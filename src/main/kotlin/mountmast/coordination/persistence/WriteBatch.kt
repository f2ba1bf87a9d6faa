package mountmast.coordination.persistence

import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.encodeToJsonElement
import mountmast.coordination.state.Job
import mountmast.coordination.state.PendingChange
import mountmast.protocol.MachineTypes
import mountmast.protocol.ModRevision
import mountmast.protocol.WireJson
import mountmast.storage.Compare
import mountmast.storage.FinishedJobRecord
import mountmast.storage.Keys
import mountmast.storage.SnapshotRecord
import mountmast.storage.Transaction
import mountmast.storage.Write
import mountmast.storage.jsonSize

/** A finished job, whose live record a transaction replaces by its final [record]. */
internal class FinishedJob(val job: Job, val record: FinishedJobRecord)

/**
 * One transaction of the leader while it is filled, and the changes to apply to the cluster state once it is committed. It holds at most
 * [maxOps] puts and deletes. It compares the leader's key, the key of the snapshot's pointer, and at most one key for each put or
 * delete, which is within the limit of compares in a transaction.
 *
 * Filled under the lock of [PersistenceContext] and not changed afterwards.
 */
internal class WriteBatch(leaderModRevision: ModRevision, private val maxOps: Int) {
    private val compares = arrayListOf(Compare(Keys.LEADER, leaderModRevision))
    private val writes = ArrayList<Write>()
    private var valueBytes = 0L
    private val collectedChanges = ArrayList<PendingChange>()
    private val collectedRecords = ArrayList<SlottedRecord>()
    private val collectedJobs = ArrayList<FinishedJob>()

    /** Changes of the cluster state that [journalRecords] contain, in the order of their entries. */
    val journaledChanges: List<PendingChange> get() = collectedChanges

    /** Records that the batch appends to the journal. */
    val journalRecords: List<SlottedRecord> get() = collectedRecords

    /** Finished jobs whose live records the batch replaces by final ones. */
    val finishedJobs: List<FinishedJob> get() = collectedJobs

    /** The machine types of which the batch writes at least one value, or null if it writes none. */
    var machineTypes: MachineTypes? = null
        private set

    /** How many of the values that hold [machineTypes] the batch writes. */
    var machineTypesWriteCount = 0
        private set

    /** How many parts of a snapshot the batch writes. */
    var snapshotPartCount = 0
        private set

    /** Position in the snapshot's text, in characters, where the last snapshot part of the batch ends; 0 if it writes no part. */
    var snapshotTextEnd = 0
        private set

    /** The pointer to the snapshot that the batch completes, or null if it completes none. */
    var completedSnapshot: SnapshotRecord? = null
        private set

    /** How many puts and deletes may still be added; 0 once the values take [MAX_TOTAL_VALUE_BYTES]. */
    val remainingOps: Int get() = if (valueBytes >= MAX_TOTAL_VALUE_BYTES) 0 else maxOps - writes.size

    /** Whether there is nothing to write. */
    val isEmpty: Boolean get() = writes.isEmpty()

    /** Makes the transaction depend on [key] having [modRevision]. */
    fun addCompare(key: String, modRevision: ModRevision) {
        compares += Compare(key, modRevision)
    }

    /** Adds a put of [value] under [key]. */
    fun put(key: String, value: JsonElement) = put(Write.Put(key, value))

    /** Adds the journal record [slotted], which contains [changes], and the compare of its slot's key with [slotModRevision]. */
    fun addJournalRecord(slotted: SlottedRecord, slotModRevision: ModRevision, changes: List<PendingChange>) {
        addCompare(slotted.key, slotModRevision)
        put(slotted.key, WireJson.encodeToJsonElement(slotted.record))
        collectedRecords += slotted
        collectedChanges += changes
    }

    /** Adds the put of the job's final record, the delete of its live record, and the compare of the live record's key. */
    fun addFinishedJob(finished: FinishedJob) {
        val job = finished.job
        addCompare(Keys.job(job.id), job.modRevision)
        put(Keys.finished(job.id), WireJson.encodeToJsonElement(finished.record))
        writes += Write.Delete(Keys.job(job.id))
        collectedJobs += finished
    }

    /** Adds the put [value], which holds all or some of [types]. */
    fun addMachineTypes(types: MachineTypes, value: Write.Put) {
        machineTypes = types
        machineTypesWriteCount++
        put(value)
    }

    /** Adds a snapshot's next part, which ends at [textEnd] in the snapshot's text. */
    fun addSnapshotPart(key: String, value: JsonElement, textEnd: Int) {
        put(key, value)
        snapshotPartCount++
        snapshotTextEnd = textEnd
    }

    /** Adds the put of [pointer]. All parts of the snapshot that it points to have to be in the store already. */
    fun addSnapshotPointer(pointer: SnapshotRecord) {
        put(Keys.SNAPSHOT, WireJson.encodeToJsonElement(pointer))
        completedSnapshot = pointer
    }

    /** Creates the transaction that writes the batch; equal on each call once the batch is filled. */
    fun toTransaction() = Transaction(compares, writes)

    private fun put(write: Write.Put) {
        writes += write
        valueBytes += jsonSize(write.value)
    }

    private companion object {
        /**
         * Total size of values from which on no put or delete is added. Less than the 64 KiB that a transaction may have, so that the
         * compares, the keys and one more value still fit.
         */
        const val MAX_TOTAL_VALUE_BYTES = 40 * 1024
    }
}
