package mountmast.coordination.controller

import mountmast.coordination.autoscaling.Autoscaler
import mountmast.coordination.persistence.JournalCommitter
import java.util.concurrent.atomic.AtomicReference

/** What exists on the leader alone, made anew for each term. */
internal class LeaderComponents(val leaderTerm: LeaderTerm, val committer: JournalCommitter, val autoscaler: Autoscaler)

/** The components of the term in which this node leads. Set by the election's thread, read by any. */
internal class CurrentLeaderComponents {
    private val components = AtomicReference<LeaderComponents?>()

    /** The components of the current term, which may not be loaded yet, or null while this node does not lead. */
    fun get(): LeaderComponents? = components.get()

    /** The components of the current term once its state is loaded, or null before and while this node does not lead. */
    fun loaded(): LeaderComponents? = components.get()?.takeIf { it.leaderTerm.isLoaded }

    /** Replaces the components; null once this node leads no more. */
    fun set(current: LeaderComponents?) = components.set(current)
}
