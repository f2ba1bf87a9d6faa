package mountmast.protocol

import com.electronwill.nightconfig.core.io.ParsingException
import com.electronwill.nightconfig.toml.TomlParser
import java.io.File
import java.io.IOException
import java.net.InetSocketAddress

/** The settings are missing, unreadable or contradictory. The message names the field, or the file that cannot be read. */
class InvalidSettingsException(message: String) : Exception(message)

/**
 * The quota of a team: the resources that it is guaranteed and those that it may use at most.
 *
 * @property cpus guaranteed virtual processors; 0 for no guarantee
 * @property cpusMax limit on virtual processors; 0 for no limit
 * @property gpus guaranteed GPUs; 0 for no guarantee
 * @property gpusMax limit on GPUs; 0 for no limit
 */
data class TeamQuota(val id: TeamId, val cpus: Double, val cpusMax: Double, val gpus: Double, val gpusMax: Double) {
    /** Whether the team is guaranteed any virtual processors or GPUs. */
    val hasGuarantee: Boolean get() = cpus > 0 || gpus > 0

    /** The resources that all of the team's tasks may take together; memory is not limited. */
    val limit = Resources(unlimitedIfZero(cpusMax), unlimitedIfZero(gpusMax), Double.MAX_VALUE)

    private fun unlimitedIfZero(maximum: Double) = if (maximum <= 0) Double.MAX_VALUE else maximum

    /** Whether [usage], all that the team's tasks take, is within the team's limit. */
    fun limitAllows(usage: Resources) = usage.fitsWithin(limit)

    /** Whether [usage], all that the team's tasks take, is within [times] the team's guarantee. */
    fun guaranteeCovers(usage: Resources, times: Double = 1.0) =
        usage.cpus <= cpus * times + Resources.EPSILON && usage.gpus <= gpus * times + Resources.EPSILON
}

/** Another controller node of the deployment; [endpoint] is the address at which it takes messages of its peers. */
data class Member(val node: NodeId, val zone: Zone, val endpoint: InetSocketAddress)

/**
 * The platform's settings of a controller node.
 *
 * @property node name of this node
 * @property zone the zone of this node
 * @property serveOn address at which users and workers reach this node
 * @property peerListen address at which the other controller nodes reach this node
 * @property members the other controller nodes
 * @property cloud address of the cloud's API
 * @property state address of the state service
 * @property clockOffMs bound on the difference of any node's wall clock from the true time, in milliseconds
 * @property heartbeatIntervalS seconds between two heartbeats of a worker
 * @property leaseS seconds for which an answered heartbeat renews a worker's lease
 * @property cancelS seconds after a confirmed cancellation within which all tasks of the job must have ended
 * @property stateLimits limits of the state service; each is the lower of the limit in force and the announced one
 * @property cloudRps requests per second that the cloud accepts
 * @property listLagS seconds by which the cloud's list of machines may be out of date
 * @property maxConnections the largest number of connections that this node may have open
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
    val nodeCount: Int get() = members.size + 1

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
