package mountmast.coordination.scheduling

import mountmast.protocol.TeamId
import mountmast.protocol.Urgency

/**
 * The parameters that the paper leaves open and the limits of a scheduling cycle. Each is a setting of its own with one XML
 * element in the operators' file, so they stand side by side rather than in groups.
 */
data class SchedulingPolicy(
    /** λ of the paper: the weight of the newest degree of assurance against the smoothed one before, from 0 to 1. */
    val smoothing: Double = 0.3,
    /** η of the paper: a team's usage, with what it borrows, may reach this many times its guarantee. */
    val borrowingFactor: Double = 3.0,
    /** α of the paper: the weight of a task's earlier preemptions in the cost of another one. */
    val overheadWeight: Double = 0.5,
    /** β of the paper: the weight of the number of tasks preempted on one machine in their cost. */
    val fragmentationWeight: Double = 0.3,
    /** The least urgency at which jobs are covered by their team's guarantee. */
    val guaranteedFrom: Urgency = Urgency.NORMAL,
    /** Teams for which another urgency than [guaranteedFrom] applies. */
    val guaranteedFromOf: Map<TeamId, Urgency> = emptyMap(),
    /** The longest time between two scheduling cycles, in milliseconds. */
    val cycleMs: Long = 1000,
    /** How many machines a cycle may preempt; more in a large cluster, see [PreemptionPlanner]. */
    val preemptionsPerCycle: Int = 4,
    /** How many tasks a cycle may start. */
    val startsPerCycle: Int = 2000,
    /** The weight of earlier runs in a team's mean run time, from 0 to 1. */
    val runDecay: Double = 0.7,
) {
    /** The least urgency at which jobs of [team] are covered by its guarantee. */
    fun threshold(team: TeamId): Urgency = guaranteedFromOf[team] ?: guaranteedFrom
}
