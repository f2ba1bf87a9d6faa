package mountmast.coordination.election

import mountmast.protocol.Clock
import mountmast.protocol.FencingToken
import mountmast.protocol.ModRevision
import mountmast.protocol.MonotonicTime
import mountmast.protocol.NodeId
import mountmast.storage.StateStore
import mountmast.storage.StoreException
import mountmast.transport.MetricNames
import mountmast.transport.Metrics
import org.slf4j.LoggerFactory

private val log = LoggerFactory.getLogger("mountmast.leadership")

/**
 * Elects one node as leader, by a key of the store that is attached to a lease, and renews that lease while this node leads.
 *
 * [step], [awaitVacancy] and [resign] are called by one thread only, and hold no lock while they call the store. All other
 * functions and properties are thread-safe.
 */
class LeaderElection private constructor(
    private val leadership: LeadershipState,
    private val campaign: ElectionCampaign,
    private val store: StateStore,
    private val node: NodeId,
    private val timing: LeaseTiming,
    private val clock: Clock,
    metrics: Metrics,
) : Leadership by leadership {
    private val electionCounter = metrics.counter(MetricNames.ELECTIONS)
    private val resignationCounter = metrics.counter(MetricNames.RESIGNATIONS)
    private val renewal = LeaseRenewal(store, leadership, clock)
    private val vacancyWatch = VacancyWatch(store, leadership)
    private val delegation = RenewalDelegation(leadership, timing, clock)

    /**
     * Time since which a call to the store has failed in every [step], or null if the last step succeeded. Used only by the thread
     * that calls [step].
     */
    private var storeFailingSince: MonotonicTime? = null

    /** After a resignation, this node attempts no election before this time. Used only by the thread that calls [step]. */
    private var electionBackoffUntil = MonotonicTime(Long.MIN_VALUE)

    /**
     * Creates the election for [node]. [runId] is a random identifier of the process, drawn at each start, so that a node
     * that restarts before its lease has expired does not take the leader key of its earlier process for its own.
     */
    constructor(store: StateStore, node: NodeId, runId: String, timing: LeaseTiming, clock: Clock, metrics: Metrics = Metrics()) :
        this(
            LeadershipState(node, timing, clock),
            ElectionCampaign(store, node, runId, timing, clock),
            store,
            node,
            timing,
            clock,
            metrics,
        )

    /**
     * Renews the leader lease if this node leads. Otherwise reads the leader key, and attempts to be elected if no node leads or
     * an earlier process of this node wrote the key. Called about once a second. A [StoreException] is caught; the log shows when
     * the store began to fail and when it answers again.
     *
     * While the store fails, this node steps down once its lease may have expired, but only if it has observed a higher term.
     */
    fun step() {
        try {
            val lease = leadership.leaderLease
            if (lease == null) observeOrElect() else renewal.renew(lease)
            storeFailingSince?.let { log.info("the state service answers this node again, after failing for {} ms", clock.now() - it) }
            storeFailingSince = null
        } catch (e: StoreException) {
            if (storeFailingSince == null) log.info("the state service fails or refuses the requests of this node: {}", e.message)
            storeFailingSince = storeFailingSince ?: clock.now()
            val mayLeaseHaveExpired = (leadership.renewalAgeMs ?: 0) >= timing.ttlMs
            if (mayLeaseHaveExpired && leadership.suspectsNewerLeader) leadership.stepDown()
        }
    }

    /**
     * Waits while another node leads, for at most [waitMs] milliseconds, and returns as soon as the leader key changes. The
     * sooner a successor is elected after the key is deleted, the fewer workers' leases expire. Returns at once if no other node
     * is known to lead or if this node has resigned lately.
     */
    fun awaitVacancy(waitMs: Long): VacancyWait =
        if (clock.now() < electionBackoffUntil) VacancyWait.NOT_NEEDED else vacancyWatch.awaitChange(waitMs)

    /**
     * Ends this node's leadership by [lease] and revokes the store lease, so that another node can be elected at once. This node
     * attempts no election for [abstainMs] milliseconds. Does nothing if this node no longer leads by [lease]. The log shows the
     * [reason].
     */
    fun resign(lease: LeaderLease, reason: String, abstainMs: Long) {
        if (!leadership.stepDownFrom(lease, reason)) return
        resignationCounter.add()
        electionBackoffUntil = clock.now() + abstainMs
        try {
            store.revokeLease(lease.storeLease)
        } catch (e: StoreException) {
            log.debug("lease={} could not be revoked and is left to expire: {}", lease.storeLease, e.message)
        }
    }

    /**
     * Returns the fencing token under which this node may now renew workers' leases on behalf of a newly elected leader, or null
     * if it may not.
     */
    fun delegatedToken(): FencingToken? = delegation.delegatedToken()

    private fun observeOrElect() {
        when (val key = store.readLeaderKey()) {
            LeaderKey.Unreadable -> log.warn("the value of the leader key cannot be decoded; this node attempts no election")
            LeaderKey.Vacant -> attemptElection(ModRevision.ABSENT)
            is LeaderKey.Held -> observeHolder(key)
        }
    }

    private fun observeHolder(key: LeaderKey.Held) {
        val record = key.record
        leadership.observeToken(record.token)
        when {
            campaign.isOwn(record) -> applyResult(campaign.resolveUnansweredElection(key))

            // An earlier process of this node wrote the key. It has ended, or this process would not run, so the key is replaced
            // without waiting for the lease to expire.
            record.node == node -> attemptElection(key.modRevision)

            else -> {
                leadership.observeLeader(record.node)
                delegation.observeLeader(record)
                vacancyWatch.observeLeaderKey(key.modRevision)
            }
        }
    }

    private fun attemptElection(leaderModRevision: ModRevision) {
        if (clock.now() >= electionBackoffUntil) applyResult(campaign.attemptElection(leaderModRevision))
    }

    private fun applyResult(result: ElectionResult) {
        if (result !is ElectionResult.Elected) return
        electionCounter.add()
        leadership.becomeLeader(result)
    }
}
