package mountmast.coordination.persistence

import mountmast.coordination.state.ClusterState
import mountmast.coordination.state.JobInformer
import mountmast.coordination.state.RecordDecoder
import mountmast.protocol.Clock
import mountmast.protocol.MachineTypes
import mountmast.protocol.ModRevision
import mountmast.protocol.MonotonicTime
import mountmast.storage.Entry
import mountmast.storage.FailingRecord
import mountmast.storage.ImagesRecord
import mountmast.storage.JournalReader
import mountmast.storage.JournalRecord
import mountmast.storage.JournalText
import mountmast.storage.Keys
import mountmast.storage.SnapshotPart
import mountmast.storage.SnapshotRecord
import mountmast.storage.StateStore
import mountmast.storage.TypesForm
import mountmast.storage.UnreadableText
import org.slf4j.LoggerFactory
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

private val log = LoggerFactory.getLogger("mountmast.leader")

/**
 * Rebuilds a leader's state from what the leaders before it wrote. Only a leader changes what is read here, and the one before
 * can no more. Called by one thread; takes [lock], but not during a call.
 */
class StateLoader(
    private val lock: ReentrantLock,
    private val cluster: ClusterState,
    private val journal: JournalState,
    private val jobs: JobInformer,
    private val store: StateStore,
    private val clock: Clock,
) {
    private var areImagesRead = false

    /** Reads what is needed to go on. */
    fun loadState() {
        val asked = clock.now()
        val askedWall = clock.wall()
        val types = readTypes()
        val (liveJobs, revision) = store.listAll(Keys.JOBS)
        val pointer = store.get(Keys.SNAPSHOT)
        val snapshot = pointer?.let { RecordDecoder.decode<SnapshotRecord>(it.key, it.value) }
        val parts = if (snapshot == null) emptyList() else store.listAll(Keys.snapshotParts(snapshot.generation)).first
        val (slots, _) = store.listAll(Keys.JOURNAL)
        val failing = store.get(Keys.FAILING)
        val read = clock.now()
        lock.withLock {
            types?.let(cluster::replaceTypes)
            jobs.takeInAll(liveJobs, revision, asked, askedWall)
            journal.snapshotModRevision = pointer?.modRevision ?: ModRevision.ABSENT
            replay(snapshot, parts, slots, clock.now())
            failing?.let(::recallFailing)
        }
        log.info(
            "read {} jobs up to revision {}, {} parts of snapshot {} and {} slots of the journal in {} ms, replayed in {} ms",
            liveJobs.size,
            revision,
            parts.size,
            snapshot?.generation ?: 0,
            slots.size,
            read - asked,
            clock.now() - read,
        )
    }

    /** Reads hints; false where they were read before. */
    fun loadHints(): Boolean {
        if (areImagesRead) return false
        val (images, _) = store.listAll(Keys.IMAGES)
        areImagesRead = true
        lock.withLock { for (entry in images) RecordDecoder.decode<ImagesRecord>(entry.key, entry.value)?.let(::recallImages) }
        return true
    }

    private fun readTypes(): MachineTypes? = try {
        TypesForm.read(store)
    } catch (e: IllegalArgumentException) {
        log.error("unreadable machine types: {}", e.message)
        null
    }

    private fun recallFailing(entry: Entry) {
        RecordDecoder.decode<FailingRecord>(entry.key, entry.value)?.let { cluster.health.recall(it.jobs, clock.now()) }
    }

    private fun recallImages(record: ImagesRecord) {
        for ((id, images) in record.images) {
            val machine = cluster.machines[id]
            if (machine?.type != null) machine.recallImages(images) else cluster.recalledImages[id] = images
        }
    }

    private fun replay(snapshot: SnapshotRecord?, parts: List<Entry>, slots: List<Entry>, now: MonotonicTime) {
        val reader = JournalReplay(cluster, now)
        var unreadable = 0
        if (snapshot != null) {
            journal.generation = snapshot.generation
            journal.snapshotUpTo = snapshot.upTo
            for (entry in parts.take(snapshot.parts)) {
                RecordDecoder.decode<SnapshotPart>(entry.key, entry.value)?.let { unreadable += replayText(entry.key, reader, it::text) }
            }
        }
        val records = slots.mapNotNull(::noteSlot).sortedBy { it.number }
        journal.next = maxOf(journal.snapshotUpTo, records.lastOrNull()?.number ?: 0) + 1
        for (record in records) {
            if (record.number > journal.snapshotUpTo) unreadable += replayText("record ${record.number}", reader, record::text)
        }
        if (unreadable > 0) log.error("{} entries of the journal cannot be read", unreadable)
    }

    /** What a slot of the journal holds; what cannot be read is written over. */
    private fun noteSlot(entry: Entry): JournalRecord? {
        val slot = Keys.slotOfKey(entry.key) ?: return null
        val record = RecordDecoder.decode<JournalRecord>(entry.key, entry.value)
        journal.note(slot, record?.number ?: 0, entry.modRevision)
        return record
    }

    /** Returns how many entries could not be read. */
    private fun replayText(name: String, reader: JournalReader, text: () -> String): Int = try {
        JournalText.read(text(), reader)
    } catch (e: UnreadableText) {
        log.error("unreadable text in {}: {}", name, e.message)
        1
    }
}
