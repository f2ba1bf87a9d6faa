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
 * Loads the classes that a serving node loads, so that the JVM can write them to its class-data archive when the process ends. The
 * build runs the warm-up once. The node serves on loopback for some seconds. The settings name its own peer address for the cloud and the
 * state service, so calls to either of them are answered with 404.
 */
internal object WarmUp {
    /** The only command-line argument of the process that writes the class-data archive. */
    const val COMMAND = "warm-up"

    /** Starts a node, sends it one request of each kind, and returns after another [SERVE_MS], in which its threads load their classes. */
    fun run() {
        val (public, peer) = ServerSocket(0).use { a -> ServerSocket(0).use { b -> a.localPort to b.localPort } }
        start(Settings.parse(settings(public, peer)), OperatorSettings())
        CommandLineTool { _, _ -> }.run(arrayOf("--config", "/nonexistent"))
        loadOwnClasses()
        sendWorkerAndUserRequests(public)
        sendPeerRequests(peer)
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

    /** Sends a heartbeat, a health check, and a user's submission and poll to the node's public [port]. */
    private fun sendWorkerAndUserRequests(port: Int) {
        val caller = HttpCaller()
        val node = InetSocketAddress("127.0.0.1", port)
        val heartbeat = Heartbeat(
            MachineId("vm-1"), "127.0.0.1:1", TypeId("t"), Zone("z"), false, WorkerIncarnation(1u), HeartbeatSequence(1u),
            FencingToken(0u), null, listOf(ReportedTask("j-1/0", Attempt(1u), TaskState.RUNNING)),
        )
        WireJson.encodeToString(HeartbeatResponse(FencingToken(1u), listOf(WorkerCommand(CommandType.START, "j-1/0", Attempt(1u)))))
        JobValidation.parse(JobValidation.parseObject(JOB))
        val bodies = listOf("/agent/beat" to WireJson.encodeToString(heartbeat), "/v1/jobs" to JOB)
        for ((path, body) in bodies) caller.call(node, "POST", path, body.encodeToByteArray(), TIMEOUT_MS)
        for (path in listOf("/ready", "/v1/jobs/j-1")) caller.call(node, "GET", path, null, TIMEOUT_MS)
    }

    /**
     * Sends a heartbeat and a forwarded request to the [port] for other nodes, and commands as the leader sends them to workers. A class
     * that is not in the archive is read from its jar while the node already serves; the JVM aborted in such a read (9e267033), and the
     * read delays a node that was just started.
     */
    private fun sendPeerRequests(port: Int) {
        val address = InetSocketAddress("127.0.0.1", port)
        val otherNode = Member(NodeId("warm-1"), Zone("z"), address)
        val peers = HttpPeerClient()
        checkNotNull(peers.exchangeHeartbeats(otherNode, PeerHeartbeat("warm-1", 0, serves = true, leads = false))) { "no peer heartbeat" }
        peers.forward(otherNode, ForwardedRequest("GET", "/v1/jobs/j-1", ""))
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

    /** How long the node serves after the last request. */
    private const val SERVE_MS = 2500L
    private const val TIMEOUT_MS = 3000
}
