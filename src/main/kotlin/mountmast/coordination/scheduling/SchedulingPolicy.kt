package mountmast.coordination.scheduling

import mountmast.protocol.TeamId
import mountmast.protocol.Urgency

/**
 * The scheduling parameters λ, η, α and β, and the limits of a scheduling cycle. The paper cited in docs/design.md ("the paper") leaves
 * the values of these parameters open. Each property is set by one XML element in the operators' file, so the properties are not grouped.
 */
data class SchedulingPolicy(
    /** λ of the paper: the weight of a team's current degree of assurance against the previous smoothed degree, from 0 to 1. */
    val smoothing: Double = 0.3,
    /** η of the paper: the bound on a team's usage, borrowed resources included, as a multiple of the team's guarantee. */
    val borrowingFactor: Double = 3.0,
    /** α of the paper: the weight of a task's earlier preemptions in the cost of preempting that task again. */
    val overheadWeight: Double = 0.5,
    /** β of the paper: the weight of the number of tasks on a machine in the cost of preempting all of them. */
    val fragmentationWeight: Double = 0.3,
    /** The lowest urgency at which a team's guarantee covers the team's jobs. */
    val guaranteedFrom: Urgency = Urgency.NORMAL,
    /** Replaces [guaranteedFrom] for some teams: the lowest urgency at which the guarantee of such a team covers the team's jobs. */
    val guaranteedFromByTeam: Map<TeamId, Urgency> = emptyMap(),
    /** The longest time between two scheduling cycles, in milliseconds. */
    val cycleMs: Long = 1000,
    /** The number of machines on which a cycle may preempt the tasks; larger in a large cluster, see [PreemptionPlanner]. */
    val preemptionsPerCycle: Int = 4,
    /** The number of tasks that a cycle may start at most. */
    val startsPerCycle: Int = 2000,
    /** The weight of the previous mean of a team's run times when a completed run is averaged in, from 0 to 1. */
    val runDecay: Double = 0.7,
) {
    /** Returns the lowest urgency at which the guarantee of [team] covers its jobs. */
    fun guaranteeThreshold(team: TeamId): Urgency = guaranteedFromByTeam[team] ?: guaranteedFrom
}
