package mountmast.coordination.controller

import mountmast.coordination.election.LeaderElection
import mountmast.coordination.persistence.CommitStep
import mountmast.coordination.workers.DeliveryStep
import mountmast.protocol.Clock
import mountmast.storage.StoreException
import org.slf4j.LoggerFactory

private val log = LoggerFactory.getLogger("mountmast.controller")

/**
 * The steps of a leader. On any other node they do nothing: those that return a result return [StepResult.IDLE] at once. Each step
 * returns after at most one exchange with each external system, and may be called by a thread of its own; the caller does not hold
 * the lock of the leader's term. A step whose term ends meanwhile finishes with the components of that term.
 */
class LeaderWork internal constructor(
    private val leaderComponents: CurrentLeaderComponents,
    private val election: LeaderElection,
    private val clock: Clock,
) {
    /** Returns the current term, or null while this node does not lead or has not loaded the cluster state. */
    fun leaderTerm(): LeaderTerm? = leaderComponents.getIfLoaded()?.leaderTerm

    /**
     * Loads a part of what earlier leaders wrote, if this node leads and has not loaded all of it. Loading is not part of the
     * election step: after a start it takes seconds, during which the leader lease must be renewed.
     */
    fun load(): StepResult {
        val leaderTerm = leaderComponents.get()?.leaderTerm ?: return StepResult.IDLE
        return try {
            StepResult.didWorkIf(leaderTerm.load())
        } catch (e: StoreException) {
            log.debug("cannot load the cluster state for term={}: {}", leaderTerm.leaderLease.token, e.message)
            StepResult.FAILED
        }
    }

    /** Runs one scheduling cycle; then, if this node still leads, expires the leases of workers that were silent for too long. */
    fun runSchedulingCycle() {
        val leaderTerm = leaderTerm() ?: return
        leaderTerm.runSchedulingCycle()
        election.confirmedUntil(leaderTerm.leaderLease)?.let { leaderTerm.livenessMonitor.expireLeases(it) }
    }

    /** Commits one batch of pending changes; returns [StepResult.IDLE] if there was none, and also if the store failed. */
    fun commitPendingChanges(): StepResult =
        StepResult.didWorkIf(leaderComponents.getIfLoaded()?.committer?.commitNext() == CommitStep.Written)

    /** Watches the jobs in the store: waits up to [waitMs] for new or cancelled jobs and applies them to the cluster state. */
    fun watchJobs(waitMs: Long): StepResult {
        val leaderTerm = leaderTerm() ?: return StepResult.IDLE
        return try {
            leaderTerm.jobs.watch(waitMs)
            StepResult.DID_WORK
        } catch (e: StoreException) {
            log.debug("cannot watch the jobs: {}", e.message)
            StepResult.FAILED
        }
    }

    /** Reads the results of jobs that are prerequisites of others. */
    fun resolvePrerequisites(): StepResult {
        val leaderTerm = leaderTerm() ?: return StepResult.IDLE
        return try {
            StepResult.didWorkIf(leaderTerm.jobs.resolvePrerequisites())
        } catch (e: StoreException) {
            log.debug("cannot resolve prerequisites: {}", e.message)
            StepResult.FAILED
        }
    }

    /**
     * Scales out or in, if the leader lease was confirmed in the last [RECENTLY_CONFIRMED_MS]: neither can be undone, so a leader that
     * may have a successor must do neither.
     */
    fun autoscale() {
        val current = leaderComponents.getIfLoaded() ?: return
        val confirmed = election.confirmedUntil(current.leaderTerm.leaderLease) ?: return
        if (clock.now() - confirmed < RECENTLY_CONFIRMED_MS) current.autoscaler.runRound()
    }

    /** Delivers the outstanding commands of one worker; waits up to [waitMs] if no worker is queued. May run on several threads. */
    fun deliverCommands(waitMs: Long): StepResult =
        StepResult.didWorkIf(leaderTerm()?.commandDispatcher?.deliverNextCommands(waitMs) == DeliveryStep.DONE)

    /** Announces this leader to one worker that has not shown the token of this term yet. May run on several threads. */
    fun announceLeader(): StepResult = StepResult.didWorkIf(leaderTerm()?.commandDispatcher?.sendNextAnnouncement() == DeliveryStep.DONE)
}
