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

/** A job that a transaction moves to its final state. */
internal class FinishedJob(val job: Job, val record: FinishedJobRecord)

/**
 * One transaction of the leader while it is collected, and what it means for the cluster state once it is committed.
 * It holds at most [maxOps] puts and deletes. It compares the leader's key, the snapshot's and at most one key for each put or
 * delete, which is no more than a transaction takes.
 *
 * Filled under the lock of [PersistenceContext] and not changed afterwards.
 */
internal class WriteBatch(leaderModRevision: ModRevision, private val maxOps: Int) {
    private val compares = arrayListOf(Compare(Keys.LEADER, leaderModRevision))
    private val writes = ArrayList<Write>()
    private var bytes = 0L
    private val collectedChanges = ArrayList<PendingChange>()
    private val collectedRecords = ArrayList<SlottedRecord>()
    private val collectedJobs = ArrayList<FinishedJob>()

    /** Changes of the cluster state that [journalRecords] contain, in their order. */
    val journaledChanges: List<PendingChange> get() = collectedChanges

    /** Records that the batch appends to the journal. */
    val journalRecords: List<SlottedRecord> get() = collectedRecords

    /** Jobs that the batch moves to their final state. */
    val finishedJobs: List<FinishedJob> get() = collectedJobs

    /** Machine types of which the batch writes at least a part, or null. */
    var machineTypes: MachineTypes? = null
        private set

    /** How many of the values that hold [machineTypes] the batch writes. */
    var machineTypesWriteCount = 0
        private set

    /** How many parts of a snapshot the batch writes. */
    var snapshotPartCount = 0
        private set

    /** Where the last of the snapshot's parts ends in the snapshot's text, in characters; 0 without parts. */
    var snapshotTextEnd = 0
        private set

    /** The pointer to a snapshot that the batch completes, or null. */
    var completedSnapshot: SnapshotRecord? = null
        private set

    /** How many puts and deletes may still be added. */
    val remainingOps: Int get() = if (bytes >= MAX_BYTES) 0 else maxOps - writes.size

    /** Whether there is nothing to write. */
    val isEmpty: Boolean get() = writes.isEmpty()

    /** Makes the transaction depend on [key] having [modRevision]. */
    fun addCompare(key: String, modRevision: ModRevision) {
        compares += Compare(key, modRevision)
    }

    /** Adds a put of [value] under [key]. */
    fun put(key: String, value: JsonElement) = put(Write.Put(key, value))

    /** Appends [slotted], which contains [changes], to the journal; its slot has to be at [slotModRevision]. */
    fun addJournalRecord(slotted: SlottedRecord, slotModRevision: ModRevision, changes: List<PendingChange>) {
        addCompare(slotted.key, slotModRevision)
        put(slotted.key, WireJson.encodeToJsonElement(slotted.record))
        collectedRecords += slotted
        collectedChanges += changes
    }

    /** Moves [finished] from the live jobs to the finished ones. */
    fun addFinishedJob(finished: FinishedJob) {
        val job = finished.job
        addCompare(Keys.job(job.id), job.modRevision)
        put(Keys.finished(job.id), WireJson.encodeToJsonElement(finished.record))
        writes += Write.Delete(Keys.job(job.id))
        collectedJobs += finished
    }

    /** Adds [value], which holds all or some of [types]. */
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

    /** Adds [pointer] to a snapshot all of whose parts are in the store. */
    fun addSnapshotPointer(pointer: SnapshotRecord) {
        put(Keys.SNAPSHOT, WireJson.encodeToJsonElement(pointer))
        completedSnapshot = pointer
    }

    /** The batch as the store takes it; the same each time. */
    fun transaction() = Transaction(compares, writes)

    private fun put(write: Write.Put) {
        writes += write
        bytes += jsonSize(write.value)
    }

    private companion object {
        /** Below the 64 KiB that a transaction may have, so that compares, keys and one more value fit. */
        const val MAX_BYTES = 40 * 1024
    }
}
