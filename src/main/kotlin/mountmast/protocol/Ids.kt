package mountmast.protocol

import kotlinx.serialization.Serializable

/** Id of a job, chosen by the user who submits the job, such as `j-000412`. */
@Serializable
@JvmInline
value class JobId(val text: String) : Comparable<JobId> {
    override fun compareTo(other: JobId) = text.compareTo(other.text)
    override fun toString() = text

    companion object {
        private const val PREFIX = "j-"
        private const val MAX_DIGITS = 18

        /** Returns the job id in [text], or null if [text] is not `j-` followed by 1 to 18 digits. */
        fun parse(text: String): JobId? {
            val digits = text.length - PREFIX.length
            if (digits !in 1..MAX_DIGITS || !text.startsWith(PREFIX)) return null
            for (i in PREFIX.length until text.length) if (text[i] !in '0'..'9') return null
            return JobId(text)
        }
    }
}

/** One task of a job. Messages and stored texts name it as `j-000412/3`; [index] counts from 0. */
data class TaskId(val job: JobId, val index: Int) {
    override fun toString() = "$job/$index"

    companion object {
        /** Returns the task that [text] names, or null if [text] is not a job id, a slash and an index. */
        fun parse(text: String): TaskId? {
            val slash = text.indexOf('/')
            if (slash <= 0) return null
            val job = JobId.parse(text.substring(0, slash)) ?: return null
            val index = text.substring(slash + 1).toIntOrNull() ?: return null
            return if (index >= 0) TaskId(job, index) else null
        }
    }
}

/**
 * Name of a rented machine, given by the cloud. Journal entries separate their fields by spaces and end with semicolons, so a name
 * that is empty, or contains a space, a control character or a semicolon, is rejected with an [IllegalArgumentException].
 */
@Serializable
@JvmInline
value class MachineId(val text: String) : Comparable<MachineId> {
    init {
        require(text.isNotEmpty() && text.none { it <= ' ' || it == ';' }) { "machine name" }
    }

    override fun compareTo(other: MachineId) = text.compareTo(other.text)
    override fun toString() = text
}

/** Name of a controller node. */
@Serializable
@JvmInline
value class NodeId(val text: String) {
    override fun toString() = text
}

/** Name of a team of users; [TeamQuota] holds the team's guarantee and limit. */
@Serializable
@JvmInline
value class TeamId(val text: String) {
    override fun toString() = text
}

/**
 * Name of a zone. It is the last field of a journal entry, so it may contain spaces, but a name with a semicolon or a control
 * character is rejected with an [IllegalArgumentException].
 */
@Serializable
@JvmInline
value class Zone(val text: String) : Comparable<Zone> {
    init {
        require(text.none { it < ' ' || it == ';' }) { "zone name" }
    }

    override fun compareTo(other: Zone) = text.compareTo(other.text)
    override fun toString() = text
}

/** Name of a machine type. */
@Serializable
@JvmInline
value class TypeId(val text: String) : Comparable<TypeId> {
    override fun compareTo(other: TypeId) = text.compareTo(other.text)
    override fun toString() = text
}

/** Name of an image, which a machine must hold before a task that uses the image can start. */
@Serializable
@JvmInline
value class ImageId(val text: String) {
    override fun toString() = text
}

/** Name of a request to the cloud for machines. No two requests have the same name, so that the cloud recognizes a repeated one. */
@Serializable
@JvmInline
value class RentalRequestId(val text: String) {
    override fun toString() = text
}
