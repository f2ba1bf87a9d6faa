package mountmast.coordination.persistence

import mountmast.coordination.state.RecordDecoder
import mountmast.protocol.MachineTypes
import mountmast.protocol.Revision
import mountmast.storage.Entry
import mountmast.storage.Keys
import mountmast.storage.SnapshotRecord
import mountmast.storage.StateStore
import mountmast.storage.TypesForm
import org.slf4j.LoggerFactory

private val log = LoggerFactory.getLogger("mountmast.leader")

/**
 * The latest complete snapshot in the store.
 *
 * @property pointer the entry that points to the snapshot, or null if there is no snapshot
 * @property record what [pointer] holds, or null if it is unreadable
 * @property parts all parts under the keys of the snapshot's generation; parts beyond the number in [record] are left over from another
 * snapshot
 */
internal class StoredSnapshot(val pointer: Entry?, val record: SnapshotRecord?, val parts: List<Entry>)

/**
 * The part of what earlier leaders wrote to the store that a new leader needs to continue.
 *
 * @property machineTypes the machine types, or null if the store holds none or they are incomplete or unreadable
 * @property liveJobs records of the jobs that have not finished
 * @property revision the revision from which a watch sees all later changes of [liveJobs]
 * @property journalSlots all slots of the journal, in the order of their keys
 * @property failingJobsEntry the hint about jobs that fail on every machine, or null if the store holds none
 */
internal class StoredState(
    val machineTypes: MachineTypes?,
    val liveJobs: List<Entry>,
    val revision: Revision,
    val snapshot: StoredSnapshot,
    val journalSlots: List<Entry>,
    val failingJobsEntry: Entry?,
)

/** Reads what earlier leaders wrote to [store]. Takes no lock. */
internal class StoredStateReader(private val store: StateStore) {
    /** Reads the state that a new leader needs to continue. Throws `StoreException` if the store cannot be read. */
    fun readState(): StoredState {
        val machineTypes = readMachineTypes()
        val (liveJobs, revision) = store.listAll(Keys.JOBS)
        val snapshot = readSnapshot()
        val (journalSlots, _) = store.listAll(Keys.JOURNAL)
        return StoredState(machineTypes, liveJobs, revision, snapshot, journalSlots, store.get(Keys.FAILING))
    }

    /** Reads the hints about the images that are cached on machines. Throws `StoreException` if the store cannot be read. */
    fun readImages(): List<Entry> = store.listAll(Keys.IMAGES).first

    private fun readMachineTypes(): MachineTypes? = try {
        TypesForm.read(store)
    } catch (e: IllegalArgumentException) {
        log.error("unreadable machine types: {}", e.message)
        null
    }

    private fun readSnapshot(): StoredSnapshot {
        val pointer = store.get(Keys.SNAPSHOT)
        val record = pointer?.let { RecordDecoder.decode<SnapshotRecord>(it.key, it.value) }
        val parts = if (record == null) emptyList() else store.listAll(Keys.snapshotParts(record.generation)).first
        return StoredSnapshot(pointer, record, parts)
    }
}
