package mountmast.coordination.election

import mountmast.protocol.ModRevision
import mountmast.protocol.Revision
import mountmast.storage.Keys
import mountmast.storage.StateStore
import mountmast.storage.StoreException
import mountmast.storage.WatchResult
import org.slf4j.LoggerFactory

private val log = LoggerFactory.getLogger("mountmast.leadership")

/** How a wait for a vacancy of the leadership ended. */
enum class VacancyWait {
    /** The leader key was watched, until it changed or the time was over; the next election step is due at once. */
    WATCHED,

    /** There is nothing to wait for: no other node is known to lead, or this node may not be elected for now. */
    NOT_NEEDED,

    /** The store did not serve the watch. */
    FAILED,
}

/** Watches the key of another leader. Confined to the thread that calls [LeaderElection.step]. */
internal class VacancyWatch(private val store: StateStore, private val leadership: LeadershipState) {
    /** Every change of the leader key up to this revision has been seen. */
    private var observedUpTo = Revision(0u)

    /** Records that the leader key was read at [modRevision] and named another node. */
    fun observe(modRevision: ModRevision) {
        observedUpTo = maxOf(observedUpTo, Revision(modRevision.number))
    }

    /** Waits up to [waitMs] milliseconds for the key of another leader to change. */
    fun await(waitMs: Long): VacancyWait {
        if (!leadership.followsOtherLeader) return VacancyWait.NOT_NEEDED
        return try {
            val result = store.watch(Keys.LEADER, observedUpTo, waitMs)
            if (result is WatchResult.Changes) observedUpTo = result.upTo
            VacancyWait.WATCHED
        } catch (e: StoreException) {
            log.debug("watching the leader key failed: {}", e.message)
            VacancyWait.FAILED
        }
    }
}
