package mountmast.coordination.election

import mountmast.protocol.HoldId
import mountmast.protocol.MonotonicTime
import mountmast.protocol.Stamp
import mountmast.protocol.Term
import mountmast.protocol.WallTime

/** A time of leading: the term, and the version of the leader's key on which every write depends. */
class LeadershipGrant(
    val term: Term,
    val stamp: Stamp,
    val hold: HoldId,
    val electedAt: MonotonicTime,
    /** Of cancellations, as the leader before left it. */
    val watermark: WallTime,
)
