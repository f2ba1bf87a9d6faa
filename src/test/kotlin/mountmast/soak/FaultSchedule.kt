package mountmast.soak

import kotlin.random.Random

/**
 * The kind of a fault. Machines that are cut neither send nor receive, deaf ones do not receive, mute ones do not send. `STATE`
 * stands for the state service, `PEERS` for the links between controllers.
 */
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

/**
 * A fault of [kind] that starts [startMs] after the schedule's start and lasts [durationMs]. Faults that are not
 * specific to one node ignore [node].
 */
data class Fault(val startMs: Long, val kind: FaultKind, val node: Int, val durationMs: Long) {
    override fun toString() = "$startMs ms: $kind at node-$node for $durationMs ms"
}

/** Draws random faults from a seed; faults may overlap. */
object FaultSchedule {
    /** Returns the faults of [seed], ordered by their start. */
    fun draw(seed: Long): List<Fault> {
        val random = Random(seed)
        val faults = List(random.nextInt(4, 9)) {
            val kind = FaultKind.entries.random(random)
            val durationMs = if (kind == FaultKind.STATE_OUT && random.nextInt(6) == 0) {
                SoakDeployment.CANCELLATION_MS + random.nextLong(1000, 4000)
            } else {
                random.nextLong(300, MAX_DURATION_MS)
            }
            Fault(random.nextLong(EARLIEST_START_MS, LATEST_START_MS), kind, random.nextInt(SoakDeployment.NODE_COUNT), durationMs)
        }
        return faults.sortedBy { it.startMs }
    }

    private const val EARLIEST_START_MS = 2000L
    private const val LATEST_START_MS = 16_000L
    private const val MAX_DURATION_MS = 9000L
}
