package mountmast.coordination.election

import mountmast.protocol.FencingToken
import mountmast.protocol.MonotonicTime
import mountmast.protocol.NodeId

/** What this node knows about which node leads. Thread-safe. No function or property calls the store or another node. */
interface Leadership {
    /** The lease by which this node leads, or null while it does not lead. */
    val leaderLease: LeaderLease?

    /** The leader as far as this node knows, or null if it knows of none. May be out of date. */
    val leader: NodeId?

    /** The first fencing token of the highest term that this node has observed, or zero if it has observed none. */
    val highestToken: FencingToken

    /** Milliseconds since the last successful grant or renewal of the leader lease was requested, or null if this node does not lead. */
    val renewalAgeMs: Long?

    /**
     * Returns whether this node, as leader, may answer a worker's heartbeat with a renewal of the worker's lease.
     *
     * A leader that cannot renew its own lease cannot tell an outage of the store, during which no store lease expires, from a
     * network partition that affects this node alone. It therefore goes on renewing workers' leases for the grace period
     * ([LeaseTiming.graceMs]) after its own lease may have expired, and a successor allows for that period before it treats a
     * worker's lease as expired.
     */
    fun mayRenewWorkerLeases(): Boolean

    /**
     * Returns the time up to which certainly no other node has led since this node was elected, or null if this node no longer
     * leads by [lease]. The result is the time at which the last successful grant or renewal of the lease was requested.
     */
    fun confirmedUntil(lease: LeaderLease): MonotonicTime?

    /**
     * Records that a worker or another node has seen [token]. If this node leads and the token's term is higher than its own,
     * there may be a newer leader; after the next successful renewal this node checks the leader key in the store.
     */
    fun observeToken(token: FencingToken)

    /**
     * Ends this node's leadership, if it leads, without revoking its store lease. Called when this node no longer holds the leader
     * key, or may no longer hold it.
     */
    fun stepDown()
}
