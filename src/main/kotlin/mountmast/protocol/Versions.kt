package mountmast.protocol

import kotlinx.serialization.Serializable

/**
 * A fencing token: workers refuse commands with a token below the highest that they have seen. Each term of a leader has a range of
 * tokens of its own: with a higher one of them the leader makes a worker refuse commands that it sent there before.
 */
@Serializable
@JvmInline
value class FencingToken(val number: ULong) : Comparable<FencingToken> {
    override fun compareTo(other: FencingToken) = number.compareTo(other.number)

    /** The leader's term that the token belongs to. */
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

/** Incarnation of a worker. It rises each time the worker's lease expires. */
@Serializable
@JvmInline
value class WorkerIncarnation(val number: ULong) : Comparable<WorkerIncarnation> {
    override fun compareTo(other: WorkerIncarnation) = number.compareTo(other.number)
    override fun toString() = number.toString()
}

/** Counts the messages of a worker, within and across its incarnations. */
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

/** The revision of the state service at which a key was last modified; [ABSENT] if the key does not exist. */
@Serializable
@JvmInline
value class ModRevision(val number: ULong) {
    override fun toString() = number.toString()

    companion object {
        /** Of a key that does not exist. */
        val ABSENT = ModRevision(0u)
    }
}

/** Number of the latest change that the state service has made. */
@Serializable
@JvmInline
value class Revision(val number: ULong) : Comparable<Revision> {
    override fun compareTo(other: Revision) = number.compareTo(other.number)
    override fun toString() = number.toString()
}

/** A lease of the state service. Keys attached to it are deleted when it expires. */
@Serializable
@JvmInline
value class StoreLeaseId(val number: ULong) {
    override fun toString() = number.toString()
}
