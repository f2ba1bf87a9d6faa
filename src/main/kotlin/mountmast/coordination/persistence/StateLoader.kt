package mountmast.coordination.persistence

import mountmast.coordination.state.ClusterState
import mountmast.coordination.state.JobInformer
import mountmast.coordination.state.RecordDecoder
import mountmast.protocol.Clock
import mountmast.protocol.ModRevision
import mountmast.protocol.MonotonicTime
import mountmast.protocol.WallTime
import mountmast.storage.Entry
import mountmast.storage.FailingRecord
import mountmast.storage.ImagesRecord
import mountmast.storage.JournalReader
import mountmast.storage.JournalRecord
import mountmast.storage.JournalText
import mountmast.storage.Keys
import mountmast.storage.SnapshotPart
import mountmast.storage.StateStore
import mountmast.storage.UnreadableTextException
import org.slf4j.LoggerFactory
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

private val log = LoggerFactory.getLogger("mountmast.leader")

/** Result of [StateLoader.loadHints]: whether it read the hints about images that are cached on machines. */
enum class HintsLoad {
    /** The hints were read and restored. */
    LOADED,

    /** The hints were loaded before in this term; nothing was read. */
    ALREADY_LOADED,
}

/**
 * Rebuilds the leader's state from the records of live jobs and from what earlier leaders wrote. Later changes of the records of live jobs
 * are delivered by a watch. All else that is read here is written by leaders only, and no transaction of an earlier leader can be
 * committed any more. Called by one thread. Takes [lock], but never holds it during a call to the store.
 */
class StateLoader(
    private val lock: ReentrantLock,
    private val cluster: ClusterState,
    private val journal: JournalState,
    private val jobs: JobInformer,
    store: StateStore,
    private val clock: Clock,
) {
    private val reader = StoredStateReader(store)
    private var areHintsLoaded = false

    /** Reads and restores the state that the leader needs to continue. Throws `StoreException` if the store cannot be read. */
    fun loadState() {
        val requestedAt = clock.now()
        val requestedAtWall = clock.wall()
        val stored = reader.readState()
        val readAt = clock.now()
        lock.withLock { restoreState(stored, requestedAt, requestedAtWall) }
        log.info(
            "read {} jobs up to revision {}, {} parts of snapshot {} and {} slots of the journal in {} ms, replayed in {} ms",
            stored.liveJobs.size,
            stored.revision,
            stored.snapshot.parts.size,
            stored.snapshot.record?.generation ?: 0,
            stored.journalSlots.size,
            readAt - requestedAt,
            clock.now() - readAt,
        )
    }

    /**
     * Reads and restores the hints about which images are cached on which machines; the leader can begin to work without them. Reads
     * them only once in each term. Throws `StoreException` if the store cannot be read.
     */
    fun loadHints(): HintsLoad {
        if (areHintsLoaded) return HintsLoad.ALREADY_LOADED
        val images = reader.readImages()
        areHintsLoaded = true
        lock.withLock { for (entry in images) RecordDecoder.decode<ImagesRecord>(entry.key, entry.value)?.let(::restoreImages) }
        return HintsLoad.LOADED
    }

    private fun restoreState(stored: StoredState, requestedAt: MonotonicTime, requestedAtWall: WallTime) {
        stored.machineTypes?.let(cluster::replaceTypes)
        jobs.applyAll(stored.liveJobs, stored.revision, requestedAt, requestedAtWall)
        val replay = JournalReplay(cluster, clock.now())
        val unreadableCount = replaySnapshot(stored.snapshot, replay) + replayJournal(stored.journalSlots, replay)
        if (unreadableCount > 0) log.error("{} entries of the snapshot and the journal cannot be read", unreadableCount)
        stored.failingJobsEntry?.let(::restoreFailingJobs)
    }

    private fun restoreFailingJobs(entry: Entry) {
        RecordDecoder.decode<FailingRecord>(entry.key, entry.value)?.let { cluster.health.restoreFailingJobs(it.jobs, clock.now()) }
    }

    private fun restoreImages(record: ImagesRecord) {
        for ((id, images) in record.images) cluster.restoreImages(id, images)
    }

    /** Replays the latest complete snapshot. Returns how many of its entries could not be read. */
    private fun replaySnapshot(snapshot: StoredSnapshot, replay: JournalReader): Int {
        journal.setSnapshot(snapshot.record, snapshot.pointer?.modRevision ?: ModRevision.ABSENT)
        return snapshot.parts.take(snapshot.record?.parts ?: 0).sumOf { entry ->
            RecordDecoder.decode<SnapshotPart>(entry.key, entry.value)?.let { replayEntries(entry.key, replay, it::text) } ?: 0
        }
    }

    /** Replays the journal records that the snapshot does not contain. Returns how many of their entries could not be read. */
    private fun replayJournal(slots: List<Entry>, replay: JournalReader): Int {
        val records = slots.mapNotNull(::restoreSlot).sortedBy { it.number }
        journal.continueNumberingAfter(records.lastOrNull()?.number ?: 0)
        return records.filter { it.number > journal.lastRecordInSnapshot }.sumOf { replayEntries("record ${it.number}", replay, it::text) }
    }

    /** Returns the journal record in the slot of [entry], or null if it is unreadable; the slot of an unreadable record counts as free. */
    private fun restoreSlot(entry: Entry): JournalRecord? {
        val slot = Keys.slotOfKey(entry.key) ?: return null
        val record = RecordDecoder.decode<JournalRecord>(entry.key, entry.value)
        journal.setSlot(slot, record?.number ?: 0, entry.modRevision)
        return record
    }

    /**
     * Replays the journal entries in [text], which was read from [source]. Returns how many of them could not be read, or 1 if the whole
     * text is unreadable.
     */
    private fun replayEntries(source: String, replay: JournalReader, text: () -> String): Int = try {
        JournalText.read(text(), replay)
    } catch (e: UnreadableTextException) {
        log.error("unreadable text in {}: {}", source, e.message)
        1
    }
}
