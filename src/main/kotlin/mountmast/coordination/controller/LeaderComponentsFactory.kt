package mountmast.coordination.controller

import mountmast.coordination.autoscaling.Autoscaler
import mountmast.coordination.election.LeaderElection
import mountmast.coordination.election.LeaderLease
import mountmast.coordination.membership.FormatNegotiation
import mountmast.coordination.persistence.JournalCommitter
import mountmast.protocol.Settings
import mountmast.transport.Cloud

/** Creates the [LeaderComponents] of each term that this node is elected for. Its constructor arguments outlive a term. */
internal class LeaderComponentsFactory(
    private val settings: Settings,
    private val operatorSettings: OperatorSettings,
    /** Identifies this process; part of the prefix of the names of scale-out requests. */
    private val runId: String,
    private val cloud: Cloud,
    private val environment: LeaderTermEnvironment,
    private val election: LeaderElection,
    private val formats: FormatNegotiation,
) {
    /** Creates the components of the term of [leaderLease], without a call to the store. */
    fun create(leaderLease: LeaderLease): LeaderComponents {
        val store = environment.store
        val clock = environment.clock
        val leaderTerm = LeaderTerm(leaderLease, environment, settings.teams, operatorSettings.scheduling)
        val committer = JournalCommitter(leaderTerm, store, settings.stateLimits, clock, { formats.isCurrent }) { election.stepDown() }
        val requestPrefix = "${settings.node}-$runId-${leaderLease.token}"
        val autoscaler =
            Autoscaler(leaderTerm, cloud, clock, requestPrefix, operatorSettings.autoscaling, environment.timing, settings.cloudRps)
        return LeaderComponents(leaderTerm, committer, autoscaler)
    }
}
