package mountmast.coordination

import mountmast.protocol.HoldId
import mountmast.protocol.Moment
import mountmast.protocol.Stamp
import mountmast.protocol.Term
import mountmast.protocol.WallTime

/** A time of leading: the term, and the version of the leader's key on which every write depends. */
class Mandate(
    val term: Term,
    val stamp: Stamp,
    val hold: HoldId,
    val electedAt: Moment,
    /** Of cancellations, as the leader before left it. */
    val watermark: WallTime,
)
