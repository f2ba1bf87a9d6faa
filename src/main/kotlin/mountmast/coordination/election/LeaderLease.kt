package mountmast.coordination.election

import mountmast.protocol.FencingToken
import mountmast.protocol.ModRevision
import mountmast.protocol.MonotonicTime
import mountmast.protocol.StoreLeaseId
import mountmast.protocol.WallTime

/**
 * The lease by which a node leads for one term. Immutable; two terms of one node have different instances.
 *
 * @property token the first fencing token of the term
 * @property modRevision revision of the leader key, which every write of the leader compares
 * @property storeLease lease of the store to which the leader key is attached
 * @property electedAt when this node learned of its election
 * @property watermark low watermark of cancellations as the previous leader left it
 */
class LeaderLease(
    val token: FencingToken,
    val modRevision: ModRevision,
    val storeLease: StoreLeaseId,
    val electedAt: MonotonicTime,
    val watermark: WallTime,
)
