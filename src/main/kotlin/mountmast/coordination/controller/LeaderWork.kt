package mountmast.coordination.controller

import mountmast.coordination.election.LeaderElection
import mountmast.coordination.persistence.CommitStep
import mountmast.coordination.workers.DeliveryStep
import mountmast.protocol.Clock
import mountmast.storage.StoreException
import org.slf4j.LoggerFactory

private val log = LoggerFactory.getLogger("mountmast.controller")

/**
 * The steps that only a leader does; on any other node each of them returns [StepResult.IDLE] at once. Each returns after
 * at most one exchange with each of the systems around the node, and may be called from a thread of its own.
 */
class LeaderWork internal constructor(
    private val leader: CurrentLeaderComponents,
    private val election: LeaderElection,
    private val clock: Clock,
) {
    /** The term to work in, or null while this node does not lead or has not loaded its state. */
    fun leaderTerm(): LeaderTerm? = leader.loaded()?.leaderTerm

    /**
     * Reads part of what earlier leaders wrote, if this node has just been elected. Not part of the election's step: reading
     * takes seconds after a start, and the lease must be renewed meanwhile.
     */
    fun load(): StepResult {
        val leaderTerm = leader.get()?.leaderTerm ?: return StepResult.IDLE
        return try {
            StepResult.of(leaderTerm.load())
        } catch (e: StoreException) {
            log.debug("term={} cannot be loaded: {}", leaderTerm.leaderLease.token, e.message)
            StepResult.FAILED
        }
    }

    /** Runs one scheduling cycle, then expires the leases of workers that are silent for too long. */
    fun runSchedulingCycle() {
        val leaderTerm = leaderTerm() ?: return
        leaderTerm.runSchedulingCycle()
        election.confirmedUntil(leaderTerm.leaderLease)?.let { leaderTerm.liveness.expireLeases(it) }
    }

    /** Commits one batch of pending changes. */
    fun commitPendingChanges(): StepResult = StepResult.of(leader.loaded()?.committer?.commitNext() == CommitStep.Written)

    /** Reads new and cancelled jobs from the store, waiting up to [waitMs] for the next. */
    fun watchJobs(waitMs: Long): StepResult {
        val leaderTerm = leaderTerm() ?: return StepResult.IDLE
        return try {
            leaderTerm.jobs.watch(waitMs)
            StepResult.DID_WORK
        } catch (e: StoreException) {
            log.debug("jobs cannot be watched: {}", e.message)
            StepResult.FAILED
        }
    }

    /** Reads the outcome of jobs that others depend on. */
    fun resolvePrerequisites(): StepResult {
        val leaderTerm = leaderTerm() ?: return StepResult.IDLE
        return try {
            StepResult.of(leaderTerm.jobs.resolvePrerequisites())
        } catch (e: StoreException) {
            log.debug("prerequisites cannot be resolved: {}", e.message)
            StepResult.FAILED
        }
    }

    /** Scales out or in. Neither can be undone, so only a leader whose lease was confirmed a moment ago does either. */
    fun autoscale() {
        val current = leader.loaded() ?: return
        val confirmed = election.confirmedUntil(current.leaderTerm.leaderLease) ?: return
        if (clock.now() - confirmed < RECENTLY_CONFIRMED_MS) current.autoscaler.runRound()
    }

    /** Delivers the commands due to one worker, waiting up to [waitMs] for some. */
    fun deliverCommands(waitMs: Long): StepResult = StepResult.of(leaderTerm()?.dispatch?.deliverNext(waitMs) == DeliveryStep.DONE)

    /** Announces this leader to one worker that may still follow a former one. */
    fun announceLeader(): StepResult = StepResult.of(leaderTerm()?.dispatch?.announceNext() == DeliveryStep.DONE)
}
