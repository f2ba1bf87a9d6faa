package mountmast.coordination.controller

import mountmast.coordination.autoscaling.Autoscaler
import mountmast.coordination.persistence.JournalCommitter
import java.util.concurrent.atomic.AtomicReference

/** The components that exist on the leader only, created for each term. */
internal class LeaderComponents(val leaderTerm: LeaderTerm, val committer: JournalCommitter, val autoscaler: Autoscaler)

/** Holds the components of the term in which this node leads. Set by the thread of the election loop, read by any thread. */
internal class CurrentLeaderComponents {
    private val components = AtomicReference<LeaderComponents?>()

    /** Returns the components of the current term, whose state may not be loaded yet, or null while this node does not lead. */
    fun get(): LeaderComponents? = components.get()

    /** Returns the components of the current term, or null while this node does not lead or has not loaded the cluster state. */
    fun getIfLoaded(): LeaderComponents? = components.get()?.takeIf { it.leaderTerm.isLoaded }

    /** Replaces the components; [current] is null when this node stops leading. */
    fun set(current: LeaderComponents?) = components.set(current)
}
