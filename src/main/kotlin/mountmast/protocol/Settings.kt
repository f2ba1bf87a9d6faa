package mountmast.protocol

import com.electronwill.nightconfig.core.UnmodifiableConfig
import com.electronwill.nightconfig.core.io.ParsingException
import com.electronwill.nightconfig.toml.TomlParser
import java.io.File
import java.io.IOException
import java.net.InetSocketAddress

/** Settings that are missing, unreadable or contradictory; the message names the field. */
class InvalidSettingsException(message: String) : Exception(message)

/** What a team is guaranteed and what it may use at most; zero means none of either. */
data class TeamQuota(val id: TeamId, val cpus: Double, val cpusMax: Double, val gpus: Double, val gpusMax: Double) {
    val hasGuarantee: Boolean get() = cpus > 0 || gpus > 0

    /** Whether [use] in all lies within the limit. */
    fun limitAllows(use: Resources) = (cpusMax <= 0 || use.cpus <= cpusMax + Resources.EPSILON) &&
        (gpusMax <= 0 || use.gpus <= gpusMax + Resources.EPSILON)

    /** Whether [use] in all lies within [times] the guarantee. */
    fun guaranteeCovers(use: Resources, times: Double = 1.0) =
        use.cpus <= cpus * times + Resources.EPSILON && use.gpus <= gpus * times + Resources.EPSILON
}

/** Another controller node. */
data class Member(val node: NodeId, val zone: Zone, val endpoint: InetSocketAddress)

/** What the platform hands over to a controller node. */
data class Settings(
    val node: NodeId,
    val zone: Zone,
    val serveOn: InetSocketAddress,
    val peerListen: InetSocketAddress,
    val members: List<Member>,
    val cloud: InetSocketAddress,
    val state: InetSocketAddress,
    val teams: Map<TeamId, TeamQuota>,
    /** How far any node's time of day may be off. */
    val clockOffMs: Double,
    val heartbeatIntervalS: Double,
    val leaseS: Double,
    val cancelS: Double,
    /** What this node keeps to: the lower of what holds now and what is announced. */
    val stateLimits: StateLimits,
    val cloudRps: Double,
    val listLagS: Double,
    val maxConnections: Int,
) {
    val nodes: Int get() = members.size + 1

    companion object {
        /** Supposed where the platform's file does not say. */
        private const val CLOCK_OFF_MS = 1000.0
        private const val MAX_TRANSACTION_OPS = 10_000

        /** Reads and checks the settings in [file]. */
        fun read(file: File): Settings {
            val text = try {
                file.readText()
            } catch (e: IOException) {
                throw InvalidSettingsException("cannot read ${file.path}: ${e.message}")
            }
            return parse(text)
        }

        fun parse(text: String): Settings {
            val toml = try {
                TomlParser().parse(text)
            } catch (e: ParsingException) {
                throw InvalidSettingsException("not TOML: ${e.message}")
            }
            return Reader(toml).settings()
        }
    }

    private class Reader(private val toml: UnmodifiableConfig) {
        fun settings(): Settings {
            val node = NodeId(string(toml, "node"))
            val members = tables(toml, "members").mapIndexed { i, member ->
                val at = "members[$i]."
                Member(
                    NodeId(string(member, "node", at)),
                    zone(member, at),
                    address(member, "endpoint", at),
                )
            }
            val names = members.map { it.node } + node
            if (names.toSet().size != names.size) throw InvalidSettingsException("members: a node is named twice")
            val size = whole(toml, "deployment.size", 1, 1000)
            if (size != names.size) throw InvalidSettingsException("deployment.size: $size, but members name ${names.size} nodes")
            val teams = tables(toml, "deployment.teams").mapIndexed { i, team -> quota(team, "deployment.teams[$i].") }
            if (teams.isEmpty()) throw InvalidSettingsException("deployment.teams: missing")
            if (teams.distinctBy { it.id }.size != teams.size) throw InvalidSettingsException("deployment.teams: a team is named twice")
            val heartbeat = positive(toml, "deployment.workers.report_s")
            val lease = positive(toml, "deployment.workers.lease_s")
            if (lease <= heartbeat) throw InvalidSettingsException("deployment.workers.lease_s: not longer than report_s")
            return Settings(
                node = node,
                zone = zone(toml),
                serveOn = address(toml, "serve_on"),
                peerListen = address(toml, "peer_listen"),
                members = members,
                cloud = address(toml, "endpoints.cloud"),
                state = address(toml, "endpoints.state"),
                teams = teams.associateBy { it.id },
                clockOffMs = if (toml.get<Any?>("deployment.clock_off_ms") ==
                    null
                ) {
                    CLOCK_OFF_MS
                } else {
                    amount(toml, "deployment.clock_off_ms")
                },
                heartbeatIntervalS = heartbeat,
                leaseS = lease,
                cancelS = positive(toml, "deployment.workers.cancel_s"),
                stateLimits = stateLimits(),
                cloudRps = positive(toml, "deployment.cloud.rps"),
                listLagS = amount(toml, "deployment.cloud.list_lag_s"),
                maxConnections = whole(toml, "deployment.resources.max_connections", 16, 1_000_000),
            )
        }

        /** The limits of `state.next` come without notice, so they are kept to from the start. */
        private fun stateLimits(): StateLimits {
            val present = stateLimits("deployment.state")
            val hasNext = toml.get<Any?>("deployment.state.next") != null
            return if (hasNext) present.lowerOf(stateLimits("deployment.state.next", present)) else present
        }

        /** The limits in the table at [path]; what it leaves out is as in [otherwise], or missing. */
        private fun stateLimits(path: String, otherwise: StateLimits? = null): StateLimits {
            if (toml.get<Any?>(path) !is UnmodifiableConfig) throw InvalidSettingsException("$path: not a table")
            fun <T> field(name: String, known: T?, read: (String) -> T): T {
                val isPresent = toml.get<Any?>("$path.$name") != null
                return if (!isPresent && known != null) known else read("$path.$name")
            }
            return StateLimits(
                requestsPerSecond = field("rps", otherwise?.requestsPerSecond) { positive(toml, it) },
                writesPerSecond = field("write_rps", otherwise?.writesPerSecond) { positive(toml, it) },
                valueKb = field("value_kb", otherwise?.valueKb) { positive(toml, it) },
                transactionOps = field("txn_ops", otherwise?.transactionOps) {
                    whole(toml, it, StateLimits.MIN_TRANSACTION_OPS, MAX_TRANSACTION_OPS)
                },
            )
        }

        private fun zone(table: UnmodifiableConfig, at: String = ""): Zone {
            val name = string(table, "site", at)
            return try {
                Zone(name)
            } catch (e: IllegalArgumentException) {
                throw InvalidSettingsException("${at}site: not a zone's name")
            }
        }

        private fun quota(team: UnmodifiableConfig, at: String): TeamQuota {
            val quota = TeamQuota(
                TeamId(string(team, "name", at)),
                cpus = amount(team, "cpus", at),
                cpusMax = amount(team, "cpus_max", at),
                gpus = amount(team, "gpus", at),
                gpusMax = amount(team, "gpus_max", at),
            )
            if (quota.cpusMax > 0 && quota.cpusMax < quota.cpus) throw InvalidSettingsException("${at}cpus_max: below cpus")
            if (quota.gpusMax > 0 && quota.gpusMax < quota.gpus) throw InvalidSettingsException("${at}gpus_max: below gpus")
            return quota
        }

        private fun raw(table: UnmodifiableConfig, path: String, at: String): Any =
            table.get<Any?>(path) ?: throw InvalidSettingsException("$at$path: missing")

        private fun string(table: UnmodifiableConfig, path: String, at: String = ""): String {
            val value = raw(table, path, at) as? String ?: throw InvalidSettingsException("$at$path: not a string")
            if (value.isBlank()) throw InvalidSettingsException("$at$path: empty")
            return value
        }

        private fun amount(table: UnmodifiableConfig, path: String, at: String = ""): Double {
            val value = raw(table, path, at) as? Number ?: throw InvalidSettingsException("$at$path: not a number")
            val amount = value.toDouble()
            if (!amount.isFinite() || amount < 0) throw InvalidSettingsException("$at$path: out of range")
            return amount
        }

        private fun positive(table: UnmodifiableConfig, path: String): Double {
            val amount = amount(table, path)
            if (amount <= 0) throw InvalidSettingsException("$path: must be above 0")
            return amount
        }

        private fun whole(table: UnmodifiableConfig, path: String, least: Int, most: Int): Int {
            val value = amount(table, path)
            if (value != Math.rint(value) || value < least || value > most) {
                throw InvalidSettingsException("$path: must be a whole number from $least to $most")
            }
            return value.toInt()
        }

        private fun tables(table: UnmodifiableConfig, path: String): List<UnmodifiableConfig> {
            val list = table.get<Any?>(path) ?: return emptyList()
            if (list !is List<*>) throw InvalidSettingsException("$path: not a list of tables")
            return list.map { it as? UnmodifiableConfig ?: throw InvalidSettingsException("$path: not a list of tables") }
        }

        private fun address(table: UnmodifiableConfig, path: String, at: String = ""): InetSocketAddress {
            val text = string(table, path, at)
            val colon = text.lastIndexOf(':')
            val port = text.substring(colon + 1).toIntOrNull()
            if (colon <= 0 || port == null || port !in 1..65535) throw InvalidSettingsException("$at$path: not host:port")
            return InetSocketAddress(text.substring(0, colon), port)
        }
    }
}
