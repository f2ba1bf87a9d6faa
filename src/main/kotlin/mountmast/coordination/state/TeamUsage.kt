package mountmast.coordination.state

import mountmast.protocol.Resources
import mountmast.protocol.TeamId

/** The resources of each team's assignments that are not released. Guarded by the lock of the leader's term. */
internal class TeamUsage {
    private val usageByTeam = HashMap<TeamId, Resources>()

    /** The resources that the assignments of [team] take now. */
    fun usageOf(team: TeamId): Resources = usageByTeam[team] ?: Resources.NONE

    fun add(team: TeamId, resources: Resources) {
        usageByTeam.merge(team, resources) { sum, added -> sum + added }
    }

    fun subtract(team: TeamId, resources: Resources) {
        usageByTeam.merge(team, resources) { sum, freed -> sum - freed }
    }
}
