package mountmast.coordination.election

import mountmast.protocol.ModRevision
import mountmast.protocol.Revision
import mountmast.storage.Keys
import mountmast.storage.StateStore
import mountmast.storage.StoreException
import mountmast.storage.WatchResult
import org.slf4j.LoggerFactory

private val log = LoggerFactory.getLogger("mountmast.leadership")

/** How a wait for the leadership to become vacant ended. */
enum class VacancyWait {
    /** The leader key was watched until it changed or the wait timed out; the next election step is due at once. */
    WATCHED,

    /** The leader key was not watched: no other node is known to lead, or this node has resigned lately and may not be elected. */
    NOT_NEEDED,

    /** The store failed or refused the watch of the leader key. */
    FAILED,
}

/** Watches the leader key while another node leads. Confined to the thread that calls [LeaderElection.step]. */
internal class VacancyWatch(private val store: StateStore, private val leadership: LeadershipState) {
    /** This node has seen every change of the leader key up to this revision. */
    private var lastObservedRevision = Revision(0u)

    /** Records that the leader key was read, was last modified at [modRevision] and names another node. */
    fun observeLeaderKey(modRevision: ModRevision) {
        lastObservedRevision = maxOf(lastObservedRevision, Revision(modRevision.number))
    }

    /** Waits for the leader key to change, for at most [waitMs] milliseconds, if another node is known to lead. */
    fun awaitChange(waitMs: Long): VacancyWait {
        if (!leadership.followsOtherLeader) return VacancyWait.NOT_NEEDED
        return try {
            val result = store.watch(Keys.LEADER, lastObservedRevision, waitMs)
            if (result is WatchResult.Changes) lastObservedRevision = result.upTo
            VacancyWait.WATCHED
        } catch (e: StoreException) {
            log.debug("watching the leader key failed: {}", e.message)
            VacancyWait.FAILED
        }
    }
}
