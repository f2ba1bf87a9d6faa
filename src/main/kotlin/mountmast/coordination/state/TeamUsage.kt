package mountmast.coordination.state

import mountmast.protocol.Resources
import mountmast.protocol.TeamId

/** What the tasks of each team that may be on a machine take. Guarded as its [ClusterState] is. */
internal class TeamUsage {
    private val used = HashMap<TeamId, Resources>()

    /** What the tasks of [team] take now. */
    fun of(team: TeamId): Resources = used[team] ?: Resources.NONE

    fun add(team: TeamId, resources: Resources) {
        used.merge(team, resources) { sum, added -> sum + added }
    }

    fun subtract(team: TeamId, resources: Resources) {
        used.merge(team, resources) { sum, freed -> sum - freed }
    }
}
