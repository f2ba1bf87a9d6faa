package mountmast.protocol

import com.electronwill.nightconfig.core.io.ParsingException
import com.electronwill.nightconfig.toml.TomlParser
import java.io.File
import java.io.IOException
import java.net.InetSocketAddress

/** Settings that are missing, unreadable or contradictory; the message names the field. */
class InvalidSettingsException(message: String) : Exception(message)

/**
 * The quota of a team: what it is guaranteed and what it may use at most; 0 means no guarantee and no limit.
 *
 * @property cpus guaranteed virtual processors, and [cpusMax] the limit
 * @property gpus guaranteed GPUs, and [gpusMax] the limit
 */
data class TeamQuota(val id: TeamId, val cpus: Double, val cpusMax: Double, val gpus: Double, val gpusMax: Double) {
    /** Whether the team is guaranteed anything. */
    val hasGuarantee: Boolean get() = cpus > 0 || gpus > 0

    /** Whether the whole [use] of the team is within its limit. */
    fun limitAllows(use: Resources) = (cpusMax <= 0 || use.cpus <= cpusMax + Resources.EPSILON) &&
        (gpusMax <= 0 || use.gpus <= gpusMax + Resources.EPSILON)

    /** Whether the whole [use] of the team is within [times] its guarantee. */
    fun guaranteeCovers(use: Resources, times: Double = 1.0) =
        use.cpus <= cpus * times + Resources.EPSILON && use.gpus <= gpus * times + Resources.EPSILON
}

/** Another controller node. */
data class Member(val node: NodeId, val zone: Zone, val endpoint: InetSocketAddress)

/**
 * The platform's settings of a controller node.
 *
 * @property serveOn where users and workers reach this node
 * @property peerListen where the other controller nodes reach this node
 * @property members the other controller nodes
 * @property cloud address of the cloud
 * @property state address of the state service
 * @property clockOffMs how many milliseconds any node's time of day may be off
 * @property heartbeatIntervalS seconds between two heartbeats of a worker
 * @property leaseS seconds for which an answered heartbeat renews a worker's lease
 * @property cancelS seconds after a confirmed cancellation within which all tasks of the job must have ended
 * @property stateLimits the lower of the limits in force and those announced
 * @property cloudRps requests a second that the cloud accepts
 * @property listLagS seconds by which the cloud's list of machines may be out of date
 * @property maxConnections the most connections of this node
 */
data class Settings(
    val node: NodeId,
    val zone: Zone,
    val serveOn: InetSocketAddress,
    val peerListen: InetSocketAddress,
    val members: List<Member>,
    val cloud: InetSocketAddress,
    val state: InetSocketAddress,
    val teams: Map<TeamId, TeamQuota>,
    val clockOffMs: Double,
    val heartbeatIntervalS: Double,
    val leaseS: Double,
    val cancelS: Double,
    val stateLimits: StateLimits,
    val cloudRps: Double,
    val listLagS: Double,
    val maxConnections: Int,
) {
    /** Number of controller nodes, this one included. */
    val nodes: Int get() = members.size + 1

    companion object {
        /** Reads and checks the settings in [file]. Throws [InvalidSettingsException] if it is unreadable or anything in it is invalid. */
        fun read(file: File): Settings {
            val text = try {
                file.readText()
            } catch (e: IOException) {
                throw InvalidSettingsException("cannot read ${file.path}: ${e.message}")
            }
            return parse(text)
        }

        /** Reads and checks the settings in [text], which is TOML. Throws [InvalidSettingsException] if anything in it is invalid. */
        fun parse(text: String): Settings {
            val toml = try {
                TomlParser().parse(text)
            } catch (e: ParsingException) {
                throw InvalidSettingsException("not TOML: ${e.message}")
            }
            return SettingsReader(TomlTable(toml)).read()
        }
    }
}
