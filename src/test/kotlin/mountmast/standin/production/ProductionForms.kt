package mountmast.standin.production

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.decodeFromJsonElement
import kotlinx.serialization.json.encodeToJsonElement
import kotlinx.serialization.protobuf.ProtoBuf
import java.util.BitSet

/** A process of the version in production cannot read what another wrote, or would write what it does not know. */
class BrokenContract(message: String, cause: Throwable? = null) : AssertionError(message, cause)

/** What a process of the version in production makes of stored values and of messages, by its own frozen classes. */
@OptIn(ExperimentalSerializationApi::class)
object ProductionForms {
    /** Whether production has a use for [key]; it reads no other. */
    fun knows(key: String): Boolean = key in SINGLE_KEYS || PREFIXES.any(key::startsWith)

    /** The value of [key] as production reads it and writes it back: fields that it does not know are lost. */
    fun pass(key: String, value: JsonElement): JsonElement = try {
        when {
            key == Keys.LEADER -> through<LeaderRecord>(value)
            key == Keys.TERM -> through<TermRecord>(value)
            key == Keys.TYPES -> through<MachineTypes>(value)
            key == Keys.SNAPSHOT -> through<SnapshotRecord>(value)
            key == Keys.WATERMARK -> through<WatermarkRecord>(value)
            key.startsWith(Keys.JOBS) -> passJob(key, value)
            key.startsWith(OVER) -> through<OverRecord>(value)
            key.startsWith(Keys.IMAGES) -> through<ImagesRecord>(value)
            key.startsWith(Keys.JOURNAL) -> passJournal(key, value)
            key.startsWith(Keys.SNAPSHOT_PARTS) -> passSnapshotPart(key, value)
            key.startsWith(Keys.PROGRESS) -> passProgress(key, value)
            else -> throw BrokenContract("production has no key $key")
        }
    } catch (e: IllegalArgumentException) {
        throw BrokenContract("production cannot read $key: $value", e)
    }

    private inline fun <reified T> through(value: JsonElement): JsonElement =
        WireJson.encodeToJsonElement(WireJson.decodeFromJsonElement<T>(value))

    private fun passJob(key: String, value: JsonElement): JsonElement {
        val spec = WireJson.decodeFromJsonElement<JobRecord>(value).spec
        if (Keys.jobOfKey(key) != spec.id) throw BrokenContract("production takes $key for a job")
        return through<JobRecord>(value)
    }

    private fun passJournal(key: String, value: JsonElement): JsonElement {
        if (Keys.slotOfKey(key) == null) throw BrokenContract("production takes $key for a slot of the journal")
        ProductionLedger().read(key, WireJson.decodeFromJsonElement<JournalRecord>(value).text)
        return through<JournalRecord>(value)
    }

    private fun passSnapshotPart(key: String, value: JsonElement): JsonElement {
        ProductionLedger().read(key, WireJson.decodeFromJsonElement<SnapshotPart>(value).text)
        return through<SnapshotPart>(value)
    }

    private fun passProgress(key: String, value: JsonElement): JsonElement {
        val lines = WireJson.decodeFromJsonElement<ProgressRecord>(value).text.split(';').filter { it.isNotEmpty() }
        for (line in lines) {
            val fields = line.split(' ')
            val readable =
                fields.size == PROGRESS_FIELDS && JobId.parse(fields[0]) != null && fields.drop(1).all { it.toIntOrNull() != null }
            if (!readable) throw BrokenContract("production cannot read '$line' in $key")
        }
        return through<ProgressRecord>(value)
    }

    /** The bytes of a greeting as production reads it and sends it on. */
    fun passHello(bytes: ByteArray): ByteArray = passMessage { ProtoBuf.encodeToByteArray(ProtoBuf.decodeFromByteArray<PeerHello>(bytes)) }

    fun passRelayRequest(bytes: ByteArray): ByteArray =
        passMessage { ProtoBuf.encodeToByteArray(ProtoBuf.decodeFromByteArray<RelayRequest>(bytes)) }

    fun passRelayAnswer(bytes: ByteArray): ByteArray =
        passMessage { ProtoBuf.encodeToByteArray(ProtoBuf.decodeFromByteArray<RelayAnswer>(bytes)) }

    private fun passMessage(through: () -> ByteArray): ByteArray = try {
        through()
    } catch (e: SerializationException) {
        throw BrokenContract("production cannot read a message", e)
    }

    private const val OVER = "f/"
    private const val PROGRESS_FIELDS = 3
    private val SINGLE_KEYS = setOf(Keys.LEADER, Keys.TERM, Keys.TYPES, Keys.SNAPSHOT, Keys.WATERMARK)
    private val PREFIXES = listOf(Keys.JOBS, OVER, Keys.IMAGES, Keys.JOURNAL, Keys.SNAPSHOT_PARTS, Keys.PROGRESS)
}

/** What production reads from a journal or snapshot: which tasks are where, and which are done. */
class ProductionLedger : JournalReader {
    /** Where a task is. */
    data class Placed(val machine: MachineId, val session: Session, val attempt: Attempt, val zone: Zone)

    val placed = HashMap<TaskId, Placed>()
    val done = HashMap<JobId, BitSet>()
    val evictions = HashMap<TaskId, Int>()

    /** Takes in the text of [key]; entries that cannot be read break the contract, since production only leaves them out. */
    fun read(key: String, text: String) {
        val unreadable = JournalText.read(text, this)
        if (unreadable > 0) throw BrokenContract("production cannot read $unreadable entries of $key: $text")
    }

    override fun done(job: JobId, ranges: String) {
        if (!Ranges.decodeInto(ranges, done.getOrPut(job) { BitSet() }, MOST_TASKS)) throw BrokenContract("ranges $ranges of $job")
    }

    override fun evictedBefore(task: TaskId, times: Int) {
        evictions[task] = times
    }

    override fun started(task: TaskId, machine: MachineId, session: Session, attempt: Attempt, zone: Zone) {
        placed[task] = Placed(machine, session, attempt, zone)
    }

    override fun ended(task: TaskId, end: TaskEnd) {
        placed -= task
        if (end == TaskEnd.DONE) done.getOrPut(task.job) { BitSet() }.set(task.index)
        if (end == TaskEnd.EVICTED) evictions.merge(task, 1, Int::plus)
    }

    override fun reserved(machine: MachineId, job: JobId, victims: List<TaskId>) = Unit

    private companion object {
        const val MOST_TASKS = 100_000
    }
}
