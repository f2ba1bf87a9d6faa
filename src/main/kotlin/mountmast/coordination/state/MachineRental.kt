package mountmast.coordination.state

import mountmast.protocol.MonotonicTime

/** The state of one machine as rented from the cloud. Guarded by the lock of the leader's term. */
class MachineRental {
    /** When the machine was rented, as far as this leader knows. */
    var rentedAt = MonotonicTime(0)
        private set

    /** When this leader learned of the machine. */
    var knownAt = MonotonicTime(0)
        private set

    /** Since when the machine has had no assignment; meaningful only while it has none. */
    var idleSince = MonotonicTime(0)
        private set

    /** Whether the cloud has announced that it will reclaim the machine. */
    var isReclaimNoticed = false
        private set

    /** How long before the reclaim the cloud gave notice, in seconds. */
    var reclaimNoticeS = 0.0
        private set

    /** Whether the machine was chosen for deletion; the choice is never undone. */
    var isDeleting = false
        private set

    /** Whether the cloud has listed the machine as failed. */
    var isListedFailed = false
        private set

    /** Whether the cloud listed the machine as running when this leader first saw it listed; it is usable only once heartbeats arrive. */
    var isListedRunning = false
        private set

    /** Records that the machine was rented at [rented] and is known to this leader since [known]. */
    fun recordRental(rented: MonotonicTime, known: MonotonicTime) {
        rentedAt = rented
        knownAt = known
    }

    /** Records that the machine has no assignment from [now] on. */
    fun markIdle(now: MonotonicTime) {
        idleSince = now
    }

    /** Records that the cloud will reclaim the machine in [noticeS] seconds. */
    fun recordReclaimNotice(noticeS: Double) {
        isReclaimNoticed = true
        reclaimNoticeS = noticeS
    }

    /** Records that the cloud lists the machine as failed. */
    fun markListedFailed() {
        isListedFailed = true
    }

    /** Records whether the cloud listed the machine as running when this leader first saw it listed. */
    fun recordFirstListing(isRunning: Boolean) {
        isListedRunning = isRunning
    }

    /** Chooses the machine for deletion: it gets no more tasks, and the request to delete it is repeated until the cloud answers. */
    fun beginDeletion() {
        isDeleting = true
    }
}
