package mountmast.standin.production

import kotlinx.serialization.Serializable

/*
 * Frozen: copied from the version in production (`production` in deploy/service.toml), so that tests can show what its processes
 * read of what later versions write. Not to be edited or renamed together with the classes of the main sources.
 */

/** Id of a job, chosen by its user. */
@Serializable
@JvmInline
value class JobId(val text: String) : Comparable<JobId> {
    override fun compareTo(other: JobId) = text.compareTo(other.text)
    override fun toString() = text

    companion object {
        private const val PREFIX = "j-"
        private const val MOST_DIGITS = 18

        /** The id in [text], or null where it is not of the form that users must keep to. */
        fun parse(text: String): JobId? {
            val digits = text.length - PREFIX.length
            if (digits !in 1..MOST_DIGITS || !text.startsWith(PREFIX)) return null
            for (i in PREFIX.length until text.length) if (text[i] !in '0'..'9') return null
            return JobId(text)
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

/** Session of a worker; it rises each time the worker's lease expires. */
@Serializable
@JvmInline
value class Session(val number: ULong) : Comparable<Session> {
    override fun compareTo(other: Session) = number.compareTo(other.number)
    override fun toString() = number.toString()
}

/** Number of a try at a task; never used twice for one task. */
@Serializable
@JvmInline
value class Attempt(val number: ULong) : Comparable<Attempt> {
    override fun compareTo(other: Attempt) = number.compareTo(other.number)
    override fun toString() = number.toString()
}

/** A time of day, in milliseconds since 1970; only as exact as the settings promise. */
@Serializable
@JvmInline
value class WallTime(val ms: Long) : Comparable<WallTime> {
    override fun compareTo(other: WallTime) = ms.compareTo(other.ms)
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

/** The token of a reign; only its form is kept here. */
@Serializable
@JvmInline
value class Term(val number: ULong)
