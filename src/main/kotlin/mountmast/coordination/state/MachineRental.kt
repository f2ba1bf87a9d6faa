package mountmast.coordination.state

import mountmast.protocol.MonotonicTime

/** What is known of one machine as something rented from the cloud. Guarded as its [ClusterState] is. */
class MachineRental {
    /** When it was rented, as far as is known. */
    var rentedAt = MonotonicTime(0)
        private set

    /** When this leader first knew of it. */
    var knownAt = MonotonicTime(0)
        private set

    /** Since when no task has been on it, where none is. */
    var idleSince = MonotonicTime(0)
        private set

    /** Whether the cloud has announced that it will reclaim the machine. */
    var isReclaimNoticed = false
        private set

    /** How long before the reclaim the cloud gave notice, in seconds. */
    var reclaimNoticeS = 0.0
        private set

    /** Whether it was chosen for deletion; that is never taken back. */
    var isDeleting = false
        private set

    /** Whether the cloud lists it as failed. */
    var isListedFailed = false
        private set

    /** Whether the cloud listed it as running when this leader first saw it; it counts only once it sends heartbeats. */
    var isListedRunning = false
        private set

    /** Records that it was rented at [rented] and is known to this leader since [known]. */
    fun recordRental(rented: MonotonicTime, known: MonotonicTime) {
        rentedAt = rented
        knownAt = known
    }

    /** Records that no task has been on it since [now]. */
    fun markIdle(now: MonotonicTime) {
        idleSince = now
    }

    /** Records that the cloud will reclaim the machine in [noticeS] seconds. */
    fun recordReclaimNotice(noticeS: Double) {
        isReclaimNoticed = true
        reclaimNoticeS = noticeS
    }

    /** Records that the cloud lists it as failed. */
    fun markListedFailed() {
        isListedFailed = true
    }

    /** Records whether the cloud listed it as running when this leader first saw it. */
    fun recordFirstListing(isRunning: Boolean) {
        isListedRunning = isRunning
    }

    /** Chooses the machine for deletion: it gets no more work, and its deletion is repeated until the cloud answers. */
    fun beginDeletion() {
        isDeleting = true
    }
}
