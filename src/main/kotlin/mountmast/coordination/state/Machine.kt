package mountmast.coordination.state

import mountmast.protocol.Attempt
import mountmast.protocol.HeartbeatSequence
import mountmast.protocol.ImageId
import mountmast.protocol.JobId
import mountmast.protocol.MachineId
import mountmast.protocol.MonotonicTime
import mountmast.protocol.Resources
import mountmast.protocol.TypeId
import mountmast.protocol.WorkerIncarnation
import mountmast.protocol.Zone

/** What the ledger knows of a machine's condition. */
enum class MachineState {
    /** Rented, not yet heard from. */
    BOOTING,

    /** Its worker reports. */
    UP,

    /** Named in the store, but not heard from since this node leads. */
    SILENT,

    /** Its worker's lease has provably expired and nothing was heard since. */
    EXPIRED,
}

/** A rented machine. */
class Machine(val id: MachineId, val type: TypeId?, val zone: Zone?, val spot: Boolean, var state: MachineState) {
    var address: String? = null
    var incarnation: WorkerIncarnation? = null
    var sequence = HeartbeatSequence(0u)

    var heardAt = MonotonicTime(0)

    /** The highest report of this session that was answered as a heartbeat, not as the answer to a command. */
    var answeredHeartbeatSequence = HeartbeatSequence(0u)

    /** When it last reported by itself: one that only answers commands hears nothing of its reports' answers. */
    var lastHeartbeatAt = MonotonicTime(0)

    /** When its lease was found to be over. */
    var expiredAt = MonotonicTime(0)

    /** When a report was last answered, or the session became known: its lease runs from then at the latest. */
    var leaseRenewedAt = MonotonicTime(0)

    /** The report that this leader answered last, if any. */
    var answeredSequence: HeartbeatSequence? = null
    var rentedAt = MonotonicTime(0)

    /** When this leader first knew of it. */
    var knownAt = MonotonicTime(0)
    var idleSince = MonotonicTime(0)
    var notBefore = MonotonicTime(Long.MIN_VALUE)

    /** The cloud will take it back. */
    var reclaimNoticed = false

    /** What the cloud's notice said at first. */
    var reclaimNoticeS = 0.0
    var deleting = false
    var listedFailed = false

    /** The list called it running when this leader first saw it; it counts only once it reports. */
    var listedRunning = false

    /** Every assignment not yet released, by the task's name as the worker writes it. */
    val live = LinkedHashMap<String, Assignment>()

    /** Rises with each change of what the scheduler sees of the machine, whether it may be used apart. */
    var changes = 0
        private set

    /** What [live] takes, kept as it changes: a pass must not add up every task of every machine. */
    var used = Resources.NONE
        set(value) {
            field = value
            changes++
        }

    /** Images that were used here, least recently used first. A guess: the worker does not report its cache. */
    val images = LinkedHashMap<ImageId, Double>()

    /** Tasks in the last report that the ledger has no assignment for. */
    var unassignedTasks = emptyList<UnassignedTask>()

    /**
     * Attempts whose start was in commands that got no answer, and with how many fences those were sent. Such commands may
     * still be executed, minutes later, and a start repeated after `forget` runs the task again; so these are
     * not forgotten within this session, until the worker shows a higher token.
     */
    val mayStillStart = HashMap<Pair<String, Attempt>, Int>()

    /** By how much the token for this machine is above the term's first. */
    var tokenOffset = 0

    /**
     * Whether the worker has shown our term: from then on it drops what earlier leaders say, and what it reports is
     * no copy from before this term, which might be of a machine long gone.
     */
    var hasShownCurrentTerm = false

    /** Reports in a row that show nothing of what the answers before them said. */
    var unacknowledgedHeartbeats = 0

    /** Since when answers and commands seem not to reach the worker although its reports arrive. */
    var unreachedSince: MonotonicTime? = null
    var incarnationSince = MonotonicTime(0)
    var deliveryInFlight = false

    /** When it was last called away from a former leader. */
    var announcedAt = MonotonicTime(0)
    var deliverNotBefore = MonotonicTime(Long.MIN_VALUE)

    /** The job that this machine is being emptied for. */
    var reservedFor: JobId? = null
        set(value) {
            field = value
            changes++
        }
    var reservedUntil = MonotonicTime(0)

    /** Failures of tasks here, without a completion in between. */
    val strikes = ArrayList<JobId>()

    /** Tasks in a row that took far longer here than others of their job elsewhere. */
    var slowStrikes = 0
    var quarantined = false

    fun usable(now: MonotonicTime) = state == MachineState.UP &&
        hasShownCurrentTerm &&
        unreachedSince == null &&
        !reclaimNoticed &&
        !deleting &&
        !quarantined &&
        incarnation != null &&
        now >= notBefore

    /** Takes over what was known of this machine before its kind was. */
    fun takeOver(before: Machine) {
        live.putAll(before.live)
        used = before.used
    }

    /** Takes over what an earlier leader thought this machine to hold. */
    fun recallImages(known: Map<ImageId, Double>) {
        for ((image, sizeGb) in known) images.putIfAbsent(image, sizeGb)
        changes++
    }

    fun touchImage(image: ImageId, sizeGb: Double, cacheGb: Double) {
        changes++
        images.remove(image)
        images[image] = sizeGb
        var used = images.values.sum()
        val oldest = images.entries.iterator()
        while (used > cacheGb && oldest.hasNext()) {
            used -= oldest.next().value
            oldest.remove()
        }
    }
}

/** A task on a machine that the ledger has no assignment for. */
class UnassignedTask(val taskName: String, val attempt: Attempt, val exited: Boolean, val completed: Boolean)
