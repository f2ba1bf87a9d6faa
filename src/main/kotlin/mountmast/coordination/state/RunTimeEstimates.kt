package mountmast.coordination.state

import mountmast.protocol.TeamId

/**
 * Mean run time of each team's tasks, recent ones counting more, for jobs without an estimate by their owner. Guarded as its
 * [ClusterState] is.
 */
class RunTimeEstimates(
    /** The weight of the mean so far against that of one run more, from 0 to 1. */
    private val decay: Double,
) {
    private val meanRunS = HashMap<TeamId, Double>()

    /** Records that a task of [team] ran for [runS] seconds. */
    fun recordRun(team: TeamId, runS: Double) {
        meanRunS.merge(team, runS) { old, new -> old * decay + new * (1 - decay) }
    }

    /** The estimate for the whole run of one of the job's tasks, in seconds. */
    fun estimateS(job: Job): Double = if (job.spec.estimateS > 0) job.spec.estimateS else meanRunS[job.spec.team] ?: UNKNOWN_RUN_S

    private companion object {
        const val UNKNOWN_RUN_S = 60.0
    }
}
