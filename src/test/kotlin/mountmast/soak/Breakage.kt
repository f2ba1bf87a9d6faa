package mountmast.soak

/** A stand-in that breaks its protocol, to see that the soak's invariants fail. */
enum class Breakage {
    NONE,

    /** Workers keep their tasks when their lease is over. */
    LEASES_NEVER_END,

    /** Workers do not stop what they are told to stop. */
    STOPS_IGNORED,

    /** Some submissions are answered as stored, but are not. */
    SUBMISSIONS_LOST,

    /** Workers report tasks as done that have just begun. */
    DONE_TOO_EARLY,
}
