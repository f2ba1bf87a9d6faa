package mountmast.coordination.state

/** The steps of an assignment's life cycle. Until it is released, an assignment takes resources of its machine. */
enum class Phase {
    /** Made, but not known to be in the store: its start command must not be sent. */
    INTENDED,

    /** In the store: its start command may be sent, any number of times. */
    COMMITTED,

    /** No longer running on its machine, but still listed in the store: takes resources until the store no longer lists it. */
    ENDED,

    /** Removed from the cluster state: takes no resources. */
    RELEASED,
}
