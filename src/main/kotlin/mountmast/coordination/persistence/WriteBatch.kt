package mountmast.coordination.persistence

import kotlinx.serialization.json.JsonElement
import mountmast.coordination.state.Job
import mountmast.coordination.state.PendingChange
import mountmast.protocol.MachineTypes
import mountmast.protocol.ModRevision
import mountmast.storage.Compare
import mountmast.storage.FinishedJobRecord
import mountmast.storage.Keys
import mountmast.storage.SnapshotRecord
import mountmast.storage.Transaction
import mountmast.storage.Write
import mountmast.storage.jsonSize

/** A job that a transaction moves to its final state. */
class JobEnd(val job: Job, val record: FinishedJobRecord)

/**
 * One transaction of the leader while it is put together, and what it means for the ledger once it is carried out.
 * It holds at most [mostOps] changes. Its conditions are the leader's key, the snapshot's and at most one for each change,
 * which is no more than a transaction takes.
 */
class WriteBatch(leaderModRevision: ModRevision, private val mostOps: Int) {
    private val compares = arrayListOf(Compare(Keys.LEADER, leaderModRevision))
    private val writes = ArrayList<Write>()
    private var bytes = 0L

    /** Changes of the ledger that the journal's records in it tell of. */
    val written = ArrayList<PendingChange>()
    val records = ArrayList<SlottedRecord>()

    /** Jobs that are over with it. */
    val finished = ArrayList<JobEnd>()

    /** Machine types, and how many of the values that hold them it writes. */
    var types: MachineTypes? = null
    var typesWrites = 0

    /** Parts of the snapshot, and where the last of them ends in the snapshot's text. */
    var snapshotParts = 0
    var snapshotEnd = 0

    /** The pointer to a snapshot that is whole now. */
    var snapshot: SnapshotRecord? = null

    /** Changes that it still has room for. */
    val room: Int get() = if (bytes >= MAX_BYTES) 0 else mostOps - writes.size
    val isEmpty: Boolean get() = writes.isEmpty()

    fun requires(key: String, modRevision: ModRevision) {
        compares += Compare(key, modRevision)
    }

    fun put(key: String, value: JsonElement) = add(Write.Put(key, value))

    fun add(write: Write.Put) {
        writes += write
        bytes += jsonSize(write.value)
    }

    fun delete(key: String) {
        writes += Write.Delete(key)
    }

    fun transaction() = Transaction(compares, writes)

    private companion object {
        /** Below the 64 KiB that a transaction may have, with room for conditions, names and one more value. */
        const val MAX_BYTES = 40 * 1024
    }
}
