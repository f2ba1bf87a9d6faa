package mountmast.soak

import mountmast.protocol.MachineType
import mountmast.protocol.StateLimits
import mountmast.protocol.TeamId
import mountmast.protocol.TeamQuota
import mountmast.protocol.TypeId
import mountmast.protocol.Zone

/**
 * The deployment that the soak test runs, and the time limits of its checks.
 *
 * The stand-ins' time advances with this machine's clock in steps of about 20 ms, and a busy machine may delay it. Leases and
 * cancellations are therefore checked against the durations in the settings, which the service keeps to with margins of seconds, and
 * recovery after the faults may take [RECOVERY_TIMEOUT_MS], several times what it needs. No check has a tighter limit.
 */
object SoakDeployment {
    const val NODE_COUNT = 3
    const val HEARTBEAT_MS = 1000L
    const val LEASE_MS = 6000L
    const val CANCELLATION_MS = 24_000L

    /** The time from the end of the last fault until all accepted jobs must be done and all controllers ready. */
    const val RECOVERY_TIMEOUT_MS = 120_000L
    private const val MAX_CONNECTIONS = 1000

    /** The limits of the state service. */
    val limits = StateLimits(3000.0, 1000.0, 8.0, 16)
    val zones = listOf(Zone("a"), Zone("b"))
    val teams = listOf(
        TeamQuota(TeamId("red"), 16.0, 40.0, 0.0, 0.0),
        TeamQuota(TeamId("blue"), 8.0, 24.0, 0.0, 0.0),
        TeamQuota(TeamId("free"), 0.0, 0.0, 0.0, 0.0),
    ).associateBy { it.id }
    val types = listOf(
        MachineType(TypeId("s"), 4.0, 0.0, 16.0, 20.0, 1.0, 0.3, 0.1, 2.0, zones),
        MachineType(TypeId("l"), 16.0, 0.0, 64.0, 40.0, 1.0, 1.2, 0.38, 2.0, zones),
    )

    /** The ports of one node's listeners and of the services and [members] (by node index) that it connects to. */
    class Ports(val public: Int, val peer: Int, val state: Int, val cloud: Int, val members: Map<Int, Int>)

    /** The settings file of [node]. */
    fun settings(node: Int, ports: Ports): String = buildString {
        appendLine("node = \"node-$node\"\nsite = \"${zones[node % zones.size]}\"")
        appendLine("serve_on = \"127.0.0.1:${ports.public}\"\npeer_listen = \"127.0.0.1:${ports.peer}\"")
        for ((member, port) in ports.members) {
            appendLine("[[members]]\nnode = \"node-$member\"\nsite = \"${zones[member % zones.size]}\"\nendpoint = \"127.0.0.1:$port\"")
        }
        appendLine("[endpoints]\ncloud = \"127.0.0.1:${ports.cloud}\"\nstate = \"127.0.0.1:${ports.state}\"")
        appendLine("[deployment]\nsize = $NODE_COUNT\nclock_off_ms = 20.0")
        for (team in teams.values) {
            appendLine("[[deployment.teams]]\nname = \"${team.id}\"\ncpus = ${team.cpus}\ncpus_max = ${team.cpusMax}")
            appendLine("gpus = ${team.gpus}\ngpus_max = ${team.gpusMax}")
        }
        appendLine(
            "[deployment.workers]\nreport_s = ${toSeconds(HEARTBEAT_MS)}\nlease_s = ${toSeconds(LEASE_MS)}\n" +
                "cancel_s = ${toSeconds(CANCELLATION_MS)}",
        )
        appendLine("[deployment.state]\nrps = ${limits.requestsPerSecond}\nwrite_rps = ${limits.writesPerSecond}")
        appendLine("value_kb = ${limits.valueKb}\ntxn_ops = ${limits.transactionOps}")
        appendLine("[deployment.cloud]\nrps = 20.0\nlist_lag_s = 3.0")
        appendLine("[deployment.resources]\nmax_connections = $MAX_CONNECTIONS")
    }

    private fun toSeconds(ms: Long) = ms / 1000.0
}

/** The size of a run: the machines that each offering has, the tasks of a job, and the values to draw a task's CPUs from. */
enum class SoakSize(val machinesPerOffering: Int, val tasksPerJob: Int, val cpus: List<Double>) {
    SMALL(4, 4, listOf(0.5, 1.0, 2.0)),

    /** Several hundred workers at most. The tasks are small, so that the teams' quotas do not limit what gets done after the faults. */
    LARGE(100, 60, listOf(0.5)),
}
