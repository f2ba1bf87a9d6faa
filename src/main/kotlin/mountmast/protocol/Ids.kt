package mountmast.protocol

import kotlinx.serialization.Serializable

/** Id of a job, chosen by its user. */
@Serializable
@JvmInline
value class JobId(val text: String) : Comparable<JobId> {
    override fun compareTo(other: JobId) = text.compareTo(other.text)
    override fun toString() = text

    companion object {
        private const val PREFIX = "j-"
        private const val MAX_DIGITS = 18

        /** The id in [text], or null where it is not of the form that users must keep to. */
        fun parse(text: String): JobId? {
            val digits = text.length - PREFIX.length
            if (digits !in 1..MAX_DIGITS || !text.startsWith(PREFIX)) return null
            for (i in PREFIX.length until text.length) if (text[i] !in '0'..'9') return null
            return JobId(text)
        }
    }
}

/** One task of a job; on the wire `j-000412/3`. */
data class TaskId(val job: JobId, val index: Int) {
    override fun toString() = "$job/$index"

    companion object {
        /** The task named by [text], or null where the text names none. */
        fun parse(text: String): TaskId? {
            val slash = text.indexOf('/')
            if (slash <= 0) return null
            val job = JobId.parse(text.substring(0, slash)) ?: return null
            val index = text.substring(slash + 1).toIntOrNull() ?: return null
            return if (index >= 0) TaskId(job, index) else null
        }
    }
}

/** A rented machine, named by the cloud. Its name is kept in texts with separators, so it must hold none. */
@Serializable
@JvmInline
value class MachineId(val text: String) : Comparable<MachineId> {
    init {
        require(text.isNotEmpty() && text.none { it <= ' ' || it == ';' }) { "machine name" }
    }

    override fun compareTo(other: MachineId) = text.compareTo(other.text)
    override fun toString() = text
}

/** A controller node. */
@Serializable
@JvmInline
value class NodeId(val text: String) {
    override fun toString() = text
}

/** A team of users, with a guarantee and a limit. */
@Serializable
@JvmInline
value class TeamId(val text: String) {
    override fun toString() = text
}

/** A zone; its name is kept in texts with separators, as a machine's is. */
@Serializable
@JvmInline
value class Zone(val text: String) : Comparable<Zone> {
    init {
        require(text.none { it < ' ' || it == ';' }) { "zone name" }
    }

    override fun compareTo(other: Zone) = text.compareTo(other.text)
    override fun toString() = text
}

/** A machine type. */
@Serializable
@JvmInline
value class TypeId(val text: String) : Comparable<TypeId> {
    override fun compareTo(other: TypeId) = text.compareTo(other.text)
    override fun toString() = text
}

/** An image that a machine must hold before a task can start. */
@Serializable
@JvmInline
value class ImageId(val text: String) {
    override fun toString() = text
}

/** Name of a rental request; never used twice. */
@Serializable
@JvmInline
value class RentalRequestId(val text: String) {
    override fun toString() = text
}

/**
 * The rising fencing token that names who may give commands; on the wire `helm`. Each term has a range of tokens: with a
 * higher one of its own a leader makes a worker refuse the commands that it sent there before.
 */
@Serializable
@JvmInline
value class FencingToken(val number: ULong) : Comparable<FencingToken> {
    override fun compareTo(other: FencingToken) = number.compareTo(other.number)

    /** Which term the token belongs to. */
    val term: ULong get() = number / TOKENS_PER_TERM

    /** The first token of its term. */
    fun firstOfTerm() = FencingToken(term * TOKENS_PER_TERM)

    /** The first token of the term after this one. */
    fun firstOfNextTerm() = FencingToken((term + 1u) * TOKENS_PER_TERM)

    /** The token that is [steps] higher, of the same term. */
    fun advancedBy(steps: Int) = FencingToken(number + steps.toUInt())

    override fun toString() = if (number % TOKENS_PER_TERM == 0uL) "$term" else "$term.${number % TOKENS_PER_TERM}"

    private companion object {
        const val TOKENS_PER_TERM = 1_048_576uL
    }
}

/** Session of a worker; it rises each time the worker's lease expires. */
@Serializable
@JvmInline
value class WorkerIncarnation(val number: ULong) : Comparable<WorkerIncarnation> {
    override fun compareTo(other: WorkerIncarnation) = number.compareTo(other.number)
    override fun toString() = number.toString()
}

/** Counts the messages of a worker within and across its sessions. */
@Serializable
@JvmInline
value class HeartbeatSequence(val number: ULong) : Comparable<HeartbeatSequence> {
    override fun compareTo(other: HeartbeatSequence) = number.compareTo(other.number)
    override fun toString() = number.toString()
}

/** Number of a try at a task; never used twice for one task. */
@Serializable
@JvmInline
value class Attempt(val number: ULong) : Comparable<Attempt> {
    override fun compareTo(other: Attempt) = number.compareTo(other.number)
    override fun toString() = number.toString()
}

/** Version of a key of the state service; zero where the key does not exist. */
@Serializable
@JvmInline
value class ModRevision(val number: ULong) {
    override fun toString() = number.toString()

    companion object {
        val ABSENT = ModRevision(0u)
    }
}

/** Number of changes the state service had seen. */
@Serializable
@JvmInline
value class Revision(val number: ULong) : Comparable<Revision> {
    override fun compareTo(other: Revision) = number.compareTo(other.number)
    override fun toString() = number.toString()
}

/** A lease at the state service; keys attached to it vanish with it. */
@Serializable
@JvmInline
value class StoreLeaseId(val number: ULong) {
    override fun toString() = number.toString()
}

/** A point on this process's steady clock, in milliseconds. */
@JvmInline
value class MonotonicTime(val ms: Long) : Comparable<MonotonicTime> {
    override fun compareTo(other: MonotonicTime) = ms.compareTo(other.ms)
    operator fun plus(millis: Long) = MonotonicTime(ms + millis)
    operator fun minus(other: MonotonicTime): Long = ms - other.ms
}

/** A time of day, in milliseconds since 1970; only as exact as the settings promise. */
@Serializable
@JvmInline
value class WallTime(val ms: Long) : Comparable<WallTime> {
    override fun compareTo(other: WallTime) = ms.compareTo(other.ms)
}

/** Where all times come from, so that tests can run in virtual time. */
interface Clock {
    fun now(): MonotonicTime
    fun wall(): WallTime
}

/** The clocks of the machine. */
object SystemClock : Clock {
    override fun now() = MonotonicTime(System.nanoTime() / 1_000_000)
    override fun wall() = WallTime(System.currentTimeMillis())
}

/** What a task takes of a machine, or what a machine or team has. */
data class Resources(val cpus: Double, val gpus: Double, val memoryGb: Double) {
    operator fun plus(other: Resources) = Resources(cpus + other.cpus, gpus + other.gpus, memoryGb + other.memoryGb)

    operator fun minus(other: Resources) = Resources(cpus - other.cpus, gpus - other.gpus, memoryGb - other.memoryGb)

    operator fun times(count: Int) = Resources(cpus * count, gpus * count, memoryGb * count)

    /** To a millionth, so that sums in another order are the same. */
    fun rounded() = Resources(rounded(cpus), rounded(gpus), rounded(memoryGb))

    private fun rounded(amount: Double) = Math.rint(amount * ROUNDED_STEPS) / ROUNDED_STEPS

    fun fitsWithin(room: Resources) = cpus <= room.cpus + EPSILON && gpus <= room.gpus + EPSILON && memoryGb <= room.memoryGb + EPSILON

    /** How many times this fits into [room], at most [most]. */
    fun instancesWithin(room: Resources, most: Int): Int {
        var times = most.toDouble()
        if (cpus > 0) times = minOf(times, Math.floor((room.cpus + EPSILON) / cpus))
        if (gpus > 0) times = minOf(times, Math.floor((room.gpus + EPSILON) / gpus))
        if (memoryGb > 0) times = minOf(times, Math.floor((room.memoryGb + EPSILON) / memoryGb))
        return maxOf(0, times.toInt())
    }

    companion object {
        const val EPSILON = 1e-6
        private const val ROUNDED_STEPS = 1e6
        val NONE = Resources(0.0, 0.0, 0.0)
    }
}
