package mountmast.coordination.state

import mountmast.protocol.Urgency
import mountmast.protocol.WallTime

/** The strictest urgency and due time that the dependents of a job require of the job; [due] is null if none requires a time. */
data class InheritedPriority(val urgency: Urgency, val due: WallTime?) {
    /** The higher urgency and the earlier due time of this requirement and [other]. */
    fun tightenedBy(other: InheritedPriority) = InheritedPriority(minOf(urgency, other.urgency), earlier(due, other.due))

    companion object {
        /** The requirement of a job without dependents. */
        val NONE = InheritedPriority(Urgency.BEST_EFFORT, null)

        /** The earlier of two times, where null stands for no time; null if both are null. */
        fun earlier(one: WallTime?, other: WallTime?): WallTime? = if (one == null || other == null) one ?: other else minOf(one, other)
    }
}
