package mountmast.soak

import kotlin.random.Random

/** A kind of fault. */
enum class FaultKind {
    KILL,
    KILL_ALL,
    KILL_FOR_A_MOMENT,
    PAUSE,
    STATE_HELD,
    STATE_REFUSED,
    STATE_ANSWERS_HELD,
    STATE_SLOW,
    STATE_OUT,
    LATE_WRITES,
    PEERS_HELD,
    PEERS_REFUSED,
    HEARTBEATS_LOST,
    HEARTBEAT_ANSWERS_LOST,
    MACHINES_CUT,
    MACHINES_DEAF,
    MACHINES_MUTE,
    MACHINES_HANG,
    COMMANDS_HELD,
    HEARTBEAT_COPIES,
    MACHINES_TAKEN,
    CLOUD_OUT,
}

/** One fault: at [node], or at machines, from [atMs] for [forMs]. */
data class Fault(val atMs: Long, val kind: FaultKind, val node: Int, val forMs: Long) {
    override fun toString() = "$atMs ms: $kind at node-$node for $forMs ms"
}

/** Faults drawn from a seed, some of which overlap. */
object FaultSchedule {
    /** The schedule of [seed]. */
    fun draw(seed: Long): List<Fault> {
        val random = Random(seed)
        val faults = List(random.nextInt(4, 9)) {
            val kind = FaultKind.entries.random(random)
            val forMs = if (kind == FaultKind.STATE_OUT && random.nextInt(6) == 0) {
                SoakSite.CANCEL_MS + random.nextLong(1000, 4000)
            } else {
                random.nextLong(300, LONGEST_MS)
            }
            Fault(random.nextLong(BEGIN_MS, END_MS), kind, random.nextInt(SoakSite.NODES), forMs)
        }
        return faults.sortedBy { it.atMs }
    }

    private const val BEGIN_MS = 2000L
    private const val END_MS = 16_000L
    private const val LONGEST_MS = 9000L
}
