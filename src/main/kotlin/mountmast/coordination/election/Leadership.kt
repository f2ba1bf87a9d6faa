package mountmast.coordination.election

import mountmast.protocol.FencingToken
import mountmast.protocol.MonotonicTime
import mountmast.protocol.NodeId

/** What this node knows of who leads. Thread-safe; nothing here calls another system. */
interface Leadership {
    /** The lease by which this node leads, or null while it does not lead. */
    val leaderLease: LeaderLease?

    /** The node that leads as far as this one knows, or null if it knows of none. */
    val leader: NodeId?

    /** The first token of the highest term that this node has observed; zero before the first. */
    val highestToken: FencingToken

    /** Milliseconds since the last successful renewal was requested, or null while this node does not lead. */
    val renewalAgeMs: Long?

    /**
     * Returns whether this node may answer heartbeats with a renewal of the worker's lease. A leader that cannot renew its own
     * lease cannot tell an outage of the store, during which no lease expires, from a partition that concerns only itself. So it
     * keeps workers alive for the grace period, and a successor waits that long before it counts a worker's lease as expired.
     */
    fun mayRenewWorkerLeases(): Boolean

    /**
     * Returns the time up to which it is certain that no other node led, or null once this node no longer leads by [lease]. A
     * renewal that succeeded proves it for all time before it was requested.
     */
    fun confirmedUntil(lease: LeaderLease): MonotonicTime?

    /**
     * Records that a worker or another node has seen [token]. A term higher than this leader's own suggests a newer leader; the
     * next renewal asks the store whether there is one.
     */
    fun observeToken(token: FencingToken)

    /** Ends this node's leadership, if it leads: the store showed that the leader key is no longer its own. */
    fun stepDown()
}
