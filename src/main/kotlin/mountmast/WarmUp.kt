package mountmast

import kotlinx.serialization.encodeToString
import mountmast.coordination.controller.OperatorSettings
import mountmast.protocol.Attempt
import mountmast.protocol.CommandRequest
import mountmast.protocol.CommandType
import mountmast.protocol.FencingToken
import mountmast.protocol.ForwardedRequest
import mountmast.protocol.Heartbeat
import mountmast.protocol.HeartbeatResponse
import mountmast.protocol.HeartbeatSequence
import mountmast.protocol.JobValidation
import mountmast.protocol.MachineId
import mountmast.protocol.Member
import mountmast.protocol.NodeId
import mountmast.protocol.PeerHeartbeat
import mountmast.protocol.ReportedTask
import mountmast.protocol.Settings
import mountmast.protocol.TaskState
import mountmast.protocol.TypeId
import mountmast.protocol.WireJson
import mountmast.protocol.WorkerCommand
import mountmast.protocol.WorkerIncarnation
import mountmast.protocol.Zone
import mountmast.transport.HttpCaller
import mountmast.transport.HttpPeerClient
import mountmast.transport.HttpWorkerClient
import java.io.File
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.util.jar.JarFile

/**
 * Run once by the build: loads the classes that serving loads, so that the JVM can archive them when this ends.
 * It serves on loopback for a moment, with nobody behind the addresses of the cloud and the state service.
 */
internal object WarmUp {
    /** The only argument of a process that warms up. */
    const val COMMAND = "warm-up"

    /** Starts a node, sends it one request of each kind, and returns once the classes are loaded. */
    fun run() {
        val (public, peer) = ServerSocket(0).use { a -> ServerSocket(0).use { b -> a.localPort to b.localPort } }
        start(Settings.parse(settings(public, peer)), OperatorSettings())
        CommandLineTool { _, _ -> }.run(arrayOf("--config", "/nonexistent"))
        loadOwnClasses()
        requestAsWorkerAndUser(public)
        requestAsPeer(peer)
        Thread.sleep(SERVE_MS)
    }

    private fun loadOwnClasses() {
        val jar = File(WarmUp::class.java.protectionDomain.codeSource.location.toURI())
        if (!jar.isFile) return
        JarFile(jar).use { file ->
            file.entries().asSequence().map { it.name }.filter { it.endsWith(".class") && !it.startsWith("META-INF") }
                .forEach { Class.forName(it.removeSuffix(".class").replace('/', '.')) }
        }
    }

    /** Sends what workers and users do. */
    private fun requestAsWorkerAndUser(port: Int) {
        val caller = HttpCaller()
        val self = InetSocketAddress("127.0.0.1", port)
        val heartbeat = Heartbeat(
            MachineId("vm-1"), "127.0.0.1:1", TypeId("t"), Zone("z"), false, WorkerIncarnation(1u), HeartbeatSequence(1u),
            FencingToken(0u), null, listOf(ReportedTask("j-1/0", Attempt(1u), TaskState.RUNNING)),
        )
        WireJson.encodeToString(HeartbeatResponse(FencingToken(1u), listOf(WorkerCommand(CommandType.START, "j-1/0", Attempt(1u)))))
        JobValidation.parse(JobValidation.parseObject(JOB))
        val bodies = listOf("/agent/beat" to WireJson.encodeToString(heartbeat), "/v1/jobs" to JOB)
        for ((path, body) in bodies) caller.call(self, "POST", path, body.encodeToByteArray(), TIMEOUT_MS)
        for (path in listOf("/ready", "/v1/jobs/j-1")) caller.call(self, "GET", path, null, TIMEOUT_MS)
    }

    /**
     * Sends what nodes do to each other. A class that is in no archive is read from its jar while the node already serves; the
     * JVM aborted in such a read (9e267033), and it costs a cold node time.
     */
    private fun requestAsPeer(port: Int) {
        val at = InetSocketAddress("127.0.0.1", port)
        val member = Member(NodeId("warm-1"), Zone("z"), at)
        val peers = HttpPeerClient()
        checkNotNull(peers.exchangeHeartbeats(member, PeerHeartbeat("warm-1", 0, serves = true, leads = false))) { "no peer heartbeat" }
        peers.forward(member, ForwardedRequest("GET", "/v1/jobs/j-1", ""))
        val command = WorkerCommand(CommandType.START, "j-1/0", Attempt(1u))
        HttpWorkerClient().send("127.0.0.1:$port", CommandRequest(FencingToken(1u), WorkerIncarnation(1u), listOf(command)))
    }

    private fun settings(public: Int, peer: Int) = """
        node = "warm-0"
        site = "z"
        serve_on = "127.0.0.1:$public"
        peer_listen = "127.0.0.1:$peer"
        [endpoints]
        cloud = "127.0.0.1:$peer"
        state = "127.0.0.1:$peer"
    """.trimIndent() + "\n" + DEPLOYMENT

    private const val DEPLOYMENT = """[deployment]
size = 1
[[deployment.teams]]
name = "t"
cpus = 1.0
cpus_max = 1.0
gpus = 0.0
gpus_max = 0.0
[deployment.workers]
report_s = 1.0
lease_s = 10.0
cancel_s = 40.0
[deployment.state]
rps = 80.0
write_rps = 30.0
value_kb = 8.0
txn_ops = 16
[deployment.cloud]
rps = 5.0
list_lag_s = 3.0
[deployment.resources]
max_connections = 100
"""

    private const val JOB = """{"nameId":"j-000001","jobclass":"c","owner":"t","shape":"array","urgency":"high","pieces":1,
        "vcpus":1.0,"cards":0.0,"memGb":1.0,"bundle":"i","sizeGb":1.0,"hulls":null,"yard":null,"together":false,
        "scatter":false,"loaners":true,"expectedS":1.0,"markEveryS":0.0,"markCostS":0.0,"dueS":null}"""
    private const val SERVE_MS = 2500L
    private const val TIMEOUT_MS = 3000
}
