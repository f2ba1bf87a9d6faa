package mountmast.coordination.state

import mountmast.protocol.TeamId

/**
 * Estimates the run time of tasks: by the owner's estimate for their job, or else by the exponentially weighted mean run time of
 * their team's tasks. Guarded by the lock of the leader's term.
 */
class RunTimeEstimates(
    /** The weight of the previous mean when one more run is averaged in, from 0 to 1. */
    private val decay: Double,
) {
    private val meanRunSByTeam = HashMap<TeamId, Double>()

    /** Records that a task of [team] ran for [runS] seconds. */
    fun recordRun(team: TeamId, runS: Double) {
        meanRunSByTeam.merge(team, runS) { old, new -> old * decay + new * (1 - decay) }
    }

    /** The estimated run time of one task of [job], from start to end, in seconds. */
    fun estimateS(job: Job): Double = if (job.spec.estimateS > 0) job.spec.estimateS else meanRunSByTeam[job.spec.team] ?: DEFAULT_RUN_S

    private companion object {
        const val DEFAULT_RUN_S = 60.0
    }
}
