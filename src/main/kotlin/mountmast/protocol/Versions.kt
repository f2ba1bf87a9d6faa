package mountmast.protocol

import kotlinx.serialization.Serializable

/**
 * A fencing token: workers reject commands with a token below the highest that they have seen. Each leader's term has its own range of
 * tokens. Within its term a leader can raise the token that it sends to a worker, so that the worker rejects the leader's earlier
 * commands.
 */
@Serializable
@JvmInline
value class FencingToken(val number: ULong) : Comparable<FencingToken> {
    override fun compareTo(other: FencingToken) = number.compareTo(other.number)

    /** Number of the leader's term to which this token belongs. */
    val term: ULong get() = number / TOKENS_PER_TERM

    /** Returns the first token of the term to which this token belongs. */
    fun firstOfTerm() = FencingToken(term * TOKENS_PER_TERM)

    /** Returns the first token of the term after that of this token. */
    fun firstOfNextTerm() = FencingToken((term + 1u) * TOKENS_PER_TERM)

    /** Returns the token that is [steps] higher. [steps] must be small enough that it is of the same term. */
    fun advancedBy(steps: Int) = FencingToken(number + steps.toUInt())

    override fun toString() = if (number % TOKENS_PER_TERM == 0uL) "$term" else "$term.${number % TOKENS_PER_TERM}"

    companion object {
        /** The token that a worker shows before it has seen any, which no leader holds. */
        val NONE = FencingToken(0u)

        private const val TOKENS_PER_TERM = 1_048_576uL
    }
}

/** Number of a worker's incarnation. The worker raises it each time its lease expires. */
@Serializable
@JvmInline
value class WorkerIncarnation(val number: ULong) : Comparable<WorkerIncarnation> {
    override fun compareTo(other: WorkerIncarnation) = number.compareTo(other.number)
    override fun toString() = number.toString()
}

/** Number of a worker's heartbeat. It rises with each one, also from one incarnation to the next. */
@Serializable
@JvmInline
value class HeartbeatSequence(val number: ULong) : Comparable<HeartbeatSequence> {
    override fun compareTo(other: HeartbeatSequence) = number.compareTo(other.number)
    override fun toString() = number.toString()
}

/** Number of an attempt to run a task; no two attempts at the same task have the same number. */
@Serializable
@JvmInline
value class Attempt(val number: ULong) : Comparable<Attempt> {
    override fun compareTo(other: Attempt) = number.compareTo(other.number)
    override fun toString() = number.toString()
}

/** The revision of the state service at which a key was last modified; [ABSENT] if the key does not exist. */
@Serializable
@JvmInline
value class ModRevision(val number: ULong) {
    override fun toString() = number.toString()

    companion object {
        /** Stands for the revision of a key that does not exist. */
        val ABSENT = ModRevision(0u)
    }
}

/** A revision of the state service's whole content: the number of the latest change that it has made. */
@Serializable
@JvmInline
value class Revision(val number: ULong) : Comparable<Revision> {
    override fun compareTo(other: Revision) = number.compareTo(other.number)
    override fun toString() = number.toString()
}

/** Id of a lease of the state service. The keys attached to the lease are deleted when it expires. */
@Serializable
@JvmInline
value class StoreLeaseId(val number: ULong) {
    override fun toString() = number.toString()
}
