package mountmast.coordination.election

import mountmast.protocol.FencingToken
import mountmast.protocol.ModRevision
import mountmast.protocol.MonotonicTime
import mountmast.protocol.StoreLeaseId
import mountmast.protocol.WallTime

/**
 * The lease by which a node is leader for one term. Immutable; each term has an instance of its own, also on the same node.
 *
 * @property token the first fencing token of the term
 * @property modRevision revision at which the leader key was written; every write of the leader compares it
 * @property storeLease lease of the store to which the leader key is attached
 * @property electedAt when this node learned that it was elected
 * @property watermark low watermark of cancellations as read from the store before the election, or the beginning of the
 *   election if no leader had stored one
 */
class LeaderLease(
    val token: FencingToken,
    val modRevision: ModRevision,
    val storeLease: StoreLeaseId,
    val electedAt: MonotonicTime,
    val watermark: WallTime,
)
