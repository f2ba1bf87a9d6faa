package mountmast.coordination.state

/** How far an assignment has come. Until it is released it counts as being on its machine. */
enum class Phase {
    /** Decided, not yet known to be in the store: must not be sent. */
    INTENDED,

    /** In the store: its start may be sent, any number of times. */
    COMMITTED,

    /** Known to be off its machine, but the store still lists it: counts until the store does not. */
    ENDED,

    /** Counts no more. */
    RELEASED,
}
