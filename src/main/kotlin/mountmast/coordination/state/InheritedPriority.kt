package mountmast.coordination.state

import mountmast.protocol.Urgency
import mountmast.protocol.WallTime

/** The strictest urgency and due time that the dependents of a job require of it. */
data class InheritedPriority(val urgency: Urgency, val due: WallTime?) {
    /** The stricter of this requirement and [other] in both respects. */
    fun tightenedBy(other: InheritedPriority) = InheritedPriority(minOf(urgency, other.urgency), earlier(due, other.due))

    companion object {
        /** Requires nothing. */
        val NONE = InheritedPriority(Urgency.BEST_EFFORT, null)

        /** The earlier of two times; null if both are. */
        fun earlier(one: WallTime?, other: WallTime?): WallTime? = if (one == null || other == null) one ?: other else minOf(one, other)
    }
}
