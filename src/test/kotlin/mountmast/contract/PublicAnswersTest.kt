package mountmast.contract

import kotlinx.serialization.SerializationException
import kotlinx.serialization.encodeToByteArray
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.encodeToJsonElement
import kotlinx.serialization.protobuf.ProtoBuf
import mountmast.coordination.jobs.HostNode
import mountmast.coordination.jobs.JobService
import mountmast.protocol.FencingToken
import mountmast.protocol.ForwardedRequest
import mountmast.protocol.HeartbeatResponse
import mountmast.protocol.JobId
import mountmast.protocol.JobStatus
import mountmast.protocol.MachineType
import mountmast.protocol.MachineTypes
import mountmast.protocol.ModRevision
import mountmast.protocol.NodeId
import mountmast.protocol.PeerHeartbeat
import mountmast.protocol.StateLimits
import mountmast.protocol.TeamId
import mountmast.protocol.TeamQuota
import mountmast.protocol.TypeId
import mountmast.protocol.WireJson
import mountmast.protocol.Zone
import mountmast.standin.ProcessFaults
import mountmast.standin.SimulatedStateStore
import mountmast.standin.VirtualTime
import mountmast.storage.Compare
import mountmast.storage.FinishedJobRecord
import mountmast.storage.Keys
import mountmast.storage.ProgressRecord
import mountmast.storage.StateStore
import mountmast.storage.StoreRequestRejectedException
import mountmast.storage.Transaction
import mountmast.storage.TransactionResult
import mountmast.storage.TypesForm
import mountmast.storage.Write
import mountmast.transport.AdmissionLimit
import mountmast.transport.AdmissionLimits
import mountmast.transport.HeartbeatOutcome
import mountmast.transport.HeartbeatService
import mountmast.transport.MAX_BODY_BYTES
import mountmast.transport.MetricNames
import mountmast.transport.Metrics
import mountmast.transport.PeerService
import mountmast.transport.UserAnswer
import mountmast.transport.UserService
import mountmast.transport.peerRoutes
import mountmast.transport.publicRoutes
import org.http4k.core.HttpHandler
import org.http4k.core.MemoryBody
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.junit.jupiter.api.Test
import java.io.IOException
import kotlin.random.Random

/**
 * Compares every kind of response on the public paths, and the responses on the paths between nodes, with `answers.txt`: name, status,
 * `Retry-After`, content type, body. Users' requests pass through the real routes and the real [JobService] on an in-memory store.
 */
@OptIn(kotlinx.serialization.ExperimentalSerializationApi::class)
class PublicAnswersTest {
    private val time = VirtualTime()
    private val faults = ProcessFaults(time)
    private val store = SimulatedStateStore(time).Connection(Random(1), faults)
    private val team = TeamQuota(TeamId("vision"), cpus = 8.0, cpusMax = 64.0, gpus = 0.0, gpusMax = 0.0)
    private val type = MachineType(TypeId("g8"), 96.0, 8.0, 768.0, 200.0, 1.0, 12.0, 4.5, 45.0, listOf(Zone("a")))
    private val fixture = TextFixture("answers.txt")

    private val job = WireJson.parseToJsonElement(
        """{"nameId":"j-1","jobclass":"train","owner":"vision","shape":"array","urgency":"high","pieces":16,"vcpus":8.0,"cards":1.0,
        "memGb":64.0,"bundle":"img-07","sizeGb":6.2,"hulls":["g8"],"yard":null,"together":true,"scatter":false,"loaners":true,
        "expectedS":240.0,"markEveryS":30.0,"markCostS":4.0,"dueS":900.0}""",
    ) as JsonObject

    private val heartbeatService = HeartbeatService { heartbeat ->
        when (heartbeat.machine.text) {
            "vm-1" -> HeartbeatOutcome.Accepted(HeartbeatResponse(FencingToken(7u), emptyList()))
            "vm-2" -> HeartbeatOutcome.Redirected(NodeId("n-2"))
            else -> HeartbeatOutcome.Redirected(null)
        }
    }

    private class FixedHostNode(
        private val forwarding: (ForwardedRequest) -> UserAnswer?,
        private val ready: Boolean,
        override val acceptsPrerequisites: Boolean,
    ) : HostNode {
        override fun isReady() = ready
        override fun forward(request: ForwardedRequest) = forwarding(request)
        override fun onCancelled(id: JobId) = Unit
    }

    private fun service(
        stateStore: StateStore = store,
        forward: (ForwardedRequest) -> UserAnswer? = { null },
        isReady: Boolean = true,
        knowsTypes: Boolean = true,
        acceptsPrerequisites: Boolean = true,
    ) = JobService(
        stateStore,
        mapOf(team.id to team),
        time.clock(0.0, 0),
        StateLimits(80.0, 30.0, 2.0, 8),
        FixedHostNode(forward, isReady, acceptsPrerequisites),
    ).also { if (knowsTypes) it.refreshMachineTypes() }

    private fun routes(users: UserService, metrics: Metrics = Metrics()) =
        publicRoutes(users, heartbeatService, AdmissionLimits(AdmissionLimit(1, 1), AdmissionLimit(1, 1)), metrics)

    private fun put(key: String, value: JsonElement) {
        store.commit(Transaction(listOf(Compare(key, ModRevision.ABSENT)), listOf(Write.Put(key, value))))
    }

    private fun jobWith(vararg changes: Pair<String, JsonElement>) = JsonObject(job + changes)

    private fun jobWithId(id: String, vararg changes: Pair<String, JsonElement>) = jobWith("nameId" to JsonPrimitive(id), *changes)

    private fun HttpHandler.call(name: String, method: Method, path: String, body: String = "") =
        record(name, this(Request(method, path).body(body)))

    private fun HttpHandler.submit(name: String, body: Any) = call("submit, $name", Method.POST, "/v1/jobs", body.toString())

    private fun HttpHandler.status(name: String, id: String) = call("status, $name", Method.GET, "/v1/jobs/$id")

    private fun HttpHandler.cancel(name: String, id: String) = call("cancel, $name", Method.POST, "/v1/jobs/$id/cancel")

    private fun record(name: String, response: Response, body: String = response.bodyString()) {
        val allow = response.header("Allow")?.let { listOf("Allow: $it") }.orEmpty()
        val columns = listOf(
            name,
            response.status.code,
            response.header("Retry-After") ?: "-",
            response.header("Content-Type") ?: "-",
            body,
        )
        fixture.addLine(*(columns + allow).toTypedArray())
    }

    @Test
    fun `answers are those in the file`() {
        TypesForm.writes(MachineTypes(listOf(type)), 2000).forEach { put(it.key, it.value) }
        put(Keys.finished(JobId("j-90")), WireJson.encodeToJsonElement(FinishedJobRecord(JobStatus.DONE, 3)))
        put(Keys.finished(JobId("j-91")), WireJson.encodeToJsonElement(FinishedJobRecord(JobStatus.CANCELLED, 3)))
        put(Keys.job(JobId("j-92")), buildJsonObject { put("unreadable", JsonPrimitive(1)) })
        put(Keys.progress(0), WireJson.encodeToJsonElement(ProgressRecord("j-2 4 5")))
        recordJobLifecycle()
        recordMalformedFields()
        recordJobsThatCannotRun()
        recordPrerequisites()
        recordStoreFaults()
        recordRouteFaults()
        recordReadiness()
        recordHeartbeats()
        recordMetrics()
        recordPeerRequests()
        fixture.assertUnchanged()
    }

    private fun recordJobLifecycle() = with(routes(service())) {
        submit("accepted", job)
        submit("repeated", job)
        submit("repeated with other content", jobWith("pieces" to JsonPrimitive(3)))
        submit("repeated with invalid content", jobWith("pieces" to JsonPrimitive(0)))
        submit("repeated as what never runs", jobWith("owner" to JsonPrimitive("nobody")))
        status("pending", "j-1")
        submit("accepted second", jobWithId("j-2"))
        status("running", "j-2")
        cancel("accepted", "j-1")
        cancel("repeated", "j-1")
        status("cancelled", "j-1")
        submit("cancelled", job)
        status("done", "j-90")
        cancel("done", "j-90")
        submit("done", jobWithId("j-90"))
        status("cancelled before", "j-91")
        status("unknown", "j-77")
        cancel("unknown", "j-77")
        status("not an id", "job-1")
        cancel("not an id", "job-1")
        status("unreadable record", "j-92")
        cancel("unreadable record", "j-92")
        submit("unreadable record", jobWithId("j-92"))
    }

    private fun recordMalformedFields() = with(routes(service())) {
        for ((name, text) in listOf("empty body" to "", "not closed" to "{", "list" to "[]", "number" to "3", "null" to "null")) {
            submit(name, text)
        }
        submit("body too large", "x".repeat(MAX_BODY_BYTES + 1))
        submit("largest body", "x".repeat(MAX_BODY_BYTES))
        for (field in job.keys - setOf("hulls", "yard", "dueS")) submit("$field missing", JsonObject(jobWithId("j-50") - field))
        val number = JsonPrimitive(3)
        val word = JsonPrimitive("x")
        val invalid = listOf(
            "not a job id" to ("nameId" to JsonPrimitive("job-1")), "id too long" to ("nameId" to JsonPrimitive("j-1234567890123456789")),
            "null" to ("owner" to JsonNull), "not a string" to ("owner" to number), "empty" to ("bundle" to JsonPrimitive("")),
            "too long" to ("jobclass" to JsonPrimitive("x".repeat(201))), "unknown value" to ("shape" to word),
            "unknown value" to ("urgency" to word), "zero" to ("pieces" to JsonPrimitive(0)),
            "too many" to ("pieces" to JsonPrimitive(100_001)), "fraction" to ("pieces" to JsonPrimitive(1.5)),
            "string" to ("pieces" to JsonPrimitive("3")), "string" to ("vcpus" to JsonPrimitive("8.0")),
            "negative" to ("vcpus" to JsonPrimitive(-1)), "too large" to ("memGb" to JsonPrimitive(1e10)),
            "true" to ("cards" to JsonPrimitive(true)), "list" to ("sizeGb" to JsonArray(emptyList())),
            "string" to ("together" to JsonPrimitive("true")), "number" to ("scatter" to number),
            "list" to ("loaners" to JsonArray(emptyList())), "not a list" to ("hulls" to word),
            "not strings" to ("hulls" to JsonArray(listOf(number))), "not a string" to ("yard" to number),
            "separator" to ("yard" to JsonPrimitive("a;b")), "negative" to ("dueS" to JsonPrimitive(-5)),
            "not a list" to ("waitsOn" to word), "not an id" to ("waitsOn" to JsonArray(listOf(word))),
            "not strings" to ("waitsOn" to JsonArray(listOf(number))),
        )
        for ((name, change) in invalid) submit("${change.first}: $name", jobWithId("j-50", change))
    }

    private fun recordJobsThatCannotRun() = with(routes(service())) {
        submit("unknown team", jobWithId("j-50", "owner" to JsonPrimitive("nobody")))
        submit("larger than any machine", jobWithId("j-50", "vcpus" to JsonPrimitive(97)))
        submit("no machine in the zone", jobWithId("j-50", "yard" to JsonPrimitive("b")))
        submit("task over the limit", jobWithId("j-50", "vcpus" to JsonPrimitive(65)))
        submit("service over the limit", jobWithId("j-50", "shape" to JsonPrimitive("daemon")))
        val names = (0 until 20).map { JsonPrimitive("$it".padEnd(200, 'x')) } + JsonPrimitive("g8")
        submit("names too long", jobWithId("j-50", "hulls" to JsonArray(names)))
    }

    private fun waitsOn(vararg ids: String) = "waitsOn" to JsonArray(ids.map { JsonPrimitive(it) })

    private fun recordPrerequisites() {
        with(routes(service())) {
            submit("waits on itself", jobWithId("j-60", waitsOn("j-60")))
            submit("waits on an unknown job", jobWithId("j-60", waitsOn("j-2", "j-77")))
            submit("service", jobWithId("j-61", "shape" to JsonPrimitive("daemon"), "pieces" to JsonPrimitive(2)))
            submit("waits on a service", jobWithId("j-60", waitsOn("j-61")))
            submit("waits", jobWithId("j-60", waitsOn("j-2", "j-90")))
            status("waiting", "j-60")
            submit("waits on a cancelled job", jobWithId("j-62", waitsOn("j-91")))
            status("waiting on a cancelled job", "j-62")
        }
        routes(service(acceptsPrerequisites = false)).submit("waits, with nodes of an earlier version", jobWithId("j-63", waitsOn("j-2")))
    }

    private fun recordStoreFaults() {
        routes(service(knowsTypes = false)).submit("no machine types", jobWithId("j-70"))
        val conflicting = object : StateStore by store {
            override fun commit(transaction: Transaction): TransactionResult {
                val onlyCompares = transaction.writes.isEmpty()
                return if (onlyCompares) store.commit(transaction) else TransactionResult.CompareFailed(transaction.compares.map { it.key })
            }
        }
        routes(service(conflicting)).submit("conflict", jobWithId("j-70"))
        routes(service(conflicting)).cancel("conflict", "j-2")
        val rejecting = object : StateStore by store {
            override fun commit(transaction: Transaction) = throw StoreRequestRejectedException.of(transaction, "too large")
        }
        routes(service(rejecting)).submit("record rejected", jobWithId("j-70"))
        val disconnected = service()
        val forwarding = service(forward = { UserAnswer(503, "${it.method} ${it.path} relayed", 9) })
        faults.storeRefusedUntil = time.now + 1000
        with(routes(disconnected)) {
            submit("store unreachable", jobWithId("j-70"))
            status("store unreachable", "j-2")
            cancel("store unreachable", "j-2")
        }
        with(routes(forwarding)) {
            submit("answered by another node", jobWithId("j-70"))
            status("answered by another node", "j-2")
            cancel("answered by another node", "j-2")
        }
        time.advance(2000)
    }

    private fun recordRouteFaults() {
        with(routes(service())) {
            call("unknown path", Method.GET, "/nothing")
            call("root", Method.GET, "/")
            call("submit, wrong method", Method.GET, "/v1/jobs")
            call("status, wrong method", Method.POST, "/v1/jobs/j-2")
            call("cancel, wrong method", Method.GET, "/v1/jobs/j-2/cancel")
            call("report, wrong method", Method.GET, "/agent/beat")
            call("ready, wrong method", Method.POST, "/ready")
            call("metrics, wrong method", Method.POST, "/metrics")
        }
        // A stub: JobService neither throws these exceptions nor blocks its caller.
        fun serviceWith(answer: () -> UserAnswer) = object : UserService {
            override fun submit(body: String, isForwarded: Boolean) = answer()
            override fun status(id: String, isForwarded: Boolean) = answer()
            override fun cancel(id: String, isForwarded: Boolean) = answer()
            override fun isReady() = true
        }
        routes(serviceWith { error("on purpose") }).submit("internal error", "{}")
        routes(serviceWith { throw IOException("on purpose") }).submit("interrupted", "{}")
        routes(serviceWith { throw SerializationException("on purpose") }).submit("malformed in a handler", "{}")
        var nestedRequest: () -> Unit = {}
        val limited = routes(
            serviceWith {
                nestedRequest()
                UserAnswer(200, "{}")
            },
        )
        nestedRequest = { limited.submit("over the limit", "{}") }
        limited(Request(Method.POST, "/v1/jobs").body("{}"))
        nestedRequest = { limited.status("over the limit", "j-1") }
        limited(Request(Method.GET, "/v1/jobs/j-1"))
    }

    private fun recordReadiness() {
        routes(service()).call("ready", Method.GET, "/ready")
        routes(service(isReady = false)).call("not ready", Method.GET, "/ready")
    }

    private fun recordHeartbeats() = with(routes(service())) {
        fun heartbeat(machine: String) = """{"host":"$machine","address":"127.0.0.1:1","hull":"s","yard":"a","loaners":false,""" +
            """"watch":1,"tally":1,"helm":0,"pieces":[]}"""
        fun send(name: String, body: String) = call("report, $name", Method.POST, "/agent/beat", body)
        send("accepted", heartbeat("vm-1"))
        send("redirected", heartbeat("vm-2"))
        send("redirected without a known node", heartbeat("vm-3"))
        send("empty", "")
        send("field missing", "{}")
        send("number out of range", heartbeat("vm-1").replace("\"watch\":1", "\"watch\":-1"))
        send("body too large", "x".repeat(MAX_BODY_BYTES + 1))
    }

    private fun recordMetrics() {
        val metrics = Metrics()
        val names = MetricNames::class.java.declaredFields.filter { it.type == String::class.java }.map { it.get(null) as String }
        names.forEach { metrics.gauge(it) { 1 } }
        val response = routes(service(), metrics)(Request(Method.GET, "/metrics"))
        record("metrics", response, "(names below)")
        metrics.timing("timing").record(1)
        metrics.counter("counter").add()
        routes(service(), metrics)(Request(Method.GET, "/metrics")).bodyString().trim().lines().map { it.substringBefore(' ') }.sorted()
            .forEach { fixture.addLine("metrics name", it) }
    }

    private fun recordPeerRequests() {
        val peers = PeerService { PeerHeartbeat("n-1", 7, serves = true, leads = false) }
        val routes = peerRoutes(service(), peers)
        fun send(name: String, path: String, body: ByteArray) {
            val response = routes(Request(Method.POST, path).body(MemoryBody(body)))
            val type = response.header("Content-Type").orEmpty()
            val bytes = response.body.stream.readAllBytes()
            val isText = type == "application/json"
            record("between nodes, $name", response, if (isText) bytes.decodeToString() else bytes.joinToString("") { "%02x".format(it) })
        }
        fun forward(method: String, path: String, body: String = "") = ProtoBuf.encodeToByteArray(ForwardedRequest(method, path, body))
        send("hello", "/peer/hello", ProtoBuf.encodeToByteArray(PeerHeartbeat("n-2", 6, serves = true, leads = true)))
        send("relayed submission", "/peer/relay", forward("POST", "/v1/jobs", job.toString()))
        send("relayed status", "/peer/relay", forward("GET", "/v1/jobs/j-2"))
        send("relayed cancellation", "/peer/relay", forward("POST", "/v1/jobs/j-77/cancel"))
        send("malformed", "/peer/relay", byteArrayOf(1, 2, 3))
        send("unknown path", "/nothing", byteArrayOf())
    }
}
