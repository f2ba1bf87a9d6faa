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
 * [step], [awaitVacancy] and [resign] are called by one thread, and no lock is held while they call the store; everything else
 * is thread-safe.
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
    private val elections = metrics.counter(MetricNames.ELECTIONS)
    private val resignations = metrics.counter(MetricNames.RESIGNATIONS)
    private val renewal = LeaseRenewal(store, leadership, clock)
    private val vacancyWatch = VacancyWatch(store, leadership)
    private val delegation = RenewalDelegation(leadership, timing, clock)

    // Used only by the thread that calls step().
    private var storeFailingSince: MonotonicTime? = null
    private var electionBackoffUntil = MonotonicTime(Long.MIN_VALUE)

    /**
     * An election in which [node] takes part. [run] is drawn at each start of the process: a node that restarts at once must not
     * take the key of its earlier process for its own.
     */
    constructor(store: StateStore, node: NodeId, run: String, timing: LeaseTiming, clock: Clock, metrics: Metrics = Metrics()) :
        this(
            LeadershipState(node, timing, clock),
            ElectionCampaign(store, node, run, timing, clock),
            store,
            node,
            timing,
            clock,
            metrics,
        )

    /**
     * Renews the leader lease, observes another leader or attempts to be elected. Called about once a second. A store that does
     * not serve is logged when that begins and when it ends; the exception is not passed on.
     */
    fun step() {
        try {
            val lease = leadership.leaderLease
            if (lease == null) observeOrElect() else renewal.renew(lease)
            storeFailingSince?.let { log.info("the state service answers again after {} ms", clock.now() - it) }
            storeFailingSince = null
        } catch (e: StoreException) {
            if (storeFailingSince == null) log.info("the state service does not serve this node: {}", e.message)
            storeFailingSince = storeFailingSince ?: clock.now()
            val isUnconfirmed = (leadership.renewalAgeMs ?: 0) >= timing.ttlMs
            if (isUnconfirmed && leadership.suspectsNewerLeader) leadership.stepDown()
        }
    }

    /**
     * Waits up to [waitMs] milliseconds while another node leads, and returns as soon as its key is deleted: the sooner a
     * successor is elected, the fewer workers' leases expire.
     */
    fun awaitVacancy(waitMs: Long): VacancyWait =
        if (clock.now() < electionBackoffUntil) VacancyWait.NOT_NEEDED else vacancyWatch.await(waitMs)

    /** Ends the leadership by [lease] for [reason], so that another node can be elected; this one takes no part for a while. */
    fun resign(lease: LeaderLease, reason: String) {
        if (!leadership.stepDownFrom(lease, reason)) return
        resignations.add()
        electionBackoffUntil = clock.now() + ELECTION_BACKOFF_MS
        try {
            store.revokeLease(lease.storeLease)
        } catch (e: StoreException) {
            log.debug("lease={} was not revoked and will expire: {}", lease.storeLease, e.message)
        }
    }

    /** Returns the token under which this node may renew workers' leases on behalf of a newly elected leader, or null. */
    fun delegatedToken(): FencingToken? = delegation.token()

    private fun observeOrElect() {
        when (val key = store.readLeaderKey()) {
            LeaderKey.Unreadable -> log.warn("the leader key is unreadable")
            LeaderKey.Vacant -> elect(ModRevision.ABSENT)
            is LeaderKey.Held -> observeHolder(key)
        }
    }

    private fun observeHolder(key: LeaderKey.Held) {
        val record = key.record
        leadership.observeToken(record.token)
        when {
            campaign.isOwn(record) -> conclude(campaign.resolveInDoubt(key))

            // The earlier process of this node is dead, or this one would not run: it is replaced at once.
            record.node == node -> elect(key.modRevision)

            else -> {
                leadership.observeLeader(record.node)
                delegation.observe(record)
                vacancyWatch.observe(key.modRevision)
            }
        }
    }

    private fun elect(leaderModRevision: ModRevision) {
        if (clock.now() >= electionBackoffUntil) conclude(campaign.elect(leaderModRevision))
    }

    private fun conclude(result: ElectionResult) {
        if (result !is ElectionResult.Elected) return
        elections.add()
        leadership.becomeLeader(result)
    }

    private companion object {
        const val ELECTION_BACKOFF_MS = 20_000L
    }
}
