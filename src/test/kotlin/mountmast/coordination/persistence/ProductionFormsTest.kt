package mountmast.coordination.persistence

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.decodeFromJsonElement
import kotlinx.serialization.json.encodeToJsonElement
import kotlinx.serialization.protobuf.ProtoBuf
import mountmast.coordination.controller.LeaderTerm
import mountmast.coordination.controller.LeaderTermEnvironment
import mountmast.coordination.election.LeaderLease
import mountmast.coordination.election.LeaseTiming
import mountmast.coordination.scheduling.SchedulingPolicy
import mountmast.coordination.state.ClusterState
import mountmast.protocol.CommandRequest
import mountmast.protocol.FencingToken
import mountmast.protocol.ForwardedRequest
import mountmast.protocol.ForwardedResponse
import mountmast.protocol.ImageId
import mountmast.protocol.JobId
import mountmast.protocol.JobSpec
import mountmast.protocol.JobStatus
import mountmast.protocol.MachineId
import mountmast.protocol.MachineType
import mountmast.protocol.MachineTypes
import mountmast.protocol.ModRevision
import mountmast.protocol.MonotonicTime
import mountmast.protocol.NodeId
import mountmast.protocol.PeerHeartbeat
import mountmast.protocol.Shape
import mountmast.protocol.StateLimits
import mountmast.protocol.StoreLeaseId
import mountmast.protocol.TeamId
import mountmast.protocol.TypeId
import mountmast.protocol.Urgency
import mountmast.protocol.WallTime
import mountmast.protocol.WireJson
import mountmast.protocol.Zone
import mountmast.standin.ProcessFaults
import mountmast.standin.SimulatedCluster
import mountmast.standin.SimulatedStateStore
import mountmast.standin.VirtualTime
import mountmast.standin.production.BrokenContract
import mountmast.standin.production.ProductionForms
import mountmast.standin.production.ProductionLedger
import mountmast.storage.CancellationWatermarkRecord
import mountmast.storage.Entry
import mountmast.storage.FORMAT_VERSION
import mountmast.storage.FinishedJobRecord
import mountmast.storage.ImagesRecord
import mountmast.storage.JobRecord
import mountmast.storage.JournalRecord
import mountmast.storage.JournalText
import mountmast.storage.Keys
import mountmast.storage.LeaderRecord
import mountmast.storage.PrerequisiteLists
import mountmast.storage.ProgressRecord
import mountmast.storage.SnapshotPart
import mountmast.storage.SnapshotRecord
import mountmast.storage.StateStore
import mountmast.storage.TermRecord
import mountmast.storage.Transaction
import mountmast.storage.Write
import mountmast.transport.CommandOutcome
import mountmast.transport.WorkerClient
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.assertThrows
import kotlin.random.Random
import mountmast.standin.production.PeerHello as ProductionHello
import mountmast.standin.production.RelayAnswer as ProductionRelayAnswer
import mountmast.standin.production.RelayRequest as ProductionRelayRequest

/** Compatibility during an upgrade: this version reads what the release in production wrote, and that release what this one writes. */
@OptIn(ExperimentalSerializationApi::class)
class ProductionFormsTest {
    private fun lines(file: String): List<String> =
        checkNotNull(javaClass.getResource("/production/$file")).readText().lines().filter { it.isNotEmpty() }

    private val entries: Map<String, JsonElement> = lines("store.txt").associate { line ->
        line.substringBefore(' ') to WireJson.parseToJsonElement(line.substringAfter(' '))
    }

    private inline fun <reified T> stored(key: String): T = WireJson.decodeFromJsonElement(entries.getValue(key))

    /** Decoding [value] as a [T] and encoding it again gives the same JSON: no field is lost or renamed. */
    private inline fun <reified T> assertWhole(key: String, value: JsonElement) =
        assertEquals(value, WireJson.encodeToJsonElement(WireJson.decodeFromJsonElement<T>(value)), key)

    private val plainSpec = JobSpec(
        JobId("j-000008"), "c", TeamId("free"), Shape.ARRAY, Urgency.NORMAL, 4, 2.0, 0.0, 4.0, ImageId("i1"), 0.5, null, null,
        singleZone = false, spreadAcrossZones = false, spotAllowed = true, estimateS = 30.0, checkpointEveryS = 0.0, checkpointSaveS = 0.0,
    )

    @Test
    fun `every stored record of production is read whole`() {
        for ((key, value) in entries) {
            when {
                key == "lead" -> assertWhole<LeaderRecord>(key, value)
                key == "term" -> assertWhole<TermRecord>(key, value)
                key == "types" -> assertWhole<MachineTypes>(key, value)
                key == "snapshot" -> assertWhole<SnapshotRecord>(key, value)
                key == "watermark" -> assertWhole<CancellationWatermarkRecord>(key, value)
                key.startsWith("j/") -> assertWhole<JobRecord>(key, value)
                key.startsWith("f/") -> assertWhole<FinishedJobRecord>(key, value)
                key.startsWith("images/") -> assertWhole<ImagesRecord>(key, value)
                key.startsWith("l/") -> assertWhole<JournalRecord>(key, value)
                key.startsWith("s/") -> assertWhole<SnapshotPart>(key, value)
                key.startsWith("p/") -> assertWhole<ProgressRecord>(key, value)
                else -> throw AssertionError("a key of no kind: $key")
            }
        }
        assertEquals(11, entries.keys.map { it.substringBefore('/') }.toSet().size)
    }

    @Test
    fun `the fields of production's records are taken for what they are`() {
        val elected = WallTime(1_700_000_000_110)
        assertEquals(
            LeaderRecord(NodeId("node-0"), "254-0-0", FencingToken(1_048_576u), elected, elected),
            stored<LeaderRecord>(Keys.LEADER),
        )
        assertEquals(TermRecord(FencingToken(1_048_576u)), stored<TermRecord>(Keys.TERM))
        assertEquals(CancellationWatermarkRecord(WallTime(1_700_000_080_881)), stored<CancellationWatermarkRecord>(Keys.WATERMARK))
        assertEquals(SnapshotRecord(generation = 1, upTo = 48, parts = 1), stored<SnapshotRecord>(Keys.SNAPSHOT))
        assertEquals(ImagesRecord(mapOf(MachineId("vm-000002") to mapOf(ImageId("i1") to 0.5))), stored<ImagesRecord>("images/0"))
        assertEquals(FinishedJobRecord(JobStatus.DONE, 40), stored<FinishedJobRecord>(Keys.finished(JobId("j-000005"))))
        assertEquals(FinishedJobRecord(JobStatus.CANCELLED, 4), stored<FinishedJobRecord>(Keys.finished(JobId("j-000004"))))
        assertEquals(JournalRecord(47, "xvm-000017 j-000001 j-000008/1 j-000008/2;"), stored<JournalRecord>(Keys.journalSlot(47)))
        assertTrue(stored<SnapshotPart>(Keys.snapshotPart(1, 0)).text().startsWith("=j-000002 0-2;%j-000008/2 1;"))
        assertEquals(ProgressRecord("j-000001 0 2;j-000002 3 0;j-000008 0 4;"), stored<ProgressRecord>(Keys.progress(0)))
        val zones = listOf(Zone("a"), Zone("b"))
        val small = MachineType(TypeId("s"), 4.0, 0.0, 16.0, 20.0, 1.0, 0.3, 0.1, 4.0, zones)
        val large = MachineType(TypeId("l"), 16.0, 0.0, 64.0, 40.0, 0.5, 1.2, 0.38, 5.0, zones)
        assertEquals(MachineTypes(listOf(small, large)), stored<MachineTypes>(Keys.TYPES))
    }

    @Test
    fun `jobs that production accepted are what their users submitted`() {
        val urgent = plainSpec.copy(
            id = JobId("j-000001"), jobClass = "train", urgency = Urgency.HIGH, tasks = 2, types = listOf(TypeId("l"), TypeId("s")),
            zone = Zone("a"), spotAllowed = false, estimateS = 60.0, checkpointEveryS = 2.0, checkpointSaveS = 0.5, deadlineS = 900.0,
        )
        val replicas = plainSpec.copy(
            id = JobId("j-000002"),
            team = TeamId("red"),
            shape = Shape.SERVICE,
            urgency = Urgency.BEST_EFFORT,
            tasks = 3,
            singleZone = true,
            estimateS = 60.0,
        )
        assertEquals(JobRecord(urgent, WallTime(1_700_000_010_088)), stored<JobRecord>(Keys.job(urgent.id)))
        assertEquals(JobRecord(replicas, WallTime(1_700_000_010_072)), stored<JobRecord>(Keys.job(replicas.id)))
        assertEquals(JobRecord(plainSpec, WallTime(1_700_000_073_541), cancelled = true), stored<JobRecord>(Keys.job(plainSpec.id)))
    }

    @Test
    fun `a leader reads production's snapshot and journal into the same cluster state as production did`() {
        assertEquals(0, unreadable(entries))
        assertEquals(lines("ledger.txt"), describe(loaded(storeOf(entries))))
    }

    @Test
    fun `every kind of entry that production wrote into the journal has the same effect`() {
        // Without the snapshot the whole journal is replayed, and must give the same cluster state.
        val journalAlone = entries.filterKeys { it != Keys.SNAPSHOT && !it.startsWith(Keys.SNAPSHOT_PARTS) }
        val marks = journalAlone.filterKeys { it.startsWith(Keys.JOURNAL) }
            .flatMap { (key, _) -> stored<JournalRecord>(key).text().split(';').mapNotNull { it.firstOrNull() } }
        assertEquals(setOf('+', '!', '-', '~', 'x'), marks.toSet())
        assertEquals(lines("ledger.txt").drop(1), describe(loaded(storeOf(journalAlone))).drop(1))
    }

    @Test
    fun `messages of production are read whole, and the same ones are sent as the same bytes`() {
        val bytes = lines("messages.txt").associate { it.substringBefore(' ') to it.substringAfter(' ').hexBytes() }
        fun of(name: String) = bytes.getValue(name)
        val plain = PeerHeartbeat("node-1", 0, serves = false, leads = false)
        val full = PeerHeartbeat("node-2", 41L shl 20, serves = true, leads = true, listOf("j-000004", "j-000008"))
        assertEquals(plain, ProtoBuf.decodeFromByteArray<PeerHeartbeat>(of("hello-plain")))
        assertEquals(full, ProtoBuf.decodeFromByteArray<PeerHeartbeat>(of("hello-full")))
        assertEquals(0, full.formatVersion)
        val submission = ForwardedRequest("POST", "/v1/jobs", """{"nameId":"j-000009","later":["é"]}""")
        assertEquals(submission, ProtoBuf.decodeFromByteArray<ForwardedRequest>(of("relay-submit")))
        val poll = ForwardedRequest("GET", "/v1/jobs/j-000009", "")
        assertEquals(poll, ProtoBuf.decodeFromByteArray<ForwardedRequest>(of("relay-poll")))
        val accepted = ForwardedResponse(201, """{"nameId":"j-000009","status":"pending"}""")
        assertEquals(accepted, ProtoBuf.decodeFromByteArray<ForwardedResponse>(of("answer-plain")))
        val later = ForwardedResponse(503, """{"error":"try again"}""", 1)
        assertEquals(later, ProtoBuf.decodeFromByteArray<ForwardedResponse>(of("answer-full")))
        val sent = mapOf(
            "hello-plain" to ProtoBuf.encodeToByteArray(plain),
            "hello-full" to ProtoBuf.encodeToByteArray(full),
            "relay-submit" to ProtoBuf.encodeToByteArray(submission),
            "relay-poll" to ProtoBuf.encodeToByteArray(poll),
            "answer-plain" to ProtoBuf.encodeToByteArray(accepted),
            "answer-full" to ProtoBuf.encodeToByteArray(later),
        )
        for ((name, encoded) in sent) assertEquals(of(name).toList(), encoded.toList(), name)
    }

    @Test
    fun `production reads the messages of this version, fields that it does not know apart`() {
        val peerHeartbeat = PeerHeartbeat("node-2", 7L shl 20, serves = true, leads = true, listOf("j-000004"), FORMAT_VERSION)
        val read = ProtoBuf.decodeFromByteArray<ProductionHello>(ProtoBuf.encodeToByteArray(peerHeartbeat))
        assertEquals(ProductionHello("node-2", 7L shl 20, serves = true, leads = true, listOf("j-000004")), read)
        val request = ForwardedRequest("POST", "/v1/jobs", """{"nameId":"j-1"}""")
        assertEquals(
            ProductionRelayRequest(request.method, request.path, request.body),
            ProtoBuf.decodeFromByteArray<ProductionRelayRequest>(ProtoBuf.encodeToByteArray(request)),
        )
        val answer = ForwardedResponse(503, """{"error":"later"}""", 1)
        assertEquals(
            ProductionRelayAnswer(answer.status, answer.body, answer.retryAfterS),
            ProtoBuf.decodeFromByteArray<ProductionRelayAnswer>(ProtoBuf.encodeToByteArray(answer)),
        )
    }

    @Test
    fun `until all nodes are current, production reads everything that this version stores`() {
        for (seed in 1L..8L) {
            val world = SimulatedCluster(seed, isNetworkReliable = true)
            // One node stays down, so no other node learns that it reads the current forms.
            world.hosts.last().downUntil = Long.MAX_VALUE
            repeat(8) { round ->
                world.run(8000, busy = true)
                if (round == 5) world.hosts.first().crash(500)
                assertFalse(world.hosts.any { it.controller?.formats?.isCurrent == true })
                assertReadByProduction(world.store.Connection(Random(seed), ProcessFaults(world.time)).listAll("").first, world)
            }
        }
    }

    /**
     * Checks that production's classes decode every value of [written], with each field that they know as it was written, and that
     * production's journal reader finds the same tasks done and the same assignments as this version.
     */
    private fun assertReadByProduction(written: List<Entry>, world: SimulatedCluster) {
        for (entry in written) {
            val read = ProductionForms.pass(entry.key, entry.value)
            assertTrue(isPartOf(read, entry.value), "${entry.key}: $read of ${entry.value}")
        }
        val leaderTerm = loaded(world.store.Connection(Random(1), ProcessFaults(world.time)))
        val productionLedger = replayedByProduction(written)
        val currentAssignments = leaderTerm.cluster.jobs.values.flatMap { job ->
            job.unreleasedAssignments.values.map { "${it.taskName} ${it.machine} ${it.incarnation} ${it.attempt} ${it.zone}" }
        }
        val productionAssignments = productionLedger.placed.filterKeys { JobId(it.job.text) in leaderTerm.cluster.jobs }
            .map { (task, at) -> "$task ${at.machine} ${at.session} ${at.attempt} ${at.zone}" }
        assertEquals(productionAssignments.sorted(), currentAssignments.sorted())
        for (job in leaderTerm.cluster.jobs.values) {
            assertEquals(productionLedger.done[mountmast.standin.production.JobId(job.id.text)] ?: java.util.BitSet(), job.done)
        }
    }

    private fun replayedByProduction(written: List<Entry>): ProductionLedger {
        val ledger = ProductionLedger()
        val snapshot = written.firstOrNull { it.key == "snapshot" }
            ?.let { WireJson.decodeFromJsonElement<mountmast.standin.production.SnapshotRecord>(it.value) }
        if (snapshot != null) {
            val parts = written.filter { it.key.startsWith("s/${snapshot.generation % 2}/") }.take(snapshot.parts)
            for (part in parts) {
                ledger.read(part.key, WireJson.decodeFromJsonElement<mountmast.standin.production.SnapshotPart>(part.value).text)
            }
        }
        written.filter { it.key.startsWith("l/") }
            .map { WireJson.decodeFromJsonElement<mountmast.standin.production.JournalRecord>(it.value) }
            .filter { it.number > (snapshot?.upTo ?: 0) }.sortedBy { it.number }
            .forEach { ledger.read("record ${it.number}", it.text) }
        return ledger
    }

    /** Whether [whole] holds every field and value of [part]; its objects may have further fields. */
    private fun isPartOf(part: JsonElement, whole: JsonElement): Boolean = when {
        part is JsonObject && whole is JsonObject -> part.all { (name, value) -> whole[name]?.let { isPartOf(value, it) } == true }
        part is JsonArray && whole is JsonArray -> part.size == whole.size && part.indices.all { isPartOf(part[it], whole[it]) }
        else -> part == whole
    }

    @Test
    fun `the model of production fails where it meets what production cannot read`() {
        val broken = listOf(
            "j/j-000001" to """{"spec":{},"at":1}""",
            "j/x" to """{"t":""}""",
            "f/j-000001" to """{"st":"skipped","n":1}""",
            "l/000" to """{"q":1,"z":"H4sI"}""",
            "l/000" to """{"q":1,"t":"+j-000001/0 vm-1 1 2 a;@j-000001/0;"}""",
            "s/0/00000" to """{"t":"=j-000001;"}""",
            "p/0" to """{"t":"j-000001 1;"}""",
            "format" to """{"v":2}""",
        )
        for ((key, value) in broken) assertThrows<BrokenContract>(key) { ProductionForms.pass(key, WireJson.parseToJsonElement(value)) }
        val more = WireJson.parseToJsonElement("""{"st":"done","n":3,"later":1}""")
        assertEquals(JsonObject(mapOf("st" to JsonPrimitive("done"), "n" to JsonPrimitive(3))), ProductionForms.pass("f/j-000001", more))
    }

    private fun String.hexBytes() = chunked(2).map { it.toInt(16).toByte() }.toByteArray()

    private val time = VirtualTime()

    private fun storeOf(entries: Map<String, JsonElement>): StateStore {
        val view = SimulatedStateStore(time).Connection(Random(1), ProcessFaults(time))
        for ((key, value) in entries) view.commit(Transaction(emptyList(), listOf(Write.Put(key, value))))
        return view
    }

    private fun unreadable(entries: Map<String, JsonElement>): Int = entries.keys.sumOf { key ->
        when {
            key.startsWith(
                Keys.JOURNAL,
            ) -> JournalText.read(stored<JournalRecord>(key).text(), JournalReplay(ClusterState(0.5), MonotonicTime(0)))
            key.startsWith(
                Keys.SNAPSHOT_PARTS,
            ) -> JournalText.read(stored<SnapshotPart>(key).text(), JournalReplay(ClusterState(0.5), MonotonicTime(0)))
            else -> 0
        }
    }

    private object NoWorkerClient : WorkerClient {
        override fun send(address: String, message: CommandRequest): CommandOutcome = CommandOutcome.NotSent
    }

    /** Returns the term of a new leader that has loaded its state from [store]. */
    private fun loaded(store: StateStore): LeaderTerm {
        val clock = time.clock(0.0, 0)
        val leaderLease = LeaderLease(FencingToken(1u shl 30), ModRevision(1u), StoreLeaseId(1u), clock.now(), WallTime(0))
        val timing = LeaseTiming.of(leaseS = 6.0, cancelS = 24.0, maxClockOffsetMs = 30.0, heartbeatIntervalS = 1.0)
        val lists = PrerequisiteLists(store, StateLimits(80.0, 30.0, 8.0, 16))
        val environment = LeaderTermEnvironment(store, NoWorkerClient, timing, clock, lists)
        return LeaderTerm(leaderLease, environment, emptyMap(), SchedulingPolicy()).apply { load() }
    }

    /** Describes the state of [leaderTerm] in the form of `ledger.txt`, in which production's code described its own state. */
    private fun describe(leaderTerm: LeaderTerm): List<String> {
        val journal = leaderTerm.journal
        val snapshot = "snapshotUpTo ${journal.lastRecordInSnapshot} generation ${journal.snapshotGeneration}"
        val lines = arrayListOf("journal next ${journal.nextRecordNumber} $snapshot")
        for (job in leaderTerm.cluster.jobs.values.sortedBy { it.id }) {
            lines += "job ${job.id} cancelled ${job.isCancelled} done ${job.done}"
            for (it in job.preemptions.int2IntEntrySet().sortedBy { it.intKey }) lines += "evicted ${job.id}/${it.intKey} ${it.intValue}"
            for (it in job.unreleasedAssignments.values.sortedBy { it.index }) {
                val end = "evicted ${it.isPreempted} stop ${it.terminationGraceS}"
                lines += "live ${it.taskName} ${it.machine} ${it.incarnation} ${it.attempt} ${it.zone} $end"
            }
        }
        return lines
    }
}
