package mountmast.coordination.election

import mountmast.protocol.FencingToken
import mountmast.protocol.ModRevision
import mountmast.protocol.MonotonicTime
import mountmast.protocol.StoreLeaseId
import mountmast.protocol.WallTime

/** A time of leading: the term, and the version of the leader's key on which every write depends. */
class LeaderLease(
    val token: FencingToken,
    val modRevision: ModRevision,
    val storeLease: StoreLeaseId,
    val electedAt: MonotonicTime,
    /** Of cancellations, as the leader before left it. */
    val watermark: WallTime,
)
