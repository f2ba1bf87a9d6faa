package mountmast.contract

import com.sun.net.httpserver.HttpServer
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.decodeFromJsonElement
import kotlinx.serialization.json.encodeToJsonElement
import kotlinx.serialization.protobuf.ProtoBuf
import mountmast.protocol.Attempt
import mountmast.protocol.JobId
import mountmast.protocol.JobValidation
import mountmast.protocol.MachineId
import mountmast.protocol.MachineTypes
import mountmast.protocol.ModRevision
import mountmast.protocol.Revision
import mountmast.protocol.StateLimits
import mountmast.protocol.StoreLeaseId
import mountmast.protocol.TaskId
import mountmast.protocol.WallTime
import mountmast.protocol.WireJson
import mountmast.protocol.WorkerIncarnation
import mountmast.protocol.Zone
import mountmast.standin.ProcessFaults
import mountmast.standin.SimulatedStateStore
import mountmast.standin.VirtualTime
import mountmast.storage.Compare
import mountmast.storage.Entry
import mountmast.storage.EntryPage
import mountmast.storage.FORMAT_VERSION
import mountmast.storage.HttpStateStore
import mountmast.storage.JobRecord
import mountmast.storage.JournalReader
import mountmast.storage.JournalText
import mountmast.storage.Keys
import mountmast.storage.PrerequisiteLists
import mountmast.storage.Ranges
import mountmast.storage.StateStore
import mountmast.storage.TaskEnd
import mountmast.storage.TextCodec
import mountmast.storage.Transaction
import mountmast.storage.TransactionResult
import mountmast.storage.TypesForm
import mountmast.storage.WatchEvent
import mountmast.storage.WatchResult
import mountmast.storage.Write
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.io.File
import java.net.InetSocketAddress
import java.util.BitSet
import kotlin.random.Random

/**
 * Pins what this release stores and sends: the encoded examples must equal the lines of `src/test/resources/current`, and
 * the lines must decode to the examples. Nodes of two versions share the stored keys and talk to each other during an
 * upgrade, so a changed line changes the contract between versions, whatever changed in the sources.
 *
 * The compressed form of a text depends on the Deflate library, so for compressed texts only decompression is pinned.
 */
@OptIn(ExperimentalSerializationApi::class)
class SerializedFormsTest {
    /** The lines of one fixture file, each of the form `name value`. */
    private class Fixture(private val file: String) {
        private val values = File("src/test/resources/current/$file").readLines().filter { it.isNotBlank() }
            .associate { it.substringBefore(' ') to it.substringAfter(' ') }

        operator fun get(name: String): String = values[name] ?: throw AssertionError("$file has no line $name")

        /** Compares all lines with [written], by name, and reports every difference. */
        fun assertEqualTo(written: List<Pair<String, String>>) {
            val differences = ArrayList<String>()
            for ((name, value) in written) {
                if (values[name] != value) differences += "$file, line $name: the file has ${values[name]}, this code writes\n$name $value"
            }
            (values.keys - written.map { it.first }.toSet()).forEach { differences += "$file, line $it: nothing is compared with it" }
            assertEquals(written.size, written.map { it.first }.toSet().size, "$file: two lines to compare have the same name")
            assertTrue(differences.isEmpty(), differences.joinToString("\n"))
        }
    }

    private val json = Fixture("json.txt")
    private val protobuf = Fixture("protobuf.txt")
    private val keys = Fixture("keys.txt")
    private val journal = Fixture("journal.txt")
    private val lists = Fixture("lists.txt")
    private val calls = Fixture("calls.txt")

    /** Returns the result of [read]. If decoding fails, throws an [AssertionError] that names the [line]. */
    private fun <T> decodeLine(line: String, read: () -> T): T = try {
        read()
    } catch (e: SerializationException) {
        throw AssertionError("$line cannot be read: ${e.message}", e)
    }

    private fun <T : Any> Example<T>.toJson() = WireJson.encodeToString(serializer, value)

    private fun <T : Any> Example<T>.assertReadFromJson(text: String) =
        assertEquals(value, decodeLine("json.txt, line $name") { WireJson.decodeFromString(serializer, text) }, "json.txt, line $name")

    private fun <T : Any> Example<T>.toProtobuf() = ProtoBuf.encodeToByteArray(serializer, value).joinToString("") { "%02x".format(it) }

    private fun <T : Any> Example<T>.assertReadFromProtobuf(text: String) {
        val bytes = text.chunked(2).map { it.toInt(16).toByte() }.toByteArray()
        val read = decodeLine("protobuf.txt, line $name") { ProtoBuf.decodeFromByteArray(serializer, bytes) }
        assertEquals(value, read, "protobuf.txt, line $name")
    }

    @Test
    fun `every JSON form is written as pinned`() = json.assertEqualTo(SerializedExamples.json.map { it.name to it.toJson() })

    @Test
    fun `every pinned JSON form is read`() = SerializedExamples.json.forEach { it.assertReadFromJson(json[it.name]) }

    @Test
    fun `every message between nodes is written as pinned`() =
        protobuf.assertEqualTo(SerializedExamples.protobuf.map { it.name to it.toProtobuf() })

    @Test
    fun `every pinned message between nodes is read`() =
        SerializedExamples.protobuf.forEach { it.assertReadFromProtobuf(protobuf[it.name]) }

    @Test
    fun `a submission is read field by field as its stored form is`() {
        assertEquals(
            SerializedExamples.fullJob,
            JobValidation.parse(JobValidation.parseObject(json["job-full"])),
            "json.txt, line job-full",
        )
        assertEquals(SerializedExamples.leastJob, JobValidation.parse(JobValidation.parseObject(json["job-least"])), "line job-least")
    }

    @Test
    fun `no serializable type is left out`() {
        val sources = File("src/main/kotlin").walk().filter { it.extension == "kt" }.map { it.readText() }.toList()
        val annotationCount = sources.sumOf { Regex("@Serializable\\b").findAll(it).count() }
        val declaration =
            Regex("@Serializable\\b(?:\\([^)]*\\))?\\s+(?:@\\w+(?:\\([^)]*\\))?\\s+)*((?:\\w+\\s+)*?)(?:class|object|interface)\\s+(\\w+)")
        val declared = sources.flatMap { declaration.findAll(it) }
        assertEquals(annotationCount, declared.size, "a use of @Serializable that this test does not recognize")
        val (private, visible) = declared.partition { "private" in it.groupValues[1] }
        val pinned = (SerializedExamples.json + SerializedExamples.protobuf).map { it.className }.toSet()
        assertEquals(emptySet<String>(), visible.map { it.groupValues[2] }.toSet() - pinned, "types without an example")
        assertEquals(visible.size, pinned.size, "several types have the same name")
        assertEquals(
            PRIVATE_TYPES,
            private.size,
            "private types, which `the calls to the state service are sent as pinned, and its answers are read` pins",
        )
    }

    @Test
    fun `every key is written as pinned`() {
        val job = JobId("j-000412")
        val constants = listOf(
            "leader" to Keys.LEADER,
            "term" to Keys.TERM,
            "types" to Keys.TYPES,
            "types-parts" to Keys.TYPES_PARTS,
            "jobs" to Keys.JOBS,
            "images" to Keys.IMAGES,
            "journal" to Keys.JOURNAL,
            "snapshot" to Keys.SNAPSHOT,
            "snapshot-parts" to Keys.SNAPSHOT_PARTS,
            "progress" to Keys.PROGRESS,
            "watermark" to Keys.WATERMARK,
            "prerequisite-lists" to Keys.PREREQUISITE_LISTS,
            "format" to Keys.FORMAT,
            "failing" to Keys.FAILING,
        )
        val functions = listOf(
            "job-of" to Keys.job(job),
            "finished-job-of" to Keys.finished(job),
            "journal-slot-7" to Keys.journalSlot(7),
            "journal-slot-1234" to Keys.journalSlot(1234),
            "snapshot-part-of-4-12" to Keys.snapshotPart(4, 12),
            "snapshot-part-of-5-0" to Keys.snapshotPart(5, 0),
            "snapshot-parts-of-4" to Keys.snapshotParts(4),
            "snapshot-parts-of-5" to Keys.snapshotParts(5),
            "types-part-1" to Keys.typesPart(1),
            "progress-part-0" to Keys.progress(0),
            "prerequisite-list-part-2" to Keys.prerequisiteList(job, "00ff00ff00ff00ff", 2),
            "task" to TaskId(job, 3).toString(),
        )
        keys.assertEqualTo(constants + functions)
        assertEquals(job, Keys.jobOfKey(keys["job-of"]), "keys.txt, line job-of")
        assertEquals(7, Keys.slotOfKey(keys["journal-slot-7"]), "keys.txt, line journal-slot-7")
        assertEquals(1234, Keys.slotOfKey(keys["journal-slot-1234"]), "keys.txt, line journal-slot-1234")
        assertEquals(TaskId(job, 3), TaskId.parse(keys["task"]), "keys.txt, line task")
        assertNull(Keys.jobOfKey(keys["journal-slot-7"]))
        assertNull(Keys.slotOfKey(keys["job-of"]))
        assertDeclared("object Keys {", constants.size, KEY_FUNCTION_COUNT)
    }

    /**
     * Checks how many constants and functions the declaration with this [header] has: a key that is added to it must also be pinned by
     * this test, and a function counted in [KEY_FUNCTION_COUNT].
     */
    private fun assertDeclared(header: String, constants: Int, functions: Int) {
        val body = File("src/main/kotlin").walk().filter { it.extension == "kt" }.map { it.readText() }.single { header in it }
            .substringAfter(header).substringBefore("\n}").lines().map { it.trim() }
        assertEquals(constants, body.count { it.startsWith("const val ") }, "constants of the keys")
        assertEquals(functions, body.count { it.startsWith("fun ") }, "functions of the keys")
    }

    /** Records the journal entries that are read, each as a list of its kind and fields. */
    private class EntryRecorder : JournalReader {
        val entries = ArrayList<List<Any>>()

        override fun done(job: JobId, ranges: String) {
            entries += listOf("done", job, ranges)
        }

        override fun preemptedBefore(task: TaskId, times: Int) {
            entries += listOf("evicted before", task, times)
        }

        override fun started(task: TaskId, machine: MachineId, incarnation: WorkerIncarnation, attempt: Attempt, zone: Zone) {
            entries += listOf("started", task, machine, incarnation, attempt, zone)
        }

        override fun ended(task: TaskId, end: TaskEnd) {
            entries += listOf("ended", task, end)
        }

        override fun reserved(machine: MachineId, job: JobId, victims: List<TaskId>) {
            entries += listOf("reserved", machine, job, victims)
        }
    }

    private fun written(write: JournalText.() -> Unit) = JournalText().apply(write).take()

    @Test
    fun `every kind of journal entry is written as pinned, and read`() {
        val job = JobId("j-000412")
        val task = TaskId(job, 3)
        val machine = MachineId("vm-12")
        val entries = listOf(
            Triple("done", written { done(job, "0-4,7") }, listOf("done", job, "0-4,7")),
            Triple("evicted-before", written { preemptedBefore("j-000412/3", 2) }, listOf("evicted before", task, 2)),
            Triple(
                "started",
                written { started("j-000412/3", machine, WorkerIncarnation(6u), Attempt(5u), Zone("north 1")) },
                listOf("started", task, machine, WorkerIncarnation(6u), Attempt(5u), Zone("north 1")),
            ),
            Triple("ended-done", written { ended("j-000412/3", TaskEnd.DONE) }, listOf("ended", task, TaskEnd.DONE)),
            Triple("ended-undone", written { ended("j-000412/3", TaskEnd.UNDONE) }, listOf("ended", task, TaskEnd.UNDONE)),
            Triple("ended-evicted", written { ended("j-000412/3", TaskEnd.PREEMPTED) }, listOf("ended", task, TaskEnd.PREEMPTED)),
            Triple(
                "reserved-full",
                written { reserved(machine, job, listOf("j-1/0", "j-1/2")) },
                listOf("reserved", machine, job, listOf(TaskId(JobId("j-1"), 0), TaskId(JobId("j-1"), 2))),
            ),
            Triple(
                "reserved-least",
                written {
                    reserved(machine, job, emptyList())
                },
                listOf("reserved", machine, job, emptyList<TaskId>()),
            ),
        )
        val ranges = BitSet().apply { listOf(0, 1, 2, 3, 4, 7, 9, 10).forEach(::set) }
        val plain = TextCodec.pack("=j-1 0;=j-2 0;", TextCodec.ENVELOPE_BYTES + 10, compact = false)
        val other = listOf(
            "ranges" to Ranges.encode(ranges, 100).single(),
            "ranges-split" to Ranges.encode(ranges, 3).joinToString(" "),
            "packed-plain" to plain.joinToString(" ") { it.plain.replace(' ', '_') },
            "compressed" to SerializedExamples.COMPRESSED,
            "uncompressed" to SerializedExamples.UNCOMPRESSED,
            "format-version" to FORMAT_VERSION.toString(),
        )
        journal.assertEqualTo(entries.map { it.first to it.second } + other)
        for ((name, _, expected) in entries) {
            val reader = EntryRecorder()
            assertEquals(0, JournalText.read(journal[name], reader), "journal.txt, line $name: unreadable")
            assertEquals(listOf(expected), reader.entries, "journal.txt, line $name")
        }
        val decoded = BitSet().also { assertTrue(Ranges.decodeInto(journal["ranges"], it, 11), "journal.txt, line ranges") }
        assertEquals(ranges, decoded, "journal.txt, line ranges")
        assertEquals(TaskEnd.entries.size + 5, entries.size, "kinds of entries")
    }

    @Test
    fun `compressed texts are read, and what is compressed today is read back`() {
        val text = journal["uncompressed"]
        assertEquals(text, TextCodec.read("", journal["compressed"]), "journal.txt, line compressed")
        assertEquals(text, TextCodec.read(text, null), "journal.txt, line uncompressed")
        val long = text.repeat(40)
        val packed = TextCodec.pack(long, 400, compact = true)
        assertTrue(packed.any { it.compressed != null }, "nothing was compressed")
        assertEquals(long, packed.joinToString("") { TextCodec.read(it.plain, it.compressed) })
    }

    private val time = VirtualTime()

    private fun createEmptyStore(): StateStore = SimulatedStateStore(time).Connection(Random(1), ProcessFaults(time))

    private fun formatLine(put: Write.Put) = "${put.key} ${put.value}"

    /** Returns a store with the keys and JSON values of the lines [names] of `lists.txt`. */
    private fun createStore(names: List<String>): StateStore = createEmptyStore().also { store ->
        for (name in names) {
            val value = WireJson.parseToJsonElement(lists[name].substringAfter(' '))
            store.commit(Transaction(emptyList(), listOf(Write.Put(lists[name].substringBefore(' '), value))))
        }
    }

    @Test
    fun `long lists of prerequisites and machine types are divided as pinned, and read`() {
        val prerequisites = (1..60).map { JobId("j-%06d".format(it)) }
        val record = JobRecord(SerializedExamples.fullJob.copy(prerequisites = prerequisites), WallTime(1_700_000_010_088))
        val limits = StateLimits(requestsPerSecond = 80.0, writesPerSecond = 30.0, valueKb = 0.6, transactionOps = 16)
        val store = createEmptyStore()
        val head = PrerequisiteLists(store, limits).store(record)
        val parts = store.listAll(Keys.PREREQUISITE_LISTS).first.map { formatLine(Write.Put(it.key, it.value)) }
        val partNames = parts.indices.map { "prerequisites-part-$it" }
        val types = MachineTypes(listOf(SerializedExamples.fullType, SerializedExamples.leastType))
        val divided = TypesForm.writes(types, 300).map(::formatLine)
        val typeNames = divided.indices.map { "types-divided-$it" }

        lists.assertEqualTo(
            listOf("prerequisites-head" to formatLine(Write.Put(Keys.job(head.spec.id), WireJson.encodeToJsonElement(head)))) +
                partNames.zip(parts) + typeNames.zip(divided) +
                ("types-whole" to formatLine(TypesForm.whole(types))),
        )

        val readHead = WireJson.decodeFromJsonElement<JobRecord>(
            WireJson.parseToJsonElement(lists["prerequisites-head"].substringAfter(' ')),
        )
        assertEquals(prerequisites, PrerequisiteLists(createStore(partNames), limits).read(readHead), "lists.txt, lines prerequisites-...")
        assertEquals(types, TypesForm.read(createStore(typeNames)), "lists.txt, lines types-divided-...")
        assertEquals(types, TypesForm.read(createStore(listOf("types-whole"))), "lists.txt, line types-whole")
    }

    @Test
    fun `the calls to the state service are sent as pinned, and its answers are read`() {
        val sent = ArrayList<String>()
        var answer = ""
        var status = 200
        val server = HttpServer.create(InetSocketAddress("127.0.0.1", 0), 0)
        server.createContext("/") { exchange ->
            val body = exchange.requestBody.readAllBytes().decodeToString()
            sent += "${exchange.requestMethod} ${exchange.requestURI} $body".trim()
            val bytes = answer.encodeToByteArray()
            exchange.sendResponseHeaders(status, bytes.size.toLong())
            exchange.responseBody.use { it.write(bytes) }
        }
        server.start()
        try {
            val store = HttpStateStore(server.address, StateLimits(1000.0, 1000.0, 2.0, 5), nodeCount = 1).apply { setRole(leader = true) }
            val results = ArrayList<Any?>()
            fun exchange(answerName: String, answerStatus: Int = 200, call: () -> Any?) {
                answer = calls[answerName]
                status = answerStatus
                results += call()
            }
            val value = WireJson.parseToJsonElement("""{"term":3}""")
            val transaction = Transaction(
                listOf(Compare("term", ModRevision(8u)), Compare("lead", ModRevision.ABSENT)),
                listOf(Write.Put("lead", value, StoreLeaseId(77u)), Write.Put("term", value), Write.Delete("j/j-1")),
            )
            val entry = Entry("term", value, ModRevision(8u))
            exchange("get-answer") { store.get("term") }
            exchange("list-answer-full") { store.list("j/", "j/j-1", 50) }
            exchange("list-answer-least") { store.list("j/", null, 50) }
            exchange("commit-answer") { store.commit(transaction) }
            exchange("conflict-answer", 409) { store.commit(Transaction(emptyList(), emptyList())) }
            exchange("grant-answer") { store.grantLease(6000) }
            exchange("empty-answer") { store.keepAlive(StoreLeaseId(77u)) }
            exchange("empty-answer") { store.revokeLease(StoreLeaseId(77u)) }
            exchange("follow-answer-full") { store.watch("j/", Revision(12u), 250) }
            exchange("follow-answer-least") { store.watch("", Revision(13u), 0) }
            val expected = listOf(
                entry,
                EntryPage(listOf(entry), more = true, Revision(12u)),
                EntryPage(emptyList(), more = false, Revision(12u)),
                TransactionResult.Committed(Revision(13u)),
                TransactionResult.CompareFailed(listOf("term", "lead")),
                StoreLeaseId(77u),
                true,
                Unit,
                WatchResult.Changes(
                    listOf(WatchEvent("term", value, ModRevision(9u)), WatchEvent("j/j-1", null, ModRevision(10u))),
                    Revision(13u),
                ),
                WatchResult.Changes(emptyList(), Revision(13u)),
            )
            assertEquals(expected, results, "calls.txt, the lines of the answers")
        } finally {
            server.stop(0)
        }
        val names =
            listOf("get", "list-full", "list-least", "commit-full", "commit-least", "grant", "renew", "drop", "follow-full", "follow-least")
        val answers = listOf("get", "list", "list", "commit", "conflict", "grant", "empty", "follow", "follow")
            .zip(listOf("", "-full", "-least", "", "", "", "", "-full", "-least")) { call, size -> "$call-answer$size" }
        calls.assertEqualTo(names.zip(sent) + answers.map { it to calls[it] })
    }

    private companion object {
        /** The serializable types of the state service's requests and responses, which are private to its client. */
        const val PRIVATE_TYPES = 11

        /** The functions of [Keys] that build or parse a key. */
        const val KEY_FUNCTION_COUNT = 10
    }
}
